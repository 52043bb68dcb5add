//! `shelfjunction-lab simulate`: compares ways of routing and giving roles on a model of the fleet.

use super::{Command, CommandError, Options};
use crate::report;
use crate::simulate::catalogue::workloads;
use crate::simulate::comparison::{Comparison, ComparisonResult};
use crate::simulate::policy::{Policy, policies};
use crate::simulate::table;
use crate::simulate::workload::Workload;
use std::time::Instant;

/// Seeds of a comparison unless told otherwise.
const DEFAULT_SEEDS: u64 = 10;
/// First of the seeds that are kept for the final figure and never tuned on.
const FIRST_HELD_OUT_SEED: u64 = 1_000_001;
/// Threads unless told otherwise.
const DEFAULT_THREADS: usize = 4;

/// The command.
pub const COMMAND: Command = Command {
    name: "simulate",
    summary: "Compares ways of routing and giving roles on a model of the fleet.",
    example: "shelfjunction-lab simulate --workload pharmacy-swings --seeds 10 --report simulate.html",
    declare,
    run,
};

fn declare(options: &mut getopts::Options) {
    options.optmulti(
        "",
        "workload",
        "workload to run; may be repeated (default: all not held out)",
        "NAME",
    );
    options.optmulti(
        "",
        "policy",
        "policy to run; may be repeated (default: all)",
        "NAME",
    );
    options.optopt("", "seeds", "seeds to run (default: 10)", "COUNT");
    options.optopt("", "first-seed", "first seed (default: 1)", "SEED");
    options.optflag(
        "",
        "final",
        "run the held-out workloads and seeds as well, for the final figure",
    );
    options.optopt("", "threads", "runs at once (default: 4)", "COUNT");
    options.optopt("", "report", "write a page with plots", "FILE");
    options.optflag("", "json", "print the result as JSON");
    options.optflag("", "list", "list workloads and policies");
}

fn run(options: &Options) -> Result<(), CommandError> {
    if options.flag("list") {
        print!("{}", list());
        return Ok(());
    }
    let comparison = comparison(options)?;
    let begun = Instant::now();
    let result = comparison.run(|done, total| eprintln!("progress done={done} total={total}"));
    let seconds = begun.elapsed().as_secs_f64();
    eprintln!(
        "simulated requests={} seconds={seconds:.1} requests_per_minute={:.0}",
        result.requests,
        result.requests as f64 / seconds * 60.0
    );
    if let Some(path) = options.text("report") {
        write_report(&path, &result)?;
    }
    if options.flag("json") {
        let text = serde_json::to_string(&result).map_err(|error| CommandError::failed("result", error))?;
        println!("{text}");
    } else {
        print!("{}", table::render(&result));
    }
    Ok(())
}

fn comparison(options: &Options) -> Result<Comparison, CommandError> {
    let is_final = options.flag("final");
    let usual_first = if is_final { FIRST_HELD_OUT_SEED } else { 1 };
    let first = options.value_or("first-seed", usual_first)?;
    let count = options.value_or("seeds", DEFAULT_SEEDS)?;
    Ok(Comparison {
        workloads: chosen_workloads(&options.texts("workload"), is_final)?,
        policies: chosen_policies(&options.texts("policy"))?,
        seeds: (first..first.saturating_add(count)).collect(),
        threads: options.value_or("threads", DEFAULT_THREADS)?,
    })
}

fn chosen_workloads(names: &[String], is_final: bool) -> Result<Vec<Workload>, CommandError> {
    let known = workloads();
    if names.is_empty() {
        let usual = known
            .into_iter()
            .filter(|workload| is_final || !workload.held_out);
        return Ok(usual.collect());
    }
    for name in names {
        if !known.iter().any(|workload| workload.name == name) {
            return Err(CommandError::Usage(format!("--workload {name}: see --list")));
        }
    }
    let chosen = known
        .into_iter()
        .filter(|workload| names.iter().any(|name| name == workload.name));
    Ok(chosen.collect())
}

/// The policies named; without the oracle's runs, shares are relative to the best of those that ran.
fn chosen_policies(names: &[String]) -> Result<Vec<Policy>, CommandError> {
    let known = policies();
    if names.is_empty() {
        return Ok(known);
    }
    for name in names {
        if !known.iter().any(|policy| policy.name == name) {
            return Err(CommandError::Usage(format!("--policy {name}: see --list")));
        }
    }
    let chosen = known
        .into_iter()
        .filter(|policy| names.iter().any(|name| name == policy.name));
    Ok(chosen.collect())
}

fn list() -> String {
    let mut text = "workloads:\n".to_owned();
    for workload in workloads() {
        let held_out = if workload.held_out { " (held out)" } else { "" };
        text.push_str(&format!("    {}{held_out}\n", workload.name));
    }
    text.push_str("policies:\n");
    for policy in policies() {
        text.push_str(&format!("    {}\n", policy.name));
    }
    text
}

fn write_report(path: &str, result: &ComparisonResult) -> Result<(), CommandError> {
    let page = report::simulation::page(result).map_err(|error| CommandError::failed("report", error))?;
    std::fs::write(path, page).map_err(|error| CommandError::failed(path, error))
}
