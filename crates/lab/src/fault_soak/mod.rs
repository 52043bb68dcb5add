//! Nodes of the users' platform as processes on one machine, under faults from outside, with the promises to callers
//! judged from what callers and engines see.
//!
//! The same seed gives the same faults and the same draws of the callers; what processes make of them depends on the
//! machine's timing, so a failed run keeps its logs.

pub mod authority;
pub mod bound_callers;
mod callers;
mod crashers;
pub mod crashes;
pub mod crowding;
pub mod crowds;
mod deployment;
pub mod descriptors;
pub mod disturbances;
pub mod engine_signals;
mod judging;
pub mod late_readers;
pub mod layout;
mod operator;
pub mod oracle;
pub mod partitions;
mod places;
pub mod planned_work;
pub mod platform_faults;
pub mod platform_schedule;
mod process;
pub mod rate_limits;
pub mod rated_callers;
pub mod record;
pub mod region_faults;
pub mod region_links;
pub mod repeats;
pub mod report;
pub mod resumers;
pub mod schedule;
pub mod sharers;
pub mod spoilt;
pub mod streamers;
mod striking;
mod striking_regions;
mod upgrading;
pub mod usage_windows;

use bound_callers::BoundCaller;
use callers::Caller;
use crashers::Crasher;
use crowding::CrowdedSpan;
use crowds::CrowdSender;
use deployment::{Deployment, MODEL_POOL};
use descriptors::DescriptorWatch;
use judging::{
    crash_times, crashing_arrivals, engine_arrivals, judge_calls, judge_signals, judge_spoilt, seen_arrivals,
};
use late_readers::{LateReader, Quiet};
use layout::Layout;
use oracle::{Violation, judge_reports};
pub use places::PlantedSettings;
use places::REPEAT_BUDGET;
use rate_limits::LimitSpan;
use rated_callers::RatedCaller;
use record::{CallKind, SeenCall};
use repeats::judge_repeats;
use report::{FaultSoakReport, report};
use resumers::{Resumer, SeenStream, TakeUpCount};
use schedule::Pace;
use sharers::{SOUND_CALLERS, Sharer};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use streamers::Streamer;

/// Time for which runs that come late are waited for.
const LATE_RUNS: Duration = Duration::from_secs(2);

/// Pause between two probes.
const PROBE_EVERY: Duration = Duration::from_millis(200);

/// What to run.
#[derive(Clone, Debug)]
pub struct FaultSoakConfig {
    /// The program of the nodes.
    pub program: PathBuf,
    /// Another build, which all nodes run at first: they are upgraded to `program` in turn and go back again.
    pub other_build: Option<PathBuf>,
    /// Nodes.
    pub nodes: usize,
    /// Regions; without regions if fewer than two.
    pub regions: usize,
    /// Callers at once.
    pub callers: u64,
    /// Callers besides whose request crashes the engines that run it.
    pub crashers: u64,
    /// Callers besides whose requests, no two alike, share a part that crashes the engines that run them; with each of them come
    /// others that share all parts but that.
    pub part_crashers: u64,
    /// Callers besides that read nothing of a long answer for some seconds.
    pub late_readers: u64,
    /// Senders of crowds of clients that leave requests unfinished or exceed limits.
    pub crowds: u64,
    /// Callers besides of a tenant with a rate, who ask more than it allows.
    pub rated_callers: u64,
    /// Callers besides whose streams take seconds.
    pub streamers: u64,
    /// Callers besides that are bound to one node and use each connection until it ends.
    pub bound_callers: u64,
    /// Whether engines that work say nothing for a second or so now and then, beside planned work.
    pub silences: bool,
    /// Whether nothing strikes but planned work: stops, reloads, configurations and engines that are replaced in order.
    pub planned_work: bool,
    /// Settings of nodes in place of those that they get: faults to be found.
    pub planted: PlantedSettings,
    /// Callers besides that take up streams at other nodes.
    pub resumers: u64,
    /// Whether the store is restored from older copies.
    pub restores: bool,
    /// Whether the platform leaves calls unanswered and carries them out later.
    pub deferrals: bool,
    /// Whether the platform's interface checks fences; drawn from the seed unless given.
    pub fences_checked: Option<bool>,
    /// How close faults follow on each other.
    pub pace: Pace,
    /// Time for which faults strike.
    pub length: Duration,
    /// Time within which everything must work again after the last fault.
    pub recovery: Duration,
    /// Seed of faults and callers.
    pub seed: u64,
    /// Where settings and logs go.
    pub directory: PathBuf,
}

