//! Makes the faults of a schedule happen, each in its time, and takes them back.

use super::crashes::CONTACT;
use super::deployment::Deployment;
use super::disturbances::Struck;
use super::region_faults::RegionFault;
use super::schedule::{DrainEnd, Fault, ScheduledFault};
use super::striking_regions;
use crate::relay::LinkFault;
use crate::users_platform::{StoreMode, USUAL_PACE_PERCENT};
use std::thread;
use std::time::{Duration, Instant};

/// Requests in a row that an engine fault strikes.
const STRUCK_REQUESTS: usize = 5;

/// Times that something is done in a series.
const SERIES: u32 = 3;

/// Pause between two looks at nodes that ended by themselves and at engines' stages.
const TEND_EVERY: Duration = Duration::from_millis(100);

/// Carries out a schedule; returns when all of it has been taken back.
pub fn strike(deployment: &Deployment, schedule: &[ScheduledFault], begun: Instant) {
    thread::scope(|scope| {
        let mut faults = Vec::new();
        for scheduled in schedule {
            tend_until(deployment, begun + scheduled.at);
            faults.push(scope.spawn(move || {
                if scheduled.fault.excuses_nothing() {
                    return strike_platform(deployment, scheduled, begun);
                }
                let struck = scheduled.fault.struck();
                let place = deployment.disturbances.begin(struck, begun.elapsed());
                let restart = scheduled
                    .fault
                    .restarts()
                    .then(|| deployment.restarts.begin(struck, begun.elapsed()));
                let links = struck_engine_links(deployment, scheduled.fault)
                    .into_iter()
                    .map(|engine| {
                        deployment
                            .engine_links
                            .begin(Struck::Node(engine), begun.elapsed())
                    });
                let links: Vec<usize> = links.collect();
                strike_platform(deployment, scheduled, begun);
                deployment.disturbances.end(place, begun.elapsed());
                if let Some(restart) = restart {
                    deployment.restarts.end(restart, begun.elapsed());
                }
                for link in links {
                    deployment.engine_links.end(link, begun.elapsed());
                }
            }));
        }
        // The last faults may outlast the schedule, and engines crash until the callers stop.
        while faults.iter().any(|fault| !fault.is_finished()) {
            tend(deployment);
            thread::sleep(TEND_EVERY);
        }
    });
}

/// Engines whose links a fault strikes.
fn struck_engine_links(deployment: &Deployment, fault: Fault) -> Vec<usize> {
    if let Fault::Region(RegionFault::StopEngines(region), _) = fault {
        return deployment.engines_of(region);
    }
    fault.struck_engine_link().into_iter().collect()
}

fn tend_until(deployment: &Deployment, until: Instant) {
    while Instant::now() < until {
        tend(deployment);
        thread::sleep(TEND_EVERY.min(until.saturating_duration_since(Instant::now())));
    }
}

/// Starts again what has ended by itself or crashed, and lists what has changed.
fn tend(deployment: &Deployment) {
    deployment.restart_ended();
    deployment.list_stages();
    deployment.revive_crashed();
}

/// Carries out a fault and notes what of it is the platform's, and where it heals links.
fn strike_platform(deployment: &Deployment, scheduled: &ScheduledFault, begun: Instant) {
    log::info!(fault:? = scheduled.fault; "fault_struck");
    if scheduled.fault.disrupts_platform() {
        deployment.disrupt_platform(begun, || strike_one(deployment, scheduled, begun));
    } else {
        strike_one(deployment, scheduled, begun);
    }
    if scheduled.fault.heals_links() {
        deployment.heal_noted(scheduled.fault.struck(), begun, || {});
    }
    log::info!(fault:? = scheduled.fault; "fault_ended");
}

