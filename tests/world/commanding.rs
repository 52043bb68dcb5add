//! How controllers' effects are carried out: table calls, orders and status questions.

use super::controller::{ControllerProcess, ProcessState, Work};
use super::fleet::{Fleet, Happening};
use super::history::SendEnd;
use super::network::{Fate, Place};
use rand::Rng;
use shelfjunction_core::engine::{EngineStatus, Order};
use shelfjunction_core::identity::NodeId;
use shelfjunction_core::lease::{CallId, TableAnswer, TableCall};
use shelfjunction_core::orders::{CommanderEffect, CommanderEvent};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Time between two ticks of a controller.
const TICK: Duration = Duration::from_millis(50);
/// Time between two status questions of a controller to an engine.
const POLL: Duration = Duration::from_millis(250);

/// Something that happens to one start of a controller.
#[derive(Clone, Debug)]
pub(super) enum Commanding {
    Tick {
        controller: usize,
        start: u64,
    },
    Poll {
        controller: usize,
        start: u64,
    },
    Work {
        controller: usize,
        start: u64,
        work: Work,
    },
    AtStore {
        controller: usize,
        start: u64,
        call: CallId,
        request: TableCall,
    },
    CallEnded {
        controller: usize,
        start: u64,
        call: CallId,
        answer: TableAnswer,
    },
    OrderAtEngine {
        controller: usize,
        start: u64,
        send: usize,
        engine: usize,
        bound: Option<u64>,
        order: Order,
    },
    SendEnded {
        controller: usize,
        start: u64,
        send: usize,
        end: SendEnd,
    },
    StatusAsked {
        controller: usize,
        start: u64,
        engine: usize,
        asked_at: MonotonicTime,
    },
    StatusTold {
        controller: usize,
        start: u64,
        asked_at: MonotonicTime,
        status: Box<EngineStatus>,
    },
    Stops {
        controller: usize,
        start: u64,
    },
}

impl From<Commanding> for Happening {
    fn from(commanding: Commanding) -> Self {
        Self::Commanding(commanding)
    }
}

impl Fleet {
    pub(super) fn command(&mut self, happening: Commanding) {
        match happening {
            Commanding::Tick { controller, start } => {
                if self.is_current(controller, start) {
                    self.later(self.now + TICK, Commanding::Tick { controller, start });
                    self.take_if_running(controller, CommanderEvent::Tick);
                }
            }
            Commanding::Poll { controller, start } => self.poll(controller, start),
            Commanding::Work {
                controller,
                start,
                work,
            } => self.work(controller, start, work),
            Commanding::AtStore {
                controller,
                start,
                call,
                request,
            } => {
                self.at_store(controller, start, call, request);
            }
            Commanding::CallEnded {
                controller,
                start,
                call,
                answer,
            } => {
                if self.is_current(controller, start) && self.controllers[controller].calls.remove(&call) {
                    self.work(
                        controller,
                        start,
                        Work::Event(CommanderEvent::Answer { call, answer }),
                    );
                }
            }
            Commanding::OrderAtEngine {
                controller,
                start,
                send,
                engine,
                bound,
                order,
            } => {
                if bound.is_none_or(|incarnation| incarnation == self.engines[engine].incarnation()) {
                    self.order_at_engine(controller, start, send, engine, &order);
                }
            }
            Commanding::SendEnded {
                controller,
                start,
                send,
                end,
            } => {
                self.send_ended(controller, start, send, end);
            }
            Commanding::StatusAsked {
                controller,
                start,
                engine,
                asked_at,
            } => {
                self.status_asked(controller, start, engine, asked_at);
            }
            Commanding::StatusTold {
                controller,
                start,
                asked_at,
                status,
            } => {
                let event = CommanderEvent::Status {
                    observed_at: asked_at,
                    status,
                };
                self.work(controller, start, Work::Event(event));
            }
            Commanding::Stops { controller, start } => {
                if self.is_current(controller, start) {
                    self.kill_controller(controller);
                }
            }
        }
    }

