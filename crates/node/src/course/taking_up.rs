//! A caller that takes up a stream of which an earlier answer brought it some events.

use super::access::Access;
use super::caller_position;
use crate::context::Context;
use crate::ports::{Call, OwnAnswer};
use crate::streams::KnownFrom;
use shelfjunction_core::forwarding::RouteRule;
use shelfjunction_core::identity::RequestId;
use shelfjunction_core::quarantine::Fingerprint;
use shelfjunction_core::streams::{FoundStream, LIFETIME_IN_TIMEOUTS, NotFound, StreamKey, StreamRecord};
use std::time::Duration;

/// When to come back with a stream that can't be continued.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a stream can't be taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    /// No node knows where it began, or streams of two versions have its key.
    NotKnown,
    /// Streams of several versions have its content.
    Ambiguous,
    /// A stream of its content is known, and another one may be missing.
    RecordsIncomplete,
    /// Its pool is not one of the route's any more.
    OtherPool,
}

impl From<NotFound> for Refusal {
    fn from(cause: NotFound) -> Self {
        match cause {
            NotFound::Unknown => Self::NotKnown,
            NotFound::Ambiguous => Self::Ambiguous,
            NotFound::Incomplete => Self::RecordsIncomplete,
        }
    }
}

impl Refusal {
    fn name(self) -> &'static str {
        match self {
            Self::NotKnown => "not_known",
            Self::Ambiguous => "ambiguous",
            Self::RecordsIncomplete => "records_incomplete",
            Self::OtherPool => "other_pool",
        }
    }
}

/// The stream that a call takes up; absent if the call begins one. A stream whose origin is not known is refused, since events of
/// another software version do not fit behind those that the caller has.
pub(super) fn taken_up(
    context: &Context,
    route: &RouteRule,
    call: &Call,
    access: &Access,
    fingerprint: &Fingerprint,
) -> Result<Option<StreamRecord>, OwnAnswer> {
    let has_events = caller_position(route, call).is_some_and(|last_event| last_event > 0);
    if !has_events {
        return Ok(None);
    }
    let looked_up_at = context.now();
    let found = find(context, route, call, access, fingerprint);
    let took = context.now().since(looked_up_at);
    log_taken_up(context, call, &found, took);
    match found {
        Ok((found, _)) => Ok(Some(found.record)),
        Err(_) => Err(OwnAnswer::NotRun {
            retry_after: REFUSED_RETRY_AFTER,
        }),
    }
}

/// Looks the stream up by the request that began it or, if the caller does not name one, by the content, which is the same in all
/// attempts.
fn find(
    context: &Context,
    route: &RouteRule,
    call: &Call,
    access: &Access,
    fingerprint: &Fingerprint,
) -> Result<(FoundStream, KnownFrom), Refusal> {
    let origins = &context.stream_origins;
    let (found, from) = match &call.resumes {
        Some(began) => {
            let key = StreamKey::of(access.tenant.as_ref(), began);
            origins.find(context, key).ok_or(Refusal::NotKnown)?
        }
        None => {
            let key = StreamKey::of_content(fingerprint, call.prompt.as_ref());
            let lifetime = route.timeout * LIFETIME_IN_TIMEOUTS;
            origins.find_by_content(context, key, lifetime)?
        }
    };
    let is_of_route = route.shares.iter().any(|share| share.pool == found.record.pool);
    if !is_of_route {
        return Err(Refusal::OtherPool);
    }
    Ok((found, from))
}

fn log_taken_up(
    context: &Context,
    call: &Call,
    found: &Result<(FoundStream, KnownFrom), Refusal>,
    took: Duration,
) {
    let resumes = call.resumes.as_ref().map_or("none", RequestId::as_str);
    match found {
        Ok((found, from)) => {
            context.metrics.streams.count_taken_up(match from {
                KnownFrom::Here => "known_here",
                KnownFrom::Peer => "known_at_peer",
            });
            log::info!(
                request = call.request.as_str(),
                resumes,
                after_event:? = call.last_event,
                began_at = found.record.origin.version_name(),
                pool:% = found.record.pool,
                known_from = from.name(),
                age_millis = found.age.as_millis() as u64,
                took_micros = took.as_micros() as u64;
                "stream_taken_up"
            );
        }
        Err(refusal) => {
            context.metrics.streams.count_taken_up(refusal.name());
            log::info!(
                request = call.request.as_str(),
                resumes,
                after_event:? = call.last_event,
                cause = refusal.name(),
                took_micros = took.as_micros() as u64;
                "stream_not_taken_up"
            );
        }
    }
}