fn strike_one(deployment: &Deployment, scheduled: &ScheduledFault, begun: Instant) {
    let nodes = deployment.targets().nodes;
    let wait = || thread::sleep(scheduled.lasts);
    match scheduled.fault {
        Fault::StoreLink(node, fault) => {
            deployment.store_link(node).set_fault(fault);
            wait();
            deployment.store_link(node).set_fault(LinkFault::None);
        }
        Fault::EngineLink(engine, fault) => {
            let link = deployment.engine_link(engine);
            link.set_fault(fault);
            wait();
            link.set_fault(LinkFault::None);
        }
        Fault::ResetStoreLink(node) => deployment.store_link(node).reset(),
        Fault::ResetEngineLink(engine) => deployment.engine_link(engine).reset(),
        Fault::StoreForOne(node, mode) => {
            deployment.set_store_mode(node, mode);
            wait();
            deployment.set_store_mode(node, StoreMode::Serving);
        }
        Fault::StoreForAll(mode) => {
            (0..nodes).for_each(|node| deployment.set_store_mode(node, mode));
            wait();
            (0..nodes).for_each(|node| deployment.set_store_mode(node, StoreMode::Serving));
        }
        Fault::DeferTransactions(node) => {
            deployment.defer_transactions(node, true);
            wait();
            deployment.defer_transactions(node, false);
        }
        Fault::DeferTransactionsOfAll => {
            (0..nodes).for_each(|node| deployment.defer_transactions(node, true));
            wait();
            (0..nodes).for_each(|node| deployment.defer_transactions(node, false));
        }
        Fault::DeferDutyCalls => {
            deployment.defer_duty_calls(true);
            wait();
            deployment.defer_duty_calls(false);
        }
        Fault::ForgetHistory => deployment.forget_history(),
        Fault::RestoreStore => {
            let copy = deployment.copy_store();
            wait();
            deployment.disrupt_platform(begun, || {
                deployment.restore_store(&copy);
                thread::sleep(REWRITE_PAUSE);
                deployment.write_rows_again();
            });
        }
        Fault::Kill(node) => {
            deployment.kill(node);
            wait();
            restart(deployment, node);
        }
        Fault::KillAll => {
            (0..nodes).for_each(|node| deployment.kill(node));
            wait();
            (0..nodes).for_each(|node| restart(deployment, node));
        }
        Fault::Pause(node) => {
            deployment.pause(node, true);
            wait();
            deployment.heal_noted(Struck::Node(node), begun, || deployment.pause(node, false));
        }
        Fault::Stop(node) => {
            deployment.stop(node);
            restart(deployment, node);
        }
        Fault::Engine(engine, fault) => {
            (0..STRUCK_REQUESTS).for_each(|_| deployment.next_request(engine, fault));
        }
        Fault::Replace(engine) => {
            deployment.drain(engine);
            wait();
            if let Err(error) = deployment.replace(engine) {
                log::error!(engine, error:% = error; "engine_not_replaced");
            }
        }
        Fault::ReplaceInOrder(engine) => {
            deployment.drain(engine);
            wait();
            match deployment.replace_in_order(engine) {
                Ok(leaving) => {
                    thread::sleep(LEAVES_AFTER);
                    leaving.stop();
                }
                Err(error) => log::error!(engine, error:% = error; "engine_not_replaced"),
            }
        }
        Fault::ComeBack(engine) => {
            if let Err(error) = deployment.come_back(engine) {
                log::error!(engine, error:% = error; "engine_not_started");
            }
        }
        Fault::SpoilEntry(engine, spoilt) => {
            deployment.spoil(engine, spoilt);
            // Longer than nodes in touch may take to know.
            thread::sleep(CONTACT);
            wait();
            deployment.mend_entry(engine);
        }
        Fault::PaceChanges(engine, percent) => change_pace(deployment, engine, percent, scheduled.lasts),
        Fault::NameLimit(engine, thousandths) => {
            deployment.name_limit(engine, Some(f64::from(thousandths) / 1_000.0));
            wait();
            deployment.name_limit(engine, None);
        }
        Fault::NameLimitsOfAll(thousandths) => {
            let engines = 0..deployment.targets().engines;
            let limit = Some(f64::from(thousandths) / 1_000.0);
            engines
                .clone()
                .for_each(|engine| deployment.name_limit(engine, limit));
            wait();
            engines.for_each(|engine| deployment.name_limit(engine, None));
        }
        Fault::AnnounceDrain(engine, end) => {
            deployment.announce_draining(engine);
            wait();
            end_drain(deployment, engine, end, scheduled.lasts);
        }
        Fault::AskBackoff(engine, millis) => {
            deployment.ask_backoff(engine, Some(Duration::from_millis(millis)));
            wait();
            deployment.ask_backoff(engine, None);
        }
        Fault::AskBackoffOfAll(millis) => {
            let engines = 0..deployment.targets().engines;
            let backoff = Some(Duration::from_millis(millis));
            engines
                .clone()
                .for_each(|engine| deployment.ask_backoff(engine, backoff));
            wait();
            engines.for_each(|engine| deployment.ask_backoff(engine, None));
        }
        Fault::Reconfigure => {
            deployment.reconfigure();
        }
        Fault::EnginesRefuse => {
            deployment.refuse_most(true);
            wait();
            deployment.refuse_most(false);
        }
        Fault::KillAllInSeries => in_series(scheduled.lasts * SERIES, || kill_all(deployment)),
        Fault::KillAllWhileEnginesRefuse => {
            deployment.refuse_most(true);
            wait();
            in_series(scheduled.lasts * SERIES, || kill_all(deployment));
            deployment.refuse_most(false);
        }
        Fault::StopInSeries => stop_in_series(deployment, scheduled.lasts),
        Fault::ReconfigureInSeries => in_series(scheduled.lasts, || {
            deployment.reconfigure();
        }),
        Fault::Reload(node) => deployment.reload(node),
        Fault::ReloadAndStop(node) => {
            deployment.reload(node);
            deployment.stop(node);
            restart(deployment, node);
        }
        Fault::SilenceEngineLink(engine) => deployment.engine_link(engine).silence_open(),
        Fault::SilenceStoreLink(node) => deployment.store_link(node).silence_open(),
        Fault::Region(fault, _) => striking_regions::strike(deployment, fault, scheduled.lasts, restart),
    }
}

