//! Streams of parts, with every way in which they can go wrong.

use super::engines::{TOKENS, text};
use super::{Question, World};
use shelfjunction_core::engine::{AnswerPart, EngineCall, EngineRefusal, EngineRefusalReason, Phase};
use shelfjunction_core::identity::{AttemptId, EngineId, RequestId};
use shelfjunction_core::request::event::Event;

impl World {
    pub(super) fn open_stream(
        &mut self,
        index: usize,
        engine: EngineId,
        attempt: AttemptId,
        call: &EngineCall,
    ) {
        if call.phase == Phase::PrefillOnly {
            let part = AnswerPart::Prefilled {
                request: call.request.clone(),
                handle: "handle".to_owned(),
            };
            return self.hand_in(index, Event::Part { attempt, part });
        }
        self.courses[index].questions.push_back(Question::Stream {
            attempt,
            engine,
            next: call.offset,
        });
    }

    pub(super) fn resume(
        &mut self,
        index: usize,
        engine: EngineId,
        attempt: AttemptId,
        offset: u32,
        fate: u8,
    ) {
        let request = self.courses[index].machine.specification().request.clone();
        let known = self.engines.run(&engine, &request).is_some();
        let event = match fate % 6 {
            0 => Event::NotSent { attempt },
            1 => Event::Ambiguous { attempt },
            _ if known => {
                self.hand_in(
                    index,
                    Event::Opened {
                        attempt: attempt.clone(),
                    },
                );
                self.courses[index].questions.push_back(Question::Stream {
                    attempt,
                    engine,
                    next: offset,
                });
                return;
            }
            _ => Event::Refused {
                attempt,
                refusal: EngineRefusal {
                    reason: EngineRefusalReason::UnknownRequest,
                    retry_after_millis: 0,
                },
            },
        };
        self.hand_in(index, event);
    }

    pub(super) fn read_stream(
        &mut self,
        index: usize,
        attempt: AttemptId,
        engine: EngineId,
        next: u32,
        fate: u8,
    ) {
        let request = self.courses[index].machine.specification().request.clone();
        let Some(run) = self.engines.run(&engine, &request) else {
            return self.hand_in(index, Event::Disconnected { attempt });
        };
        if run.failed {
            let part = AnswerPart::Failed {
                request,
                reason: "broken".to_owned(),
            };
            return self.hand_in(index, Event::Part { attempt, part });
        }
        let body = run.body;
        run.done = run.done.max((next + 1).min(TOKENS));
        let token = |request: RequestId, offset, body| AnswerPart::Token {
            request,
            offset,
            text: text(body, offset),
        };
        let (part, next) = match fate % 14 {
            0 => return self.hand_in(index, Event::Disconnected { attempt }),
            1 => (token(RequestId::new("request-of-another"), next, 9), next),
            2 => (token(request, next + 1, body), next),
            3 if next > 0 => (token(request, next - 1, body), next),
            4 => {
                run.failed = true;
                let reason = "broken".to_owned();
                (AnswerPart::Failed { request, reason }, next)
            }
            5 => {
                let tokens = next + 1;
                let cached_prompt_tokens = 0;
                let early = AnswerPart::Finished {
                    request,
                    tokens,
                    cached_prompt_tokens,
                };
                (early, next)
            }
            _ if next < TOKENS => (token(request, next, body), next + 1),
            _ => {
                let whole = AnswerPart::Finished {
                    request,
                    tokens: TOKENS,
                    cached_prompt_tokens: 0,
                };
                (whole, next)
            }
        };
        self.courses[index].questions.push_back(Question::Stream {
            attempt: attempt.clone(),
            engine,
            next,
        });
        self.hand_in(index, Event::Part { attempt, part });
    }
}
