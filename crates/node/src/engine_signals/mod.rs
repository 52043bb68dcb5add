//! What engines say of themselves in the heads of their answers ([`shelfjunction_core::engine_signals`]).

mod metrics;

pub(crate) use metrics::SignalMetrics;

use crate::context::Context;
use crate::rate_limits;
use shelfjunction_core::engine_signals::{AnsweredBackoff, EngineSignals};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::AnsweredLimit;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Largest part by which a backoff is lengthened at random, so that nodes that were refused together don't return together.
const BACKOFF_SPREAD: f64 = 0.1;

/// Takes what the answer to a request sent at `sent_at` says of its engine.
pub(crate) fn on_request_answered(
    context: &Context,
    engine: &EngineId,
    signals: &EngineSignals,
    sent_at: MonotonicTime,
) {
    on_answered(context, engine, signals);
    rate_limits::take_answered(context, engine, &signals.rate_limit, sent_at, context.now());
}

/// Takes what the answer to a question aside from requests says of its engine. That it names no rate limit is no statement:
/// engines may name theirs in answers to requests only.
pub(crate) fn on_question_answered(
    context: &Context,
    engine: &EngineId,
    signals: &EngineSignals,
    sent_at: MonotonicTime,
) {
    on_answered(context, engine, signals);
    if signals.rate_limit != AnsweredLimit::Absent {
        rate_limits::take_answered(context, engine, &signals.rate_limit, sent_at, context.now());
    }
}

fn on_answered(context: &Context, engine: &EngineId, signals: &EngineSignals) {
    if signals.draining {
        on_draining(context, engine);
    }
    match &signals.backoff {
        AnsweredBackoff::Absent => {}
        AnsweredBackoff::For(backoff) => on_backoff(context, engine, *backoff),
        AnsweredBackoff::Unreadable(field) => {
            log::warn!(engine = engine.as_str(), field = field.as_str(); "engine_backoff_unreadable");
        }
    }
}

fn on_draining(context: &Context, engine: &EngineId) {
    let handle = SubjectHandle::of_engine(engine);
    let is_new = lock(&context.router).on_draining(handle);
    if is_new {
        context.links.forget(engine);
        context.note_reclaims("answer");
        context.metrics.signals.draining_announced("answer");
        log::info!(engine = engine.as_str(), start:% = engine.start(), source = "answer"; "engine_draining");
    }
}

fn on_backoff(context: &Context, engine: &EngineId, backoff: Duration) {
    let now = context.now();
    let spread = 1.0 + BACKOFF_SPREAD * rand::random::<f64>();
    let until = lock(&context.router).on_backoff_asked(engine, backoff.mul_f64(spread), now);
    context.metrics.signals.backoff_asked();
    log::info!(
        engine = engine.as_str(),
        asked_millis = backoff.as_millis() as u64,
        left_millis = until.since(now).as_millis() as u64;
        "engine_backoff"
    );
}