/// Runs once.
pub fn run(config: &FaultSoakConfig) -> io::Result<FaultSoakReport> {
    std::fs::create_dir_all(&config.directory)?;
    let first = config.other_build.as_ref().unwrap_or(&config.program);
    let descriptors = DescriptorWatch::start()?;
    let deployment = Deployment::start(
        first,
        config.nodes,
        Layout::new(config.regions),
        config.planted,
        &config.directory,
    )?;
    let mut violations = wait_until_served(&deployment, config.seed, config.recovery);
    let fences_checked = config
        .fences_checked
        .unwrap_or_else(|| platform_schedule::draw_fences_checked(config.seed));
    deployment.set_platform(config.seed, fences_checked);
    let schedule = draw_schedule(config, &deployment);
    let begun = Instant::now();
    let begun_at = since_epoch();
    let Seen {
        calls,
        streams,
        crowded,
    } = disturb(&deployment, config, &schedule, begun);
    deployment.heal();
    let recovered = wait_until_served(&deployment, config.seed + 1, config.recovery);
    violations.extend(recovered);
    deployment.wait_for_deferred();
    thread::sleep(LATE_RUNS);
    let exits = deployment.restart_ended();
    let records = deployment.records();
    let (quiet, of_calls) = judge_calls(&deployment, &records, &calls, begun);
    violations.extend(of_calls);
    let arrivals = seen_arrivals(&records, begun);
    violations.extend(judge_repeats(&calls, &arrivals, MODEL_POOL, &REPEAT_BUDGET));
    let reports = deployment.usage_reports();
    violations.extend(judge_reports(&reports));
    let windows = usage_windows::count(&reports, usage_windows::due(&(begun_at..since_epoch())));
    let circumstances = deployment.circumstances(fences_checked);
    violations.extend(authority::judge(&deployment.duty_calls(begun), &circumstances));
    let reached = engine_arrivals(&records, begun);
    violations.extend(judge_spoilt(&deployment, &reached, &calls, begun));
    let limits: Vec<LimitSpan> = records
        .limits
        .iter()
        .map(|record| LimitSpan::of(record, begun))
        .collect();
    violations.extend(rate_limits::judge(
        &limits,
        &reached,
        &calls,
        &deployment.disturbances,
        &deployment.on_other_build,
    ));
    if config.other_build.is_none() {
        violations.extend(rated_callers::judge(&calls, &reached));
    }
    violations.extend(resumers::judge(&streams));
    violations.extend(judge_signals(&deployment, &records, &calls, begun));
    let crashing = crashing_arrivals(&records, begun);
    let crashes = crashes::count(&calls, &crashing, &deployment.disturbances);
    violations.extend(crashes::judge(&crashes));
    let crashes = crashes.into_values().collect();
    let crash_times = crash_times(&records, begun);
    let quiet_times = Quiet {
        disturbances: &deployment.disturbances,
        crashes: &crash_times,
    };
    let shares = sharers::count(&calls, &crashing, &quiet_times);
    violations.extend(sharers::judge(&shares));
    let crowded = crowding::count(&crowded, &calls, &quiet_times);
    violations.extend(crowding::judge(&crowded));
    let cuts = config.planned_work.then(|| {
        let reached = arrivals.iter().map(|arrival| arrival.request.clone()).collect();
        let (count, cut) = planned_work::judge(&calls, &reached, &deployment.stops(begun));
        violations.extend(cut);
        count
    });
    let peak_memory = deployment.peak_memory();
    violations.extend(crowds::judge(&peak_memory));
    let descriptors = descriptors.seen();
    if descriptors.is_near_limit() {
        violations.push(Violation::OutOfDescriptors(descriptors));
    }
    Ok(FaultSoakReport {
        crashes,
        shares: shares.into_values().collect(),
        crowded,
        cuts,
        quiet,
        take_ups: TakeUpCount::of(&streams),
        windows,
        deferrals: deployment.deferrals(),
        fences_checked,
        descriptors,
        peak_memory,
        ..report(config.seed, schedule.len(), &calls, exits, violations)
    })
}

