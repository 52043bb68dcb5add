//! The rate limits that engines name: what this node has heard of them, and the slots that it keeps
//! ([`shelfjunction_core::rate_limit`]).

mod asking;
mod metrics;
mod sending;

pub(crate) use asking::{answer_question, take_slot};
pub(crate) use metrics::RateLimitMetrics;
pub(crate) use sending::{LimitSender, notify_placer, receive_message};

use crate::context::Context;
use crate::questions::Questions;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::rate_limit::slot_owner::SlotOwner;
use shelfjunction_core::rate_limit::{LimitChange, RateLimit, ResponseLimit, SlotOutcome, SlotResponse};
use shelfjunction_core::routing::pool::EngineState;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// What a node knows of limits beside what its router believes of engines.
#[derive(Default)]
pub(crate) struct RateLimits {
    /// The slots that this node keeps.
    owner: Mutex<SlotOwner>,
    questions: Questions<SlotOutcome>,
    /// Whether others are to be told at once.
    has_news: AtomicBool,
}

impl RateLimits {
    /// Engines of which this node gave out slots of late.
    pub(crate) fn kept(&self) -> usize {
        lock(&self.owner).engine_count()
    }

    /// Takes the answer to a question of this node.
    pub(crate) fn on_answer(&self, answer: SlotResponse) {
        self.questions.on_answer(answer.number, answer.outcome);
    }

    /// Notes that others are to be told at once.
    pub(crate) fn note_news(&self, context: &Context) {
        self.has_news.store(true, Ordering::Release);
        context.peers.note_urgent();
    }
}

/// Takes what the answer to a request sent at `sent_at` says of its engine's limit.
pub(crate) fn take_answered(
    context: &Context,
    engine: &EngineId,
    said: &ResponseLimit,
    sent_at: MonotonicTime,
    now: MonotonicTime,
) {
    let (change, limit) = {
        let mut router = lock(&context.router);
        let change = router.on_response_limit(engine, said, sent_at, now);
        (change, router.engine(engine).and_then(EngineState::rate_limit))
    };
    match (change, said) {
        (LimitChange::Unchanged, _) => {}
        (LimitChange::Invalid, ResponseLimit::Invalid(field)) => {
            log::warn!(engine = engine.as_str(), field = field.as_str(); "engine_limit_unreadable");
        }
        (LimitChange::Changed | LimitChange::Invalid, _) => {
            log_limit(engine, limit, "answer");
            context.rate_limits.note_news(context);
        }
    }
}

fn log_limit(engine: &EngineId, limit: Option<RateLimit>, source: &str) {
    match limit {
        Some(limit) => {
            log::info!(engine = engine.as_str(), requests_per_second:% = limit, source; "engine_limit_named");
        }
        None => log::info!(engine = engine.as_str(), source; "engine_limit_ended"),
    }
}
