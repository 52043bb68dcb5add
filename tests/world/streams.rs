//! Calls and questions of gateways to engines, and the answers that stream back.

use super::controller::ProcessState;
use super::fleet::Fleet;
use super::gateway::GatewayWork;
use super::network::{Fate, Place};
use super::serving::Serving;
use shelfjunction_core::engine::{AnswerPart, EngineCall};
use shelfjunction_core::identity::{AttemptId, RequestId};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_engine_model::{NextPart, RunNumber};
use std::time::Duration;

/// How long a reader waits on a connection that has gone silent for good.
const SILENCE: Duration = Duration::from_millis(700);

/// One answer on its way from an engine to a gateway.
#[derive(Clone, Debug)]
pub struct Stream {
    gateway: usize,
    start: u64,
    caller: usize,
    attempt: AttemptId,
    engine: usize,
    incarnation: u64,
    run: RunNumber,
    cursor: u32,
    /// Parts arrive in order: none before this instant.
    last_arrival: MonotonicTime,
}

/// What a gateway sends to an engine.
#[derive(Clone, Debug)]
pub enum EngineQuestion {
    /// Run this.
    Call(Box<EngineCall>),
    /// Give the answer again.
    Resume(RequestId, AttemptId, u32),
    /// Tell what became of a request.
    RunState(RequestId, u64),
    /// Stop working for a request.
    Cancel(RequestId),
}

/// Where a question came from.
#[derive(Clone, Copy, Debug)]
pub struct Asker {
    pub(super) gateway: usize,
    pub(super) start: u64,
    pub(super) caller: usize,
}

impl Fleet {
    pub(super) fn open_stream(
        &mut self,
        asker: Asker,
        engine: usize,
        attempt: AttemptId,
        run: RunNumber,
        cursor: u32,
    ) {
        let from = Place::Zone(self.engines[engine].zone);
        let to = Place::Zone(self.gateways[asker.gateway].zone);
        let Fate::Arrives(delay) = self.network.answer(from, to) else {
            return;
        };
        let event = Event::Opened {
            attempt: attempt.clone(),
        };
        self.later(self.now + delay, Serving::QuestionAnswered { asker, event });
        self.streams.push(Stream {
            gateway: asker.gateway,
            start: asker.start,
            caller: asker.caller,
            attempt,
            engine,
            incarnation: self.engines[engine].incarnation(),
            run,
            cursor,
            last_arrival: self.now + delay,
        });
        self.pump(engine);
    }

    /// Sends every part that an engine has ready over its open streams.
    pub(super) fn pump(&mut self, engine: usize) {
        let process = &mut self.engines[engine];
        process.model.advance(self.now);
        let streams = std::mem::take(&mut self.streams);
        for stream in streams {
            if stream.engine != engine {
                self.streams.push(stream);
            } else if let Some(stream) = self.pump_stream(stream) {
                self.streams.push(stream);
            }
        }
        let wanted = self.streams.iter().any(|stream| stream.engine == engine);
        let next = self.engines[engine].model.next_step_at().filter(|_| wanted);
        if let Some(next) = next {
            let next = next.max(self.now + Duration::from_micros(1));
            if self.engines[engine]
                .pump_at
                .is_none_or(|planned| planned > next || planned <= self.now)
            {
                self.engines[engine].pump_at = Some(next);
                self.later(next, Serving::Pump(engine));
            }
        }
    }

    /// The stream as it goes on; absent once it has ended or broken.
    fn pump_stream(&mut self, mut stream: Stream) -> Option<Stream> {
        let gateway = &self.gateways[stream.gateway];
        if gateway.start != stream.start || gateway.state == ProcessState::Down {
            return None;
        }
        let to = Place::Zone(gateway.zone);
        loop {
            let engine = &self.engines[stream.engine];
            let from = Place::Zone(engine.zone);
            let next = match engine.incarnation() == stream.incarnation {
                true => engine.model.next_part(stream.run, stream.cursor),
                false => NextPart::Gone,
            };
            let part = match next {
                NextPart::Wait => return Some(stream),
                NextPart::Gone => {
                    self.break_stream(&stream);
                    return None;
                }
                NextPart::Part(part) => part,
            };
            let last = !matches!(part, AnswerPart::Token { .. });
            stream.cursor += 1;
            let Fate::Arrives(delay) = self.network.answer(from, to) else {
                self.break_stream(&stream);
                return None;
            };
            stream.last_arrival = stream.last_arrival.max(self.now + delay);
            for part in self.network.garble(part) {
                let event = Event::Part {
                    attempt: stream.attempt.clone(),
                    part,
                };
                let work = GatewayWork::Event(stream.caller, event);
                let arrival = Serving::Work {
                    gateway: stream.gateway,
                    start: stream.start,
                    work,
                };
                self.later(stream.last_arrival, arrival);
            }
            if last {
                return None;
            }
        }
    }

    /// A reader learns after a while that nothing more will come.
    fn break_stream(&mut self, stream: &Stream) {
        let event = Event::Disconnected {
            attempt: stream.attempt.clone(),
        };
        let work = GatewayWork::Event(stream.caller, event);
        let at = stream.last_arrival.max(self.now + SILENCE);
        let gone = Serving::Work {
            gateway: stream.gateway,
            start: stream.start,
            work,
        };
        self.later(at, gone);
    }
}
