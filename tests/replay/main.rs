//! Recorded arrivals and failures of both deployments, run again to stated outcomes.
#![allow(clippy::unwrap_used)]

use serde::Deserialize;
use shelfjunction_proofs::fuzzing::serving::{Served, ServingStep};
use shelfjunction_proofs::world::{Caller, CallerEnd, FleetPlan, ZonePlan};
use std::fmt::Write;
use std::time::Duration;

/// One recorded trace.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Trace {
    deployment: String,
    seed: u64,
    zones: Vec<String>,
    processes_per_zone: ZonePlan,
    events: Vec<TraceEvent>,
}

/// One arrival or failure.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TraceEvent {
    at_millis: u64,
    step: ServingStep,
}

/// Runs a trace and tells what came of every request, order and lease.
fn outcome(text: &str) -> String {
    let trace: Trace = serde_json::from_str(text).unwrap();
    let mut served = Served::with_plan(&FleetPlan {
        zones: vec![trace.processes_per_zone; trace.zones.len()],
        seed: trace.seed,
        planted: None,
    });
    let begun = served.fleet.now();
    for event in &trace.events {
        let at = begun + Duration::from_millis(event.at_millis);
        let wait = at.since(served.fleet.now());
        served.fleet.run_for(wait);
        event.step.apply(&mut served.fleet);
    }
    served.settle();
    served.check().unwrap();
    report(&trace, &served)
}

fn report(trace: &Trace, served: &Served) -> String {
    let mut report = format!("{} {}\n", trace.deployment, trace.zones.join(" "));
    let history = &served.fleet.history;
    for (zone, _, token) in &history.takings {
        writeln!(
            report,
            "lease of {} taken under token {token}",
            trace.zones[*zone]
        )
        .unwrap();
    }
    writeln!(
        report,
        "{} orders committed, {} sent",
        history.commits.len(),
        history.sends.len()
    )
    .unwrap();
    let callers = &served.fleet.callers;
    writeln!(
        report,
        "{} calls sent, {} run",
        callers.dispatches.len(),
        callers.runs.len()
    )
    .unwrap();
    for caller in &callers.callers {
        writeln!(report, "{}", line(caller)).unwrap();
    }
    report
}

fn line(caller: &Caller) -> String {
    let ask = caller.ask;
    let key = ask.key.map_or("-".to_owned(), |key| key.to_string());
    let end = match &caller.end {
        Some((at, CallerEnd::Outcome(outcome))) => {
            format!("{outcome:?} after {} ms", at.since(caller.asked_at).as_millis())
        }
        Some((_, end)) => format!("{end:?}"),
        None => "open".to_owned(),
    };
    let tokens = caller.tokens.len();
    format!(
        "tenant {} key {key} {:?} at gateway {}: {tokens} tokens, {end}",
        ask.tenant, ask.kind, caller.gateway
    )
}

#[test]
fn pharmacy_day_ends_as_stated() {
    insta::assert_snapshot!("pharmacy", outcome(include_str!("traces/pharmacy.json")));
}

#[test]
fn kadriks_day_ends_as_stated() {
    insta::assert_snapshot!("kadriks", outcome(include_str!("traces/kadriks.json")));
}

#[test]
fn a_trace_gives_the_same_bytes_every_time() {
    let text = include_str!("traces/kadriks.json");
    assert_eq!(outcome(text), outcome(text));
}
