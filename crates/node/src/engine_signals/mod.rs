//! What engines say of themselves in the heads of their answers ([`shelfjunction_core::engine_signals`]).

mod metrics;
mod sending;

pub(crate) use metrics::SignalMetrics;
pub(crate) use sending::{AnnouncementSender, Announcements, on_message};

use crate::context::Context;
use crate::rate_limits;
use shelfjunction_core::engine_signals::{EngineSignals, ResponseBackoff};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::ResponseLimit;
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
    if signals.rate_limit != ResponseLimit::Absent {
        rate_limits::take_answered(context, engine, &signals.rate_limit, sent_at, context.now());
    }
}

/// Names of unknown fields that are logged, once each.
const MOST_UNKNOWN_FIELDS: usize = 32;

/// Logs a field of an answer that nothing reads.
fn on_unknown_field(context: &Context, engine: &EngineId, field: &str) {
    let mut logged = lock(&context.unknown_fields);
    if logged.len() < MOST_UNKNOWN_FIELDS && logged.insert(field.to_ascii_lowercase()) {
        log::warn!(engine = engine.as_str(), field; "engine_field_unknown");
    }
}

fn on_answered(context: &Context, engine: &EngineId, signals: &EngineSignals) {
    if let Some(field) = &signals.unknown_field {
        on_unknown_field(context, engine, field);
    }
    if signals.draining {
        let handle = SubjectHandle::of_engine(engine);
        if on_draining(context, handle, "answer") {
            context.announcements.add(context, handle);
        }
    }
    match &signals.backoff {
        ResponseBackoff::Absent => {}
        ResponseBackoff::Requested(backoff) => on_backoff(context, engine, *backoff),
        ResponseBackoff::Invalid(field) => {
            log::warn!(engine = engine.as_str(), field = field.as_str(); "engine_backoff_unreadable");
        }
    }
}

/// Notes that an engine drains; whether that is new.
fn on_draining(context: &Context, engine: SubjectHandle, source: &'static str) -> bool {
    let (is_new, known) = {
        let mut router = lock(&context.router);
        (router.on_draining(engine), router.engine_by_handle(engine))
    };
    if !is_new {
        return false;
    }
    if let Some(known) = &known {
        context.links.forget(known);
    }
    context.update_reclaimed_zones(source);
    context.metrics.signals.draining_announced(source);
    log::info!(
        engine = known.as_ref().map_or("not in use", |known| known.as_str()),
        start:? = known.as_ref().map(|known| known.start().0),
        source;
        "engine_draining"
    );
    true
}

fn on_backoff(context: &Context, engine: &EngineId, backoff: Duration) {
    let now = context.now();
    let spread = 1.0 + BACKOFF_SPREAD * rand::random::<f64>();
    let handle = SubjectHandle::of_engine(engine);
    let (is_new, until) = {
        let mut router = lock(&context.router);
        let is_new = router.backoff_remaining(handle, now).is_none();
        (
            is_new,
            router.on_backoff_requested(engine, backoff.mul_f64(spread), now),
        )
    };
    if is_new {
        sending::send_overloaded(context, handle);
    }
    context.metrics.signals.backoff_asked();
    log::info!(
        engine = engine.as_str(),
        asked_millis = backoff.as_millis() as u64,
        left_millis = until.since(now).as_millis() as u64;
        "engine_backoff"
    );
}