/// All that strikes in a run, in order.
fn draw_schedule(config: &FaultSoakConfig, deployment: &Deployment) -> Vec<schedule::ScheduledFault> {
    let targets = deployment.targets();
    if config.planned_work {
        let mut schedule = planned_work::draw(config.seed, config.length, targets);
        if config.silences {
            schedule.extend(planned_work::draw_silences(config.seed, config.length, targets));
            schedule.sort_by_key(|scheduled| scheduled.at);
        }
        return schedule;
    }
    let mut schedule = schedule::draw(config.seed, config.length, targets, config.pace);
    if config.restores {
        schedule.extend(platform_schedule::draw_restores(
            config.seed,
            config.length,
            config.pace,
        ));
    }
    if config.deferrals {
        schedule.extend(platform_schedule::draw_deferrals(
            config.seed,
            config.length,
            targets,
            config.pace,
        ));
    }
    schedule.sort_by_key(|scheduled| scheduled.at);
    schedule
}

/// Time since the start of 1970; zero on a machine whose clock is set before it.
fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// What callers saw, and what was done to where they come.
struct Seen {
    calls: Vec<SeenCall>,
    streams: Vec<SeenStream>,
    crowded: Vec<CrowdedSpan>,
}

fn disturb(
    deployment: &Deployment,
    config: &FaultSoakConfig,
    schedule: &[schedule::ScheduledFault],
    begun: Instant,
) -> Seen {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..config.callers)
            .map(|number| {
                let caller = Caller::new(config.seed, number);
                scope.spawn(|| caller.run(deployment, begun, &stop))
            })
            .collect();
        let crashers: Vec<_> = (0..config.crashers)
            .map(|number| {
                let crasher = Crasher::new(config.seed, number);
                scope.spawn(|| crasher.run(deployment, begun, &stop))
            })
            .collect();
        let groups = 0..config.part_crashers;
        let sound = groups
            .clone()
            .flat_map(|group| (0..SOUND_CALLERS).map(move |number| (group, number)));
        let sharers: Vec<_> = groups
            .map(|group| Sharer::crashing(config.seed, group))
            .chain(sound.map(|(group, number)| Sharer::sound(config.seed, group, number)))
            .map(|sharer| scope.spawn(|| sharer.run(deployment, config.length, begun, &stop)))
            .collect();
        let late_readers: Vec<_> = (0..config.late_readers)
            .map(|number| {
                let reader = LateReader::new(config.seed, number);
                scope.spawn(|| reader.run(deployment, begun, &stop))
            })
            .collect();
        let rated: Vec<_> = (0..config.rated_callers)
            .map(|number| {
                let caller = RatedCaller::new(config.seed, number);
                scope.spawn(|| caller.run(deployment, begun, &stop))
            })
            .collect();
        let resumers: Vec<_> = (0..config.resumers)
            .map(|number| {
                let resumer = Resumer::new(config.seed, number);
                scope.spawn(|| resumer.run(deployment, begun, &stop))
            })
            .collect();
        let streamers: Vec<_> = (0..config.streamers)
            .map(|number| {
                let streamer = Streamer::new(config.seed, number);
                scope.spawn(|| streamer.run(deployment, begun, &stop))
            })
            .collect();
        let bound: Vec<_> = (0..config.bound_callers)
            .map(|number| {
                let caller = BoundCaller::new(config.seed, number);
                scope.spawn(|| caller.run(deployment, begun, &stop))
            })
            .collect();
        for number in 0..config.crowds {
            let sender = CrowdSender::new(config.seed, number);
            let stop = &stop;
            scope.spawn(move || sender.run(deployment, stop));
        }
        let crowding = scope.spawn(|| crowding::run(deployment, config.seed, config.length, begun, &stop));
        let upgrade = config.other_build.as_ref().map(|other| {
            scope.spawn(|| {
                upgrading::upgrade_and_go_back(deployment, other, &config.program, begun, config.length)
            })
        });
        striking::strike(deployment, schedule, begun);
        if let Some(upgrade) = upgrade
            && upgrade.join().is_err()
        {
            log::error!("upgrade_not_ended");
        }
        stop.store(true, Ordering::Relaxed);
        let all = callers
            .into_iter()
            .chain(crashers)
            .chain(sharers)
            .chain(late_readers)
            .chain(rated)
            .chain(streamers)
            .chain(bound);
        let mut calls: Vec<SeenCall> = all.filter_map(|caller| caller.join().ok()).flatten().collect();
        let mut streams = Vec::new();
        for record in resumers.into_iter().filter_map(|resumer| resumer.join().ok()) {
            calls.extend(record.calls);
            streams.extend(record.streams);
        }
        Seen {
            calls,
            streams,
            crowded: crowding.join().unwrap_or_default(),
        }
    })
}

