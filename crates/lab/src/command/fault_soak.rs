//! `shelfjunction-lab fault-soak`: nodes as processes under faults from outside.

use super::{Command, CommandError, Options};
use crate::fault_soak::schedule::Pace;
use crate::fault_soak::{self, FaultSoakConfig, PlantedSettings};
use shelfjunction_logging::LogLevel;
use std::path::PathBuf;
use std::time::Duration;

/// The command.
pub const COMMAND: Command = Command {
    name: "fault-soak",
    summary: "Runs nodes as processes under faults of links, processes and the store, and judges the promises.",
    example: "shelfjunction-lab fault-soak --program target/release/shelfjunction --seconds 30 --seed 1 --runs 4",
    declare,
    run,
};

/// Seconds of faults unless given.
const DEFAULT_SECONDS: f64 = 30.0;

/// Longest run, in seconds: an hour.
const MAXIMUM_SECONDS: f64 = 3_600.0;

/// Most nodes.
const MAXIMUM_NODES: usize = 200;

/// Seconds within which everything must work again unless given: the promise to the users.
const DEFAULT_RECOVERY_SECONDS: f64 = 12.0;

fn declare(options: &mut getopts::Options) {
    options.optopt("", "program", "the program `shelfjunction`", "FILE");
    options.optopt(
        "",
        "other-build",
        "another build, which nodes run first; they are upgraded in turn and go back again",
        "FILE",
    );
    options.optopt("", "nodes", "nodes (3)", "NUMBER");
    options.optopt(
        "",
        "regions",
        "regions with places in each, and faults of regions; at least as many nodes (1: none)",
        "NUMBER",
    );
    options.optopt("", "callers", "callers at once (12)", "NUMBER");
    options.optopt(
        "",
        "crashers",
        "callers besides whose request crashes engines (2)",
        "NUMBER",
    );
    options.optopt(
        "",
        "part-crashers",
        "callers besides whose requests share a part of their prompts that crashes engines, each beside others that share only the rest (1)",
        "NUMBER",
    );
    options.optopt("", "late-readers", "callers besides that read late (2)", "NUMBER");
    options.optopt(
        "",
        "rated-callers",
        "callers besides of a tenant who ask more than its rate (0)",
        "NUMBER",
    );
    options.optopt(
        "",
        "resumers",
        "callers besides that take up streams at other nodes (2)",
        "NUMBER",
    );
    options.optopt(
        "",
        "streamers",
        "callers besides whose streams take seconds (0)",
        "NUMBER",
    );
    options.optopt(
        "",
        "bound-callers",
        "callers besides that are bound to one node and use each connection until it ends (0)",
        "NUMBER",
    );
    options.optflag(
        "",
        "silences",
        "with --planned-work: engines that work say nothing for a second or so now and then",
    );
    options.optflag(
        "",
        "planned-work",
        "nothing but stops, reloads, configurations and engines replaced in order, and what they cut is judged; neither crashers nor late readers unless given",
    );
    options.optopt(
        "",
        "planted-grace-seconds",
        "plants a fault: the settings of nodes tell a shorter time until the end by force than they get",
        "SECONDS",
    );
    options.optopt(
        "",
        "planted-memory-megabytes",
        "plants a fault: the settings of nodes name more memory than their machines have",
        "NUMBER",
    );
    options.optopt(
        "",
        "crowds",
        "senders of crowds of clients that leave requests unfinished or exceed limits (0)",
        "NUMBER",
    );
    options.optopt("", "seconds", "length of each run (30)", "SECONDS");
    options.optopt(
        "",
        "recovery-seconds",
        "time within which all must serve again (12)",
        "SECONDS",
    );
    options.optflag("", "calm", "faults eight times further apart");
    options.optflag(
        "",
        "no-restores",
        "the store is never restored from an older copy",
    );
    options.optflag(
        "",
        "no-deferrals",
        "the platform never carries out calls late that it left unanswered",
    );
    options.optopt(
        "",
        "fences",
        "whether the platform's interface checks fences: checked, unchecked (drawn from the seed)",
        "CHOICE",
    );
    options.optopt("", "seed", "seed of the first run; drawn unless given", "NUMBER");
    options.optopt("", "runs", "runs, each with the next seed (1)", "NUMBER");
    options.optopt(
        "",
        "logs",
        "where settings and logs go, a directory for each seed",
        "DIRECTORY",
    );
}

