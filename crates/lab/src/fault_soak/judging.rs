//! Puts together what callers and engines saw, and has it judged.

use super::crashers::is_crasher;
use super::crashes::CrashingArrival;
use super::deployment::{Deployment, EVENTS};
use super::late_readers::{self, Quiet, QuietCount, is_late_reader};
use super::oracle::{EngineRecords, Violation, judge};
use super::rated_callers::is_rated;
use super::record::SeenCall;
use super::repeats::SeenArrival;
use super::resumers::is_resumer;
use super::sharers::is_part_crasher;
use super::spoilt::{self, EngineArrival, SpoiltSpan};
use super::streamers::is_streamer;
use super::{engine_signals, is_probe};
use crate::users_platform::LASTING_ANSWER_EVENTS;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Requests that were sent on, or refused, against what engines said of themselves.
pub(super) fn judge_signals(
    deployment: &Deployment,
    records: &EngineRecords,
    calls: &[SeenCall],
    begun: Instant,
) -> Vec<Violation> {
    let excuses = engine_signals::Excuses {
        restarts: &deployment.restarts,
        on_other_build: &deployment.on_other_build,
        engine_links: &deployment.engine_links,
    };
    let crashes = crash_times(records, begun);
    let quiet = Quiet {
        disturbances: &deployment.disturbances,
        crashes: &crashes,
    };
    let mut violations = engine_signals::judge_drains(records, calls, &excuses, begun);
    violations.extend(engine_signals::judge_backoffs(records, calls, &excuses, begun));
    // What crashes engines is refused for that, whatever is free.
    // A tenant over its rate is refused likewise.
    let is_quiet = |call: &SeenCall| {
        quiet.covers(call)
            && !is_crasher(&call.request)
            && !is_part_crasher(&call.request)
            && !is_rated(&call.request)
            && !is_resumer(&call.request)
    };
    let crashing = crashing_arrivals(records, begun);
    violations.extend(engine_signals::judge_refusals(
        records, calls, &crashing, is_quiet, begun,
    ));
    violations
}

/// When engines crashed over a request.
pub(super) fn crash_times(records: &EngineRecords, begun: Instant) -> Vec<Duration> {
    let arrivals = crashing_arrivals(records, begun).into_iter();
    arrivals
        .filter(|arrival| arrival.crashed)
        .map(|arrival| arrival.at)
        .collect()
}

/// Promises about requests and orders that did not hold, to callers that read late and to the others.
pub(super) fn judge_calls(
    deployment: &Deployment,
    records: &EngineRecords,
    calls: &[SeenCall],
    begun: Instant,
) -> (QuietCount, Vec<Violation>) {
    let (late, others): (Vec<_>, Vec<_>) = calls
        .iter()
        .cloned()
        .partition(|call| is_late_reader(&call.request));
    let (of_late, of_others) = late_readers::apart(records, is_late_reader);
    let (streams, others): (Vec<_>, Vec<_>) = others.into_iter().partition(|call| is_streamer(&call.request));
    let (of_streams, of_others) = late_readers::apart(&of_others, is_streamer);
    let crashes = crash_times(records, begun);
    let quiet = Quiet {
        disturbances: &deployment.disturbances,
        crashes: &crashes,
    };
    let mut violations = judge(&others, &of_others, EVENTS);
    violations.extend(late_readers::judge(&late, &of_late, &quiet));
    violations.extend(judge(&streams, &of_streams, LASTING_ANSWER_EVENTS));
    // What callers got that take streams up is judged by stream.
    let others: Vec<SeenCall> = others
        .into_iter()
        .filter(|call| !is_resumer(&call.request))
        .collect();
    violations.extend(late_readers::judge_others(&others, &quiet));
    (quiet.count(&late, &others), violations)
}

/// What reached engines of what the callers sent; probes are judged where they are made.
pub(super) fn seen_arrivals(records: &EngineRecords, begun: Instant) -> Vec<SeenArrival> {
    let arrivals = records.arrivals.iter();
    let of_callers = arrivals.filter(|(_, arrival)| !is_probe(&arrival.request));
    of_callers
        .map(|(pool, arrival)| SeenArrival {
            pool,
            request: arrival.request.clone(),
            reads_prompt: arrival.reads_prompt,
            refused: arrival.refused,
            at: arrival.at.saturating_duration_since(begun),
        })
        .collect()
}

/// What reached each start of an engine.
pub(super) fn engine_arrivals(records: &EngineRecords, begun: Instant) -> Vec<EngineArrival> {
    let arrivals = records.arrivals.iter();
    arrivals
        .map(|(_, arrival)| EngineArrival {
            request: arrival.request.clone(),
            engine: arrival.engine.clone(),
            at: arrival.at.saturating_duration_since(begun),
        })
        .collect()
}

/// Requests that were sent on under entries that could not be read.
pub(super) fn judge_spoilt(
    deployment: &Deployment,
    arrivals: &[EngineArrival],
    calls: &[SeenCall],
    begun: Instant,
) -> Vec<Violation> {
    let spans: Vec<_> = deployment
        .spoilt_spans()
        .into_iter()
        .map(|span| SpoiltSpan {
            engine: span.engine,
            from: span.from.saturating_duration_since(begun),
            until: span.until.saturating_duration_since(begun),
        })
        .collect();
    spoilt::judge(&spans, arrivals, calls, &deployment.disturbances)
}

/// What reached engines of the requests that crash them.
pub(super) fn crashing_arrivals(records: &EngineRecords, begun: Instant) -> Vec<CrashingArrival> {
    let crashed: BTreeSet<&str> = records
        .runs
        .iter()
        .filter(|run| run.crashed)
        .map(|run| run.request.as_str())
        .collect();
    let arrivals = records.arrivals.iter().map(|(_, arrival)| arrival);
    let crashing = arrivals.filter_map(|arrival| Some((arrival, arrival.crashing.clone()?)));
    crashing
        .map(|(arrival, cause)| CrashingArrival {
            cause,
            request: arrival.request.clone(),
            engine: arrival.engine.clone(),
            crashed: !arrival.reads_prompt && !arrival.refused && crashed.contains(arrival.request.as_str()),
            at: arrival.at.saturating_duration_since(begun),
        })
        .collect()
}
