//! Joins the platform's lagging list with what the nodes find out themselves.
//!
//! An entry that is leaving counts at once. An entry that is missing counts for nothing, since the list lags: only
//! watchers declare a death.

use super::events::GossipEvent;
use super::gossiper::Gossiper;
use super::observation::engine_address;
use super::record::{EngineRecord, Liveness, Record, RecordBody, RecordKey, RecordVersion};
use super::rendezvous::rank;
use super::subject::SubjectHandle;
use super::view::{liveness, set_liveness};
use crate::identity::{EngineId, NodeId};
use crate::machine::{Machine, MachineService, MachineState};
use crate::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Kind of task whose holder reads the list and the store's head for its zone.
const POLLER_TASK: &str = "poller";

impl Gossiper {
    /// Whether this node reads the platform for its zone. Two may think so for a while; that costs a read.
    pub fn is_zone_poller(&self) -> bool {
        let task = SubjectHandle::of_text(POLLER_TASK, self.identity.zone.as_str());
        rank(task, self.own, &self.task_candidates(), 1).is_some()
    }

    /// Takes in the platform's list, as its poller read it.
    pub fn join_machines(&mut self, machines: &[Machine], now: MonotonicTime) {
        self.learn_regions(machines);
        self.learn_seeds(machines);
        let zone = self.identity.zone.clone();
        for machine in machines.iter().filter(|machine| machine.zone == zone) {
            match engine_address(machine.service) {
                Some(_) => self.join_engine(machine, now),
                None => self.join_node(machine, now),
            }
        }
    }

    /// Addresses that a node without peers turns to.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) && !self.is_own_address(seed) {
                self.seeds.push(seed);
            }
        }
    }

    fn learn_regions(&mut self, machines: &[Machine]) {
        let mut changed = false;
        for machine in machines {
            let previous = self.regions.insert(machine.zone.clone(), machine.region.clone());
            changed |= previous.as_ref() != Some(&machine.region);
        }
        if changed {
            self.peers.invalidate();
        }
    }

    fn learn_seeds(&mut self, machines: &[Machine]) {
        let controllers = machines.iter().filter_map(|machine| match machine.service {
            MachineService::Node { controller, .. } => Some(controller),
            _ => None,
        });
        self.add_seeds(controllers);
    }

    fn is_own_address(&self, address: SocketAddr) -> bool {
        matches!(self.identity.service, MachineService::Node { controller, .. } if controller == address)
    }

    fn join_engine(&mut self, machine: &Machine, now: MonotonicTime) {
        let key = RecordKey::Engine(EngineId::new(machine.name.clone()));
        let handle = SubjectHandle::of(&key);
        let Some(fact) = self.store.held(handle) else {
            let body = EngineRecord {
                zone: machine.zone.clone(),
                service: machine.service,
                machine_state: machine.state,
                liveness: Liveness::Alive,
                status: None,
            };
            let version = RecordVersion {
                incarnation: 0,
                sequence: 1,
            };
            self.write(
                Record {
                    key,
                    version,
                    age_millis: 0,
                    body: RecordBody::Engine(body),
                },
                now,
            );
            return;
        };
        let RecordBody::Engine(held) = &fact.record.body else {
            return;
        };
        let mut record = fact.record.clone();
        let body = EngineRecord {
            service: machine.service,
            zone: machine.zone.clone(),
            ..held.clone()
        };
        let body = EngineRecord {
            machine_state: self.joined_state(handle, held.machine_state, machine, now),
            ..body
        };
        record.body = RecordBody::Engine(body);
        self.write_if_changed(record, handle, now);
    }

    fn join_node(&mut self, machine: &Machine, now: MonotonicTime) {
        let key = RecordKey::Node(NodeId::new(machine.name.clone()));
        let handle = SubjectHandle::of(&key);
        if handle == self.own {
            if machine.state == MachineState::Leaving && self.own_liveness == Liveness::Alive {
                self.events.push(GossipEvent::OwnMachineLeaving);
                self.leave(now);
            }
            return;
        }
        let Some(fact) = self.store.held(handle) else {
            return;
        };
        let living = matches!(liveness(&fact.record), Liveness::Alive | Liveness::Suspect);
        if machine.state == MachineState::Leaving && living {
            let mut record = fact.record.clone();
            set_liveness(&mut record, Liveness::Leaving);
            self.write_if_changed(record, handle, now);
        }
    }

    /// A mark of leaving counts at once; it is taken back only when the list has said so for a while.
    fn joined_state(
        &mut self,
        handle: SubjectHandle,
        held: MachineState,
        machine: &Machine,
        now: MonotonicTime,
    ) -> MachineState {
        if machine.state == MachineState::Leaving || held == MachineState::Live {
            self.listed_live.remove(&handle);
            return machine.state;
        }
        let since = *self.listed_live.entry(handle).or_insert(now);
        if now.since(since) < Duration::from_millis(self.config.leaving_hold_millis) {
            return MachineState::Leaving;
        }
        self.listed_live.remove(&handle);
        MachineState::Live
    }

    fn write_if_changed(&mut self, mut record: Record, handle: SubjectHandle, now: MonotonicTime) {
        let Some(held) = self.store.held(handle) else {
            return;
        };
        if held.record.body != record.body {
            let observer = held.observer;
            record.version.sequence += 1;
            self.write_as(record, observer, now);
        }
    }
}
