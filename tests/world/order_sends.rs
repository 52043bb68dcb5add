//! Orders on their way: the look at the clock, the departure, the engine's answer.

use super::commanding::Commanding;
use super::controller::Work;
use super::fleet::Fleet;
use super::history::{EngineEntry, OrderSend, SendEnd};
use super::network::{Fate, Place};
use shelfjunction_core::engine::{Order, OrderReply};
use shelfjunction_core::identity::FencingToken;
use shelfjunction_core::orders::{CommanderEvent, OrderAnswer};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// How long a controller waits for an engine's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

impl Fleet {
    pub(super) fn look_at_clock(&mut self, controller: usize, order: Order, not_after: MonotonicTime) {
        let process = &self.controllers[controller];
        if !process.may_send(not_after, self.now) {
            let answer = OrderAnswer::NotSent;
            let event = CommanderEvent::OrderAnswer {
                engine: order.engine,
                order: order.order,
                answer,
            };
            let start = process.start;
            let work = Work::Event(event);
            self.later(
                self.now,
                Commanding::Work {
                    controller,
                    start,
                    work,
                },
            );
            return;
        }
        let start = process.start;
        let work = Work::Depart {
            order,
            checked_at: self.now,
        };
        let leaves_at = self.now + self.network.step();
        self.later(
            leaves_at,
            Commanding::Work {
                controller,
                start,
                work,
            },
        );
    }

    pub(super) fn depart(&mut self, controller: usize, order: Order, checked_at: MonotonicTime) {
        let send = self.history.sends.len();
        let Some(engine) = self
            .engines
            .iter()
            .position(|process| process.engine == order.engine)
        else {
            return;
        };
        let zone = self.engines[engine].zone;
        let changing = self.engines[engine].is_changing_for_other(&order, self.now);
        let process = &mut self.controllers[controller];
        let start = process.start;
        process
            .sends
            .insert(send, (order.engine.clone(), order.order.clone()));
        self.history.sends.push(OrderSend {
            checked_at,
            left_at: self.now,
            controller,
            clock_ever_stopped: process.clock.ever_stopped(),
            engine,
            order: order.clone(),
            epoch_at_check: self.epoch_at(zone, checked_at),
            engine_changing: changing,
            end: None,
        });
        let from = Place::Zone(self.controllers[controller].zone);
        let ended = |end| Commanding::SendEnded {
            controller,
            start,
            send,
            end,
        };
        self.later(self.now + ORDER_TIMEOUT, ended(SendEnd::Lost));
        match self.network.request(from, Place::Zone(zone)) {
            Fate::Arrives(delay) => {
                // Once the sender has given up, only a connection to the process of that time can still deliver.
                let bound = (delay > ORDER_TIMEOUT).then(|| self.engines[engine].incarnation());
                let arrival = Commanding::OrderAtEngine {
                    controller,
                    start,
                    send,
                    engine,
                    bound,
                    order,
                };
                self.later(self.now + delay, arrival);
            }
            Fate::Refused(delay) => self.later(self.now + delay, ended(SendEnd::NotSent)),
            Fate::Vanishes => {}
        }
    }

    fn epoch_at(&self, zone: usize, at: MonotonicTime) -> FencingToken {
        let takings = self.history.takings.iter().rev();
        let last = takings
            .filter(|(taken, ..)| *taken == zone)
            .find(|(_, taken_at, _)| *taken_at <= at);
        last.map_or(FencingToken(0), |(.., token)| *token)
    }

    pub(super) fn order_at_engine(
        &mut self,
        controller: usize,
        start: u64,
        send: usize,
        engine: usize,
        order: &Order,
    ) {
        let process = &mut self.engines[engine];
        let ended = |end| Commanding::SendEnded {
            controller,
            start,
            send,
            end,
        };
        if !process.up {
            let refused = self.now + self.network.step();
            self.later(refused, ended(SendEnd::NotSent));
            return;
        }
        let zone = process.zone;
        let draining = process.status(self.now).draining;
        let in_flight = process.in_flight();
        let (reply, obeyed) = process.order(order, self.now);
        self.history.engines.push(EngineEntry::Told {
            at: self.now,
            engine,
            incarnation: process.incarnation(),
            send,
            order: order.clone(),
            reply: reply.clone(),
            obeyed,
            draining,
            in_flight,
            epoch: self.epochs[zone],
        });
        self.answer_order(controller, start, send, zone, reply);
    }

    fn answer_order(&mut self, controller: usize, start: u64, send: usize, zone: usize, reply: OrderReply) {
        let to = Place::Zone(self.controllers[controller].zone);
        if let Fate::Arrives(delay) = self.network.answer(Place::Zone(zone), to) {
            let end = SendEnd::Reply(reply);
            self.later(
                self.now + delay,
                Commanding::SendEnded {
                    controller,
                    start,
                    send,
                    end,
                },
            );
        }
    }

    pub(super) fn send_ended(&mut self, controller: usize, start: u64, send: usize, end: SendEnd) {
        if !self.is_current(controller, start) {
            return;
        }
        let Some((engine, order)) = self.controllers[controller].sends.remove(&send) else {
            return;
        };
        self.history.sends[send].end = Some((self.now, end.clone()));
        let answer = match end {
            SendEnd::Reply(reply) => OrderAnswer::Reply(reply),
            SendEnd::NotSent => OrderAnswer::NotSent,
            SendEnd::Lost => OrderAnswer::Lost,
        };
        self.work(
            controller,
            start,
            Work::Event(CommanderEvent::OrderAnswer {
                engine,
                order,
                answer,
            }),
        );
    }
}
