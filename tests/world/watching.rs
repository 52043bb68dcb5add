//! Starts and ends of gateways, and how they learn about engines.

use super::callers::CallerEnd;
use super::controller::ProcessState;
use super::fleet::{Fleet, Happening};
use super::gateway::{GatewayProcess, GatewayWork};
use super::network::{Fate, Place};
use super::serving::Serving;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::machine::MachineState;
use shelfjunction_core::membership::record::{EngineRecord, Liveness};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Time between two looks of a gateway at the engines and at the machine list.
const WATCH: Duration = Duration::from_millis(300);

impl Fleet {
    pub(super) fn new_gateway(&mut self, zone: usize) -> GatewayProcess {
        self.starts += 1;
        let offset = Duration::from_millis(self.random.random_range(0..1_000_000));
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        GatewayProcess::new(zone, self.starts, offset, random, self.planted)
    }

    pub(super) fn begin_gateway(&mut self, gateway: usize) {
        let start = self.gateways[gateway].start;
        self.later(self.now, Serving::Watches { gateway, start });
    }

    /// A gateway looks at every engine and at the platform's list.
    pub(super) fn gateway_watches(&mut self, gateway: usize, start: u64) {
        let process = &self.gateways[gateway];
        if process.start != start || process.state == ProcessState::Down {
            return;
        }
        let zone = process.zone;
        let asked_at = process.clock.read(self.now);
        self.later(self.now + WATCH, Serving::Watches { gateway, start });
        for engine in 0..self.engines.len() {
            let place = Place::Zone(self.engines[engine].zone);
            if let Fate::Arrives(delay) = self.network.request(Place::Zone(zone), place) {
                let asked = Serving::RecordAsked {
                    gateway,
                    start,
                    engine,
                    asked_at,
                };
                self.later(self.now + delay, asked);
            }
        }
        if let Fate::Arrives(delay) = self.network.request(Place::Zone(zone), Place::Platform) {
            let machines = self.engines.iter();
            let machines = machines
                .map(|engine| (engine.engine.clone(), engine.machine_state))
                .collect();
            let work = GatewayWork::Machines(machines);
            self.later(self.now + delay, Serving::Work { gateway, start, work });
        }
    }

    pub(super) fn record_asked(
        &mut self,
        gateway: usize,
        start: u64,
        engine: usize,
        asked_at: MonotonicTime,
    ) {
        let process = &mut self.engines[engine];
        if !process.up {
            return;
        }
        let record = Box::new(EngineRecord {
            zone: Self::zone_id(process.zone),
            service: process.service(),
            machine_state: MachineState::Live,
            liveness: Liveness::Alive,
            status: Some(process.status(self.now)),
        });
        let engine = process.engine.clone();
        let from = Place::Zone(process.zone);
        let to = Place::Zone(self.gateways[gateway].zone);
        if let Fate::Arrives(delay) = self.network.answer(from, to) {
            let work = GatewayWork::Record {
                engine,
                record,
                asked_at,
            };
            self.later(self.now + delay, Serving::Work { gateway, start, work });
        }
    }

    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        if self.gateways[gateway].state == ProcessState::Down {
            return;
        }
        self.gateways[gateway].state = ProcessState::Down;
        let lost: Vec<usize> = self.gateways[gateway].courses.keys().copied().collect();
        for caller in lost {
            self.end_caller(caller, CallerEnd::ConnectionLost);
        }
        self.restart_later(Happening::GatewayStarts(gateway));
    }
}