fn run(options: &Options) -> Result<(), CommandError> {
    let seconds = options.value_or("seconds", DEFAULT_SECONDS)?;
    if !(seconds > 0.0 && seconds <= MAXIMUM_SECONDS) {
        let message = format!("--seconds {seconds}: allowed is above 0, at most {MAXIMUM_SECONDS}");
        return Err(CommandError::Usage(message));
    }
    let recovery = options.value_or("recovery-seconds", DEFAULT_RECOVERY_SECONDS)?;
    if !(recovery > 0.0 && recovery <= MAXIMUM_SECONDS) {
        let message = format!("--recovery-seconds {recovery}: allowed is above 0, at most {MAXIMUM_SECONDS}");
        return Err(CommandError::Usage(message));
    }
    let nodes = options.value_or("nodes", 3)?;
    if !(1..=MAXIMUM_NODES).contains(&nodes) {
        let message = format!("--nodes {nodes}: allowed is 1 to {MAXIMUM_NODES}");
        return Err(CommandError::Usage(message));
    }
    let regions = options.value_or("regions", 1)?;
    if !(1..=nodes).contains(&regions) {
        let message = format!("--regions {regions}: allowed is 1 to the number of nodes, {nodes}");
        return Err(CommandError::Usage(message));
    }
    let fences: Option<String> = options.value("fences")?;
    let fences_checked = match fences.as_deref() {
        None => None,
        Some("checked") => Some(true),
        Some("unchecked") => Some(false),
        Some(other) => {
            let message = format!("--fences {other}: allowed is checked or unchecked");
            return Err(CommandError::Usage(message));
        }
    };
    let planted = PlantedSettings {
        grace: planted_grace(options)?,
        memory_megabytes: options.value("planted-memory-megabytes")?,
    };
    let program: PathBuf = options.value_or("program", PathBuf::from("target/release/shelfjunction"))?;
    let logs: PathBuf = options.value_or("logs", std::env::temp_dir().join("shelfjunction-fault-soak"))?;
    let first: u64 = options.value_or("seed", u64::from(rand::random::<u32>()))?;
    let runs: u64 = options.value_or("runs", 1)?;
    // What struck when belongs beside the logs of the nodes. A logger that is there already gets it as well.
    let _ = shelfjunction_logging::install(LogLevel::Info);
    let planned_work = options.flag("planned-work");
    let mut broken = Vec::new();
    for seed in first..first + runs {
        let config = FaultSoakConfig {
            program: program.clone(),
            other_build: options.value("other-build")?,
            nodes,
            regions,
            callers: options.value_or("callers", 12)?,
            crashers: options.value_or("crashers", if planned_work { 0 } else { 2 })?,
            part_crashers: options.value_or("part-crashers", u64::from(!planned_work))?,
            late_readers: options.value_or("late-readers", if planned_work { 0 } else { 2 })?,
            streamers: options.value_or("streamers", 0)?,
            bound_callers: options.value_or("bound-callers", 0)?,
            silences: options.flag("silences"),
            planned_work,
            planted,
            crowds: options.value_or("crowds", 0)?,
            rated_callers: options.value_or("rated-callers", 0)?,
            resumers: options.value_or("resumers", 2)?,
            restores: !options.flag("no-restores"),
            deferrals: !options.flag("no-deferrals"),
            fences_checked,
            pace: if options.flag("calm") {
                Pace::Calm
            } else {
                Pace::Dense
            },
            length: Duration::from_secs_f64(seconds),
            recovery: Duration::from_secs_f64(recovery),
            seed,
            directory: logs.join(seed.to_string()),
        };
        let report =
            fault_soak::run(&config).map_err(|error| CommandError::failed("the deployment", error))?;
        print!("{report}");
        if !report.holds() {
            broken.push(seed);
        }
    }
    if broken.is_empty() {
        return Ok(());
    }
    Err(CommandError::Failed(format!(
        "a promise was broken with seed {broken:?}; logs are in {}",
        logs.display()
    )))
}

fn planted_grace(options: &Options) -> Result<Option<Duration>, CommandError> {
    let Some(seconds) = options.value::<f64>("planted-grace-seconds")? else {
        return Ok(None);
    };
    if seconds > 0.0 && seconds <= MAXIMUM_SECONDS {
        return Ok(Some(Duration::from_secs_f64(seconds)));
    }
    let message = format!("--planted-grace-seconds {seconds}: allowed is above 0, at most {MAXIMUM_SECONDS}");
    Err(CommandError::Usage(message))
}