/// Ends an engine that announced its drain.
fn end_drain(deployment: &Deployment, engine: usize, end: DrainEnd, lasts: Duration) {
    if end == DrainEnd::ListedLateAndReplaced {
        deployment.drain(engine);
    }
    if end == DrainEnd::NeverListedAndReplaced {
        deployment.unlist(engine);
    }
    thread::sleep(lasts / 2);
    let ended = match end {
        DrainEnd::ComesBack => deployment.come_back(engine),
        DrainEnd::ListedLateAndReplaced | DrainEnd::NeverListedAndReplaced => deployment.replace(engine),
    };
    if let Err(error) = ended {
        log::error!(engine, error:% = error; "engine_not_replaced");
    }
}

/// Changes an engine's pace and back, several times over a span.
fn change_pace(deployment: &Deployment, engine: usize, percent: u32, span: Duration) {
    let half = span / (2 * SERIES);
    for _ in 0..SERIES {
        deployment.set_pace(engine, percent);
        thread::sleep(half);
        deployment.set_pace(engine, USUAL_PACE_PERCENT);
        thread::sleep(half);
    }
}

/// Time for which an engine that has left the list goes on: longer than any request that it may have.
const LEAVES_AFTER: Duration = Duration::from_millis(5_000);

/// Time after which the operator and the engines write what a restored store has lost.
const REWRITE_PAUSE: Duration = Duration::from_millis(700);

/// Does the same several times over a span. Between two kills a node has about the time to serve again.
fn in_series(span: Duration, act: impl Fn()) {
    for _ in 0..SERIES {
        act();
        thread::sleep(span / SERIES);
    }
}

fn kill_all(deployment: &Deployment) {
    let nodes = deployment.targets().nodes;
    (0..nodes).for_each(|node| deployment.kill(node));
    (0..nodes).for_each(|node| restart(deployment, node));
}

fn stop_in_series(deployment: &Deployment, span: Duration) {
    let nodes = deployment.targets().nodes;
    thread::scope(|scope| {
        for node in 0..nodes {
            scope.spawn(move || {
                deployment.stop(node);
                restart(deployment, node);
            });
            thread::sleep(span / nodes as u32);
        }
    });
}

fn restart(deployment: &Deployment, node: usize) {
    if let Err(error) = deployment.start_node(node) {
        log::error!(node, error:% = error; "node_not_started");
    }
}