    pub(super) fn new_controller(&mut self, node: NodeId, zone: usize) -> ControllerProcess {
        self.starts += 1;
        let offset = Duration::from_millis(self.random.random_range(0..1_000_000));
        ControllerProcess::new(node, zone, Self::zone_id(zone), self.starts, offset, self.planted)
    }

    pub(super) fn begin_controller(&mut self, controller: usize) {
        let process = &self.controllers[controller];
        let start = process.start;
        let zone = process.zone;
        let engines = self.engines.iter().filter(|engine| engine.zone == zone);
        let event = CommanderEvent::Engines(engines.map(|engine| engine.engine.clone()).collect());
        let soon = self.now + self.network.step();
        self.later(
            soon,
            Commanding::Work {
                controller,
                start,
                work: Work::Event(event),
            },
        );
        self.later(soon, Commanding::Tick { controller, start });
        self.later(soon, Commanding::Poll { controller, start });
    }
    pub(super) fn is_current(&self, controller: usize, start: u64) -> bool {
        let process = &self.controllers[controller];
        process.start == start && process.state != ProcessState::Down
    }

    fn take_if_running(&mut self, controller: usize, event: CommanderEvent) {
        if self.controllers[controller].state == ProcessState::Up {
            self.take(controller, event);
        }
    }

    pub(super) fn work(&mut self, controller: usize, start: u64, work: Work) {
        if !self.is_current(controller, start) {
            return;
        }
        if self.controllers[controller].state == ProcessState::Paused {
            self.controllers[controller].inbox.push(work);
            return;
        }
        match work {
            Work::Event(event) => self.take(controller, event),
            Work::Depart { order, checked_at } => self.depart(controller, order, checked_at),
        }
    }

    fn take(&mut self, controller: usize, event: CommanderEvent) {
        let effects = self.controllers[controller].handle(event, self.now);
        for effect in effects {
            self.carry_out(controller, effect);
        }
    }

    fn carry_out(&mut self, controller: usize, effect: CommanderEffect) {
        match effect {
            CommanderEffect::Call { call, request } => self.call(controller, call, request),
            CommanderEffect::SendOrder { order, not_after } => {
                self.look_at_clock(controller, order, not_after)
            }
            CommanderEffect::Gained(_)
            | CommanderEffect::Lost(_)
            | CommanderEffect::Settled { .. }
            | CommanderEffect::Rejected { .. } => {}
        }
    }

    fn poll(&mut self, controller: usize, start: u64) {
        if !self.is_current(controller, start) {
            return;
        }
        self.later(self.now + POLL, Commanding::Poll { controller, start });
        let process = &self.controllers[controller];
        if process.state != ProcessState::Up {
            return;
        }
        let zone = process.zone;
        let asked_at = process.clock.read(self.now);
        for engine in 0..self.engines.len() {
            if self.engines[engine].zone != zone {
                continue;
            }
            if let Fate::Arrives(delay) = self.network.request(Place::Zone(zone), Place::Zone(zone)) {
                let asked = Commanding::StatusAsked {
                    controller,
                    start,
                    engine,
                    asked_at,
                };
                self.later(self.now + delay, asked);
            }
        }
    }

    fn status_asked(&mut self, controller: usize, start: u64, engine: usize, asked_at: MonotonicTime) {
        let process = &mut self.engines[engine];
        if !process.up {
            return;
        }
        let status = Box::new(process.status(self.now));
        let place = Place::Zone(process.zone);
        if let Fate::Arrives(delay) = self.network.answer(place, place) {
            let told = Commanding::StatusTold {
                controller,
                start,
                asked_at,
                status,
            };
            self.later(self.now + delay, told);
        }
    }

    pub(super) fn controller_starts(&mut self, controller: usize) {
        if self.controllers[controller].state != ProcessState::Down {
            return;
        }
        let node = self.controllers[controller].node.clone();
        let zone = self.controllers[controller].zone;
        self.controllers[controller] = self.new_controller(node, zone);
        self.begin_controller(controller);
    }
}
