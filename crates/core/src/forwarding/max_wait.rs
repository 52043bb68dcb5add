//! How long one attempt may stay silent before another engine is asked.
//!
//! Only attempts that may be repeated are given up; one that may not waits for its engine until the deadline.

use super::route::{RepeatRule, RouteRule};
use std::time::Duration;

/// Longest wait for a connection to an engine. Handshakes take a few milliseconds; a lost opening packet is sent again
/// only after a second, by when another engine is the better choice.
pub const CONNECT: Duration = Duration::from_millis(250);

/// Shortest wait for any attempt, so that a busy moment of an engine is not taken for silence.
const LEAST: Duration = Duration::from_millis(400);

/// Patience in multiples of the target latency.
const TARGETS: u32 = 3;

/// Patience with the reading of a prompt in multiples of the time that was expected, beside the target latency.
const EXPECTED_READINGS: u32 = 3;

/// Patience between two events in multiples of the pause that keeps an answer in time.
const EVENT_GAPS: u32 = 3;

/// Shortest gap in a stream after which callers give it up.
const LEAST_CALLER_GAP: Duration = Duration::from_secs(2);

/// The same gap in multiples of the target latency.
const CALLER_GAP_TARGETS: u32 = 4;

/// The same gap in multiples of the pause that keeps an answer in time.
const CALLER_GAP_EVENT_GAPS: u32 = 8;

/// Gap in a stream after which its caller gives it up; until then a stream that has begun is worth waiting for.
pub fn caller_gap(route: &RouteRule) -> Duration {
    let gaps = route.event_gap.unwrap_or_default() * CALLER_GAP_EVENT_GAPS;
    LEAST_CALLER_GAP
        .max(route.target_latency * CALLER_GAP_TARGETS)
        .max(gaps)
}

/// Patience with an engine that answers; absent: until the deadline.
pub fn first_answer(route: &RouteRule) -> Option<Duration> {
    (route.repeat != RepeatRule::Never).then(|| (route.target_latency * TARGETS).max(LEAST))
}

/// Patience with an engine that reads a prompt; reading has no effect outside, so it may always be repeated.
pub fn prompt(route: &RouteRule, expected: Duration) -> Duration {
    route.target_latency + expected * EXPECTED_READINGS
}

/// Patience between two events; absent: until the deadline.
pub fn next_event(route: &RouteRule) -> Option<Duration> {
    let gap = route.event_gap.unwrap_or(route.target_latency);
    (route.repeat != RepeatRule::Never).then(|| (gap * EVENT_GAPS).max(LEAST))
}
