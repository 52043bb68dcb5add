//! Waiting until every node knows something.

use super::fleet::Fleet;
use super::hollow_node::HollowNode;
use shelfjunction_core::identity::{EngineId, Generation, NodeId};
use shelfjunction_core::machine::MachineState;
use shelfjunction_core::membership::record::{Liveness, Record, RecordBody, RecordKey};
use shelfjunction_core::membership::view::liveness;
use std::time::{Duration, Instant};

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Something that a node may know.
#[derive(Clone, Debug)]
pub enum Knowledge {
    /// A bundle of at least this generation is in force.
    InForce(Generation),
    /// The engine is to be taken away.
    Leaving(EngineId),
    /// The engine exists and has a status.
    Present(EngineId),
    /// The engine is dead.
    DeadEngine(EngineId),
    /// The node is dead.
    DeadNode(NodeId),
    /// The node lives in this incarnation.
    Restarted(NodeId, u64),
}

impl Knowledge {
    /// Whether a node knows it.
    pub fn holds_at(&self, node: &HollowNode) -> bool {
        let engine = |engine: &EngineId| node.gossip.record(&RecordKey::Engine(engine.clone()));
        match self {
            Self::InForce(generation) => node.generation() >= *generation,
            Self::Leaving(id) => engine(id).is_some_and(|record| is_leaving(&record)),
            Self::Present(id) => engine(id).is_some_and(|record| has_status(&record)),
            Self::DeadEngine(id) => engine(id).is_some_and(|record| liveness(&record) == Liveness::Dead),
            Self::DeadNode(id) => {
                let record = node.gossip.record(&RecordKey::Node(id.clone()));
                record.is_some_and(|record| liveness(&record) == Liveness::Dead)
            }
            Self::Restarted(id, incarnation) => {
                let record = node.gossip.record(&RecordKey::Node(id.clone()));
                record.is_some_and(|record| {
                    record.version.incarnation >= *incarnation && liveness(&record) == Liveness::Alive
                })
            }
        }
    }
}

/// Waits until each is known at every running node; gives the time each took, absent past the patience.
pub fn wait_for_all(fleet: &Fleet, awaited: &[Knowledge], patience: Duration) -> Vec<Option<Duration>> {
    let begin = Instant::now();
    let mut times = vec![None; awaited.len()];
    while begin.elapsed() < patience && times.iter().any(Option::is_none) {
        for (knowledge, time) in awaited.iter().zip(&mut times) {
            if time.is_none() && everyone(fleet, |node| knowledge.holds_at(node)) {
                *time = Some(begin.elapsed());
            }
        }
        std::thread::sleep(LOOK);
    }
    times
}

/// Waits until every running node holds the same facts.
pub fn wait_for_agreement(fleet: &Fleet, patience: Duration) -> Option<Duration> {
    let begin = Instant::now();
    while begin.elapsed() < patience {
        let mut digests = fleet.each_node(|_, node| node.gossip.facts_digest());
        digests.sort_unstable();
        digests.dedup();
        if digests.len() <= 1 {
            return Some(begin.elapsed());
        }
        std::thread::sleep(LOOK * 5);
    }
    None
}

/// Waits until every node knows of all nodes and engines and has the bundle.
pub fn wait_for_join(fleet: &Fleet, generation: Generation, patience: Duration) -> Option<Duration> {
    let begin = Instant::now();
    let subjects = fleet.plan.nodes.len() + fleet.plan.engines.len();
    while begin.elapsed() < patience {
        if everyone(fleet, |node| {
            node.generation() >= generation && node.gossip.records().len() >= subjects
        }) {
            return Some(begin.elapsed());
        }
        std::thread::sleep(LOOK * 10);
    }
    None
}

/// Whether a condition holds at every running node; stops at the first where it does not.
fn everyone(fleet: &Fleet, holds: impl Fn(&HollowNode) -> bool) -> bool {
    fleet.slots.iter().all(|slot| {
        let slot = slot.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        slot.as_ref().is_none_or(&holds)
    })
}

fn has_status(record: &Record) -> bool {
    matches!(&record.body, RecordBody::Engine(engine) if engine.status.is_some())
}

fn is_leaving(record: &Record) -> bool {
    matches!(&record.body, RecordBody::Engine(engine) if engine.machine_state == MachineState::Leaving)
}
