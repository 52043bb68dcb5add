//! Reads the status of engines with a bounded number of threads.
//!
//! Membership names the engines that this controller watches for everybody. The holder of the zone's lease reads
//! every engine of the zone besides: it orders by what it has seen itself.

use crate::backoff::spread;
use crate::config::millis;
use crate::context::Context;
use crate::fleet;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::membership::observation::Observation;
use shelfjunction_core::orders::CommanderEvent;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Longest time a worker waits before it looks again for work.
const IDLE_WAIT: Duration = Duration::from_millis(50);

/// Time between two looks at which engines are to be read.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Clone, Debug, PartialEq, Eq)]
struct Target {
    engine: EngineId,
    address: SocketAddr,
    interval: Duration,
}

#[derive(Debug)]
struct Slot {
    target: Target,
    due: MonotonicTime,
    busy: bool,
}

/// Which engines are read and when each is due.
#[derive(Debug, Default)]
pub struct EngineSchedule {
    slots: Mutex<BTreeMap<EngineId, Slot>>,
}

impl EngineSchedule {
    fn replace(&self, targets: BTreeMap<EngineId, Target>, now: MonotonicTime) {
        let mut slots = lock(&self.slots);
        slots.retain(|engine, _| targets.contains_key(engine));
        for (engine, target) in targets {
            let slot = slots.entry(engine).or_insert(Slot {
                target: target.clone(),
                due: now,
                busy: false,
            });
            // An engine that is now read more often is due sooner than was planned.
            slot.due = slot.due.min(now + target.interval);
            slot.target = target;
        }
    }

    fn take_due(&self, now: MonotonicTime) -> Option<Target> {
        let mut slots = lock(&self.slots);
        let due = slots.values_mut().filter(|slot| !slot.busy && slot.due <= now);
        let slot = due.min_by_key(|slot| slot.due)?;
        slot.busy = true;
        Some(slot.target.clone())
    }

    fn put_back(&self, target: &Target, now: MonotonicTime) {
        if let Some(slot) = lock(&self.slots).get_mut(&target.engine) {
            slot.busy = false;
            slot.due = now + spread(slot.target.interval);
        }
    }
}

/// Keeps the schedule in step with membership until the controller stops.
pub fn run_schedule(context: &Context, schedule: &EngineSchedule) {
    while !context
        .stop
        .wait(REFRESH_INTERVAL.min(millis(context.config.timings.engine_poll_millis)))
    {
        schedule.replace(targets(context), context.now());
        let records = context.gossip.records().len();
        context
            .metrics
            .fleet_records
            .set(i64::try_from(records).unwrap_or(i64::MAX));
    }
}

/// Reads due engines, one at a time, until the controller stops.
pub fn run_worker(context: &Context, schedule: &EngineSchedule) {
    while !context.stop.is_set() {
        match schedule.take_due(context.now()) {
            Some(target) => {
                read(context, &target);
                schedule.put_back(&target, context.now());
            }
            None => {
                context.stop.wait(IDLE_WAIT);
            }
        }
    }
}

fn read(context: &Context, target: &Target) {
    // The status can't be older than this instant, whatever the delay of the answer.
    let observed_at = context.now();
    match context.services.engines.status(target.address) {
        Ok(status) if status.engine == target.engine => {
            context.metrics.engine_polls.inc();
            context.command.send(CommanderEvent::Status {
                observed_at,
                status: Box::new(status.clone()),
            });
            context
                .gossip
                .observe_engine(&target.engine, Observation::Answered(status));
        }
        Ok(status) => {
            log::warn!(engine:% = target.engine, found:% = status.engine; "engine_has_other_name");
            context.gossip.observe_engine(&target.engine, Observation::Missed);
        }
        Err(error) => {
            context.metrics.engine_poll_failures.inc();
            log::debug!(engine:% = target.engine, error:? = error; "engine_unread");
            context.gossip.observe_engine(&target.engine, Observation::Missed);
        }
    }
}

fn targets(context: &Context) -> BTreeMap<EngineId, Target> {
    let mut targets = BTreeMap::new();
    for watched in context.gossip.watched_engines() {
        let target = Target {
            engine: watched.engine.clone(),
            address: watched.address,
            interval: watched.interval,
        };
        targets.insert(watched.engine, target);
    }
    let command = context.command.status();
    if command.authority.is_some() {
        add_zone(context, &command.changing, &mut targets);
    }
    targets
}

/// Adds every engine of the zone; those that change are read more often, since each step waits for a fresh status.
fn add_zone(context: &Context, changing: &[EngineId], targets: &mut BTreeMap<EngineId, Target>) {
    let timings = &context.config.timings;
    for known in fleet::zone_engines(context) {
        let Some(address) = known.address() else {
            continue;
        };
        let interval = if changing.contains(&known.engine) {
            millis(timings.changing_poll_millis)
        } else {
            millis(timings.engine_poll_millis)
        };
        let target = targets.entry(known.engine.clone()).or_insert(Target {
            engine: known.engine,
            address,
            interval,
        });
        target.interval = target.interval.min(interval);
    }
}
