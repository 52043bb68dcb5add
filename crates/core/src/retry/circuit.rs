//! A circuit per engine: after some failures in a row the engine is left alone for a while, then tried once.

use crate::identity::EngineId;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// When a circuit opens and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CircuitSettings {
    /// Failures in a row that open it.
    pub failures: u32,
    /// First time that it stays open; doubled each time a trial fails.
    pub open_for: Duration,
    /// Longest time that it stays open.
    pub ceiling: Duration,
}

impl Default for CircuitSettings {
    fn default() -> Self {
        Self {
            failures: 3,
            open_for: Duration::from_secs(1),
            ceiling: Duration::from_secs(30),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Circuit {
    failures: u32,
    openings: u32,
    open_until: Option<MonotonicTime>,
}

/// Circuits of all engines.
#[derive(Clone, Debug, Default)]
pub struct Circuits {
    settings: CircuitSettings,
    circuits: BTreeMap<EngineId, Circuit>,
}

impl Circuits {
    /// No failures so far.
    pub fn new(settings: CircuitSettings) -> Self {
        Self {
            settings,
            circuits: BTreeMap::new(),
        }
    }

    /// Engines that are to be left alone at `now`.
    pub fn open(&self, now: MonotonicTime) -> Vec<EngineId> {
        let is_open = |circuit: &Circuit| circuit.open_until.is_some_and(|until| now < until);
        self.circuits
            .iter()
            .filter(|(_, circuit)| is_open(circuit))
            .map(|(engine, _)| engine.clone())
            .collect()
    }

    /// An engine answered.
    pub fn on_success(&mut self, engine: &EngineId) {
        self.circuits.remove(engine);
    }

    /// An engine could not be reached, or broke a stream.
    pub fn on_failure(&mut self, engine: &EngineId, now: MonotonicTime) {
        let settings = self.settings;
        let circuit = self.circuits.entry(engine.clone()).or_default();
        circuit.failures += 1;
        if circuit.failures < settings.failures {
            return;
        }
        let doublings = circuit.openings.min(16);
        let time = (settings.open_for * (1u32 << doublings)).min(settings.ceiling);
        circuit.openings += 1;
        circuit.open_until = Some(now + time);
    }
}
