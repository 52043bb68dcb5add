//! What can be done to the fleet from outside.

use super::commanding::Commanding;
use super::controller::{ProcessState, Work};
use super::engine::weights;
use super::fleet::{Fleet, Happening};
use super::history::EngineEntry;
use super::network::{Place, Weather};
use super::store::{self, StoreTrouble};
use shelfjunction_core::engine::{EngineStatus, Role};
use shelfjunction_core::identity::FencingToken;
use shelfjunction_core::machine::MachineState;
use shelfjunction_core::orders::{CommanderEvent, EngineGoal};

impl Fleet {
    /// Kills a controller; another start follows.
    pub fn kill_controller(&mut self, controller: usize) {
        let process = &mut self.controllers[controller];
        if process.state == ProcessState::Down {
            return;
        }
        process.state = ProcessState::Down;
        self.restart_later(Happening::ControllerStarts(controller));
    }

    /// Stops a controller in its tracks; with `clock` its clock stands still as well.
    pub fn pause_controller(&mut self, controller: usize, clock: bool) {
        let process = &mut self.controllers[controller];
        if process.state != ProcessState::Up {
            return;
        }
        process.state = ProcessState::Paused;
        if clock {
            process.clock.stop(self.now);
        }
    }

    /// Lets a paused controller go on where it was.
    pub fn resume_controller(&mut self, controller: usize) {
        let process = &mut self.controllers[controller];
        if process.state != ProcessState::Paused {
            return;
        }
        process.state = ProcessState::Up;
        process.clock.resume(self.now);
        let start = process.start;
        for work in std::mem::take(&mut process.inbox) {
            self.work(controller, start, work);
        }
    }

    /// Asks a controller to stop in the planned way: it gives up its lease.
    pub fn release(&mut self, controller: usize) {
        let start = self.controllers[controller].start;
        self.work(controller, start, Work::Event(CommanderEvent::Release));
        self.restart_later(Commanding::Stops { controller, start });
    }

    /// Stops a gateway in its tracks; with `clock` its clock stands still as well.
    pub fn pause_gateway(&mut self, gateway: usize, clock: bool) {
        let process = &mut self.gateways[gateway];
        if process.state != ProcessState::Up {
            return;
        }
        process.state = ProcessState::Paused;
        if clock {
            process.clock.stop(self.now);
        }
    }

    /// Lets a paused gateway go on where it was.
    pub fn resume_gateway(&mut self, gateway: usize) {
        let process = &mut self.gateways[gateway];
        if process.state != ProcessState::Paused {
            return;
        }
        process.state = ProcessState::Up;
        process.clock.resume(self.now);
        let start = process.start;
        for work in std::mem::take(&mut process.inbox) {
            self.gateway_work(gateway, start, work);
        }
    }

    /// Kills a gateway; another start follows.
    pub fn crash_gateway(&mut self, gateway: usize) {
        self.kill_gateway(gateway);
    }

    /// Asks a gateway to stop in the planned way: it takes nothing new and ends with its last stream.
    pub fn stop_gateway(&mut self, gateway: usize) {
        let process = &mut self.gateways[gateway];
        if process.state != ProcessState::Up {
            return;
        }
        process.stopping = true;
        if process.courses.is_empty() {
            self.kill_gateway(gateway);
        }
    }

    /// The platform announces that it takes an engine's machine away.
    pub fn announce_leaving(&mut self, engine: usize) {
        self.engines[engine].machine_state = MachineState::Leaving;
        let role = self.engine_status(engine).0.role;
        self.want(engine, role, true);
    }

    /// Number of gateways.
    pub fn gateways(&self) -> usize {
        self.gateways.len()
    }

    /// Requests that have not ended, by index of the caller, with their gateways.
    pub fn open_courses(&self) -> Vec<(usize, usize)> {
        let gateways = self.gateways.iter().enumerate();
        let open = gateways.filter(|(_, process)| process.state != ProcessState::Down);
        open.flat_map(|(gateway, process)| process.courses.keys().map(move |caller| (gateway, *caller)))
            .collect()
    }

    /// Ends an engine's process, whatever it is doing; another start follows.
    pub fn crash_engine(&mut self, engine: usize) {
        if !self.engines[engine].up {
            return;
        }
        self.engines[engine].crash();
        self.history
            .engines
            .push(EngineEntry::Crashed { at: self.now, engine });
        self.restart_later(Happening::EngineStarts(engine));
    }

    /// Changes how messages fare.
    pub fn set_weather(&mut self, weather: Weather) {
        self.network.set_weather(weather);
    }

    /// Cuts two places off from one another.
    pub fn cut(&mut self, left: Place, right: Place) {
        self.network.cut(left, right);
    }

    /// Mends every cut.
    pub fn mend(&mut self) {
        self.network.mend();
    }

    /// Sets what is wrong with the platform.
    pub fn set_trouble(&mut self, trouble: StoreTrouble) {
        store::set_trouble(&mut self.platform, trouble);
    }

    /// Tells every controller of an engine's zone what the engine is wanted to be; the holder acts on it.
    pub fn want(&mut self, engine: usize, role: Role, draining: bool) {
        let application = self.engines[engine].application;
        let goal = EngineGoal {
            role: if application { Role::Mixed } else { role },
            weights: if application { Vec::new() } else { vec![weights()] },
            draining,
        };
        let zone = self.engines[engine].zone;
        let engine = self.engines[engine].engine.clone();
        for controller in 0..self.controllers.len() {
            if self.controllers[controller].zone == zone {
                let event = CommanderEvent::Goal {
                    engine: engine.clone(),
                    goal: goal.clone(),
                };
                let start = self.controllers[controller].start;
                self.work(controller, start, Work::Event(event));
            }
        }
    }

    /// Ends every fault and lets the whole fleet run.
    pub fn heal(&mut self) {
        self.mend();
        self.set_weather(Weather::FAIR);
        self.set_trouble(StoreTrouble::None);
        for controller in 0..self.controllers.len() {
            self.resume_controller(controller);
        }
        for gateway in 0..self.gateways.len() {
            self.resume_gateway(gateway);
        }
    }

    /// An engine's status as it is, and the latest token of its zone.
    pub fn engine_status(&mut self, engine: usize) -> (EngineStatus, FencingToken) {
        let now = self.now;
        let process = &mut self.engines[engine];
        (process.status(now), self.epochs[process.zone])
    }

    /// Index of an engine's zone.
    pub fn zone_of_engine(&self, engine: usize) -> usize {
        self.engines[engine].zone
    }

    /// Numbers of controllers and engines.
    pub fn sizes(&self) -> (usize, usize) {
        (self.controllers.len(), self.engines.len())
    }
}