/// Waits until every node serves every kind as the newest configuration says; those that do not in time.
fn wait_until_served(deployment: &Deployment, seed: u64, recovery: Duration) -> Vec<Violation> {
    let until = Instant::now() + recovery;
    let probes = thread::scope(|scope| {
        let nodes: Vec<_> = (0..deployment.targets().nodes)
            .map(|node| scope.spawn(move || probe_until_served(deployment, seed, node, until)))
            .collect();
        nodes
            .into_iter()
            .map(|probe| {
                probe
                    .join()
                    .unwrap_or_else(|_| Some("the probe failed".to_owned()))
            })
            .collect::<Vec<_>>()
    });
    let failed = (0..).zip(probes);
    failed
        .filter_map(|(node, fault)| Some(Violation::NotRecovered(node, fault?)))
        .collect()
}

fn probe_until_served(deployment: &Deployment, seed: u64, node: usize, until: Instant) -> Option<String> {
    let mut caller = Caller::new(seed, PROBES + seed * 100 + node as u64);
    loop {
        let fault = probe(deployment, &mut caller, node);
        if fault.is_none() || Instant::now() >= until {
            return fault;
        }
        deployment.list_stages();
        deployment.revive_crashed();
        thread::sleep(PROBE_EVERY);
    }
}

/// Numbers from which probing callers are counted.
const PROBES: u64 = 1_000_000;

/// Asks a node for each kind once; what was wrong.
fn probe(deployment: &Deployment, caller: &mut Caller, node: usize) -> Option<String> {
    CallKind::ALL.into_iter().find_map(|kind| {
        let seen = caller.call(deployment.address(node), node, kind, Instant::now());
        let status = seen.answer.as_ref().map(|answer| answer.status);
        if status != Some(200) {
            return Some(format!("{kind:?}: status {status:?}"));
        }
        let pool = deployment.pool_that_ran(&seen.request);
        let wanted = deployment.configured_pool();
        let misplaced = !kind.has_events() && pool != Some(wanted);
        misplaced.then(|| format!("{kind:?}: ran at {pool:?}, configured is {wanted}"))
    })
}

fn is_probe(request: &str) -> bool {
    let number = request.trim_start_matches("caller").split('-').next();
    let number: Option<u64> = number.and_then(|number| number.parse().ok());
    number.is_some_and(|number| number >= PROBES)
}
