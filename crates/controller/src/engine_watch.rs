//! Reads the status of the zone's engines with a bounded number of threads.

use crate::backoff::spread;
use crate::config::millis;
use crate::context::Context;
use crate::stop::lock;
use shelfjunction_core::engine::EngineStatus;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::machine::{MachineService, MachineState};
use shelfjunction_core::membership::record::{EngineRecord, Liveness, RecordKey};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Longest time a worker waits before it looks again for work.
const IDLE_WAIT: Duration = Duration::from_millis(50);

/// Dead subjects are forgotten after this many times the limit that makes them dead.
const DEAD_RETENTION_FACTOR: u64 = 6;

/// An engine that this controller watches.
#[derive(Clone, Debug, PartialEq, Eq)]
struct WatchedEngine {
    engine: EngineId,
    service: MachineService,
    address: SocketAddr,
    state: MachineState,
}

#[derive(Debug)]
struct Slot {
    target: WatchedEngine,
    due: MonotonicTime,
    busy: bool,
}

/// Which engines are watched and when each is due.
#[derive(Debug, Default)]
pub struct EngineSchedule {
    slots: Mutex<BTreeMap<EngineId, Slot>>,
}

impl EngineSchedule {
    fn replace(&self, targets: Vec<WatchedEngine>, now: MonotonicTime) {
        let mut slots = lock(&self.slots);
        slots.retain(|engine, _| targets.iter().any(|target| target.engine == *engine));
        for target in targets {
            slots
                .entry(target.engine.clone())
                .and_modify(|slot| slot.target = target.clone())
                .or_insert(Slot {
                    target,
                    due: now,
                    busy: false,
                });
        }
    }

    fn take_due(&self, now: MonotonicTime) -> Option<WatchedEngine> {
        let mut slots = lock(&self.slots);
        let slot = slots
            .values_mut()
            .filter(|slot| !slot.busy && slot.due <= now)
            .min_by_key(|slot| slot.due)?;
        slot.busy = true;
        Some(slot.target.clone())
    }

    fn put_back(&self, engine: &EngineId, due: MonotonicTime) {
        if let Some(slot) = lock(&self.slots).get_mut(engine) {
            slot.busy = false;
            slot.due = due;
        }
    }
}

/// Keeps the schedule in step with the platform's list and the fleet's records until the controller stops.
pub fn run_schedule(context: &Context, schedule: &EngineSchedule) {
    let timings = &context.config.timings;
    let retention = millis(timings.engine_dead_millis * DEAD_RETENTION_FACTOR);
    loop {
        let now = context.now();
        schedule.replace(engines_to_watch(context), now);
        context.fleet.forget_dead(retention, now);
        context.metrics.fleet_records.set(context.fleet.len() as i64);
        if context.stop.wait(millis(timings.engine_poll_millis)) {
            return;
        }
    }
}

/// Reads due engines, one at a time, until the controller stops.
pub fn run_worker(context: &Context, schedule: &EngineSchedule) {
    let interval = millis(context.config.timings.engine_poll_millis);
    while !context.stop.is_set() {
        let Some(target) = schedule.take_due(context.now()) else {
            if context.stop.wait(IDLE_WAIT.min(interval)) {
                return;
            }
            continue;
        };
        poll(context, &target);
        schedule.put_back(&target.engine, context.now() + spread(interval));
    }
}

fn poll(context: &Context, target: &WatchedEngine) {
    match context.services.engines.status(target.address) {
        Ok(status) if status.engine == target.engine => {
            context.metrics.engine_polls.inc();
            observe(context, target, Some(status), Liveness::Alive);
        }
        Ok(status) => {
            log::warn!(engine:% = target.engine, found:% = status.engine; "engine_has_other_name");
            observe_missing(context, target);
        }
        Err(error) => {
            context.metrics.engine_poll_failures.inc();
            log::debug!(engine:% = target.engine, error:? = error; "engine_unread");
            observe_missing(context, target);
        }
    }
}

/// An engine is suspected only when no watcher has seen it lately: its record is old as well as unread here.
fn observe_missing(context: &Context, target: &WatchedEngine) {
    let timings = &context.config.timings;
    let key = RecordKey::Engine(target.engine.clone());
    let Some(known) = context.fleet.get(&key, context.now()) else {
        observe(context, target, None, Liveness::Suspect);
        return;
    };
    let shelfjunction_core::membership::record::RecordBody::Engine(body) = known.body else {
        return;
    };
    let age = u64::from(known.age_millis);
    let found = match body.liveness {
        Liveness::Alive | Liveness::Leaving if age >= timings.engine_suspect_millis => Liveness::Suspect,
        Liveness::Suspect if age >= timings.engine_dead_millis - timings.engine_suspect_millis => {
            Liveness::Dead
        }
        _ => return,
    };
    log::warn!(engine:% = target.engine, liveness:? = found; "engine_missed");
    observe(context, target, body.status, found);
}

fn observe(context: &Context, target: &WatchedEngine, status: Option<EngineStatus>, liveness: Liveness) {
    let body = EngineRecord {
        zone: context.config.zone.clone(),
        service: target.service,
        machine_state: target.state,
        liveness,
        status,
    };
    context.fleet.observe_engine(&target.engine, body, context.now());
}

/// Engines of this zone: the platform's list, or what peers know while it has not been read yet.
fn engines_to_watch(context: &Context) -> Vec<WatchedEngine> {
    match context.machines.list() {
        Some(list) => list
            .into_iter()
            .filter(|machine| machine.zone == context.config.zone)
            .filter_map(|machine| watched(EngineId::new(machine.name), machine.service, machine.state))
            .collect(),
        None => context
            .fleet
            .engines(context.now())
            .into_iter()
            .filter(|known| known.record.zone == context.config.zone)
            .filter_map(|known| watched(known.engine, known.record.service, known.record.machine_state))
            .collect(),
    }
}

fn watched(engine: EngineId, service: MachineService, state: MachineState) -> Option<WatchedEngine> {
    let address = match service {
        MachineService::ModelEngine { address } | MachineService::ApplicationEngine { address } => address,
        MachineService::Node { .. } => return None,
    };
    Some(WatchedEngine {
        engine,
        service,
        address,
        state,
    })
}
