//! What must hold of requests, read from what engines ran and what callers were given.

use super::authority_oracle::Violation;
use super::callers::{Ask, Caller, CallerEnd, RunEntry, prompt};
use super::fleet::Fleet;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::Phase;
use shelfjunction_core::outcome::{Failure, Outcome, RefusalReason};
use shelfjunction_engine_model::answer::{AnswerSeed, receipt_length};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A call that was chosen before its gateway learnt that the engine leaves may still go there for as long as a claim
/// may take; see `CourseLimits::dispatch_window`.
const LEAVING_GRACE: Duration = Duration::from_secs(10);

/// Checks everything that happened so far.
pub fn check(fleet: &Fleet) -> Result<(), Violation> {
    runs_at_most_once(fleet)?;
    not_run_is_true(fleet)?;
    answers_are_right(fleet)?;
    data_stays_in_place(fleet)?;
    prefixes_stay_apart(fleet)?;
    leaving_engines_get_nothing(fleet)
}

/// A request that may not be repeated runs at most once, whatever its callers and gateways do.
fn runs_at_most_once(fleet: &Fleet) -> Result<(), Violation> {
    let mut runs: BTreeMap<(usize, u32), Vec<&RunEntry>> = BTreeMap::new();
    // Running the prompt alone has no effect outside.
    for run in fleet
        .callers
        .runs
        .iter()
        .filter(|run| run.call.phase == Phase::Whole)
    {
        let ask = fleet.callers.callers[run.caller].ask;
        if let Some(key) = ask.key {
            runs.entry((ask.tenant, key)).or_default().push(run);
        }
    }
    match runs.into_values().find(|runs| runs.len() > 1) {
        Some(twice) => broken("a request that may not be repeated runs at most once", &twice),
        None => Ok(()),
    }
}

/// Where "not run" was said, no engine ran the request, not even later.
fn not_run_is_true(fleet: &Fleet) -> Result<(), Violation> {
    let callers = &fleet.callers.callers;
    for (index, caller) in callers.iter().enumerate() {
        let Some((_, CallerEnd::Outcome(Outcome::NotRun(_)))) = &caller.end else {
            continue;
        };
        if let Some(run) = fleet.callers.runs.iter().find(|run| run.caller == index) {
            return broken("what is refused as not run is not run", &(caller, run));
        }
        let earlier = fleet.callers.runs.iter().find(|run| {
            let first = &callers[run.caller];
            caller.ask.key.is_some()
                && run.call.phase == Phase::Whole
                && run.at < caller.asked_at
                && is_same_request(&first.ask, &caller.ask)
        });
        if let Some(run) = earlier {
            return broken(
                "a key whose request ran is not refused as not run",
                &(caller, run),
            );
        }
    }
    Ok(())
}

/// Whether two asks have the same key and body, whatever their deadlines.
fn is_same_request(first: &Ask, second: &Ask) -> bool {
    let body = |ask: &Ask| (ask.tenant, ask.key, ask.body, ask.kind, ask.max_tokens);
    body(first) == body(second)
}

/// Callers receive nothing but their own answer, in order and without a gap; a completed one is whole.
fn answers_are_right(fleet: &Fleet) -> Result<(), Violation> {
    for caller in &fleet.callers.callers {
        let seed = AnswerSeed::new(&model(caller), None, &prompt(caller.ask.body));
        for (position, (offset, text)) in caller.tokens.iter().enumerate() {
            let expected = caller.offset + u32::try_from(position).unwrap_or(u32::MAX);
            if *offset != expected || *text != seed.token(*offset) {
                return broken("a caller receives its own answer in order", caller);
            }
        }
        let length = match caller.ask.kind {
            ModelKind::Model => seed.length(caller.ask.max_tokens),
            ModelKind::Application => receipt_length(caller.ask.max_tokens),
        };
        let whole = caller.finished.is_some_and(|(tokens, _)| tokens == length)
            && caller.tokens.len() as u32 == length - caller.offset;
        if matches!(caller.end, Some((_, CallerEnd::Outcome(Outcome::Completed)))) && !whole {
            return broken("a completed answer is whole", caller);
        }
    }
    Ok(())
}

/// Only engines where the tenant's data may be run its requests.
fn data_stays_in_place(fleet: &Fleet) -> Result<(), Violation> {
    let outside = fleet.callers.runs.iter().find(|run| {
        fleet.callers.callers[run.caller].ask.tenant == 1 && fleet.zone_of_engine(run.engine) != 0
    });
    match outside {
        Some(run) => broken("a tenant's data stays where its rules place it", run),
        None => Ok(()),
    }
}

/// A prefix is found in a cache only where the same tenant put one.
fn prefixes_stay_apart(fleet: &Fleet) -> Result<(), Violation> {
    let callers = &fleet.callers.callers;
    let mut held: BTreeSet<(usize, u64, usize, u8)> = BTreeSet::new();
    // Whether any of a request's runs may have found its prompt in a cache.
    let mut earlier: BTreeMap<&str, bool> = BTreeMap::new();
    for run in &fleet.callers.runs {
        let ask = callers[run.caller].ask;
        let place = (run.engine, run.incarnation, ask.tenant, ask.body / 2);
        let may_hit = held.contains(&place);
        if run.call.phase == Phase::Whole {
            *earlier.entry(&run.call.request.0).or_default() |= may_hit || run.call.import.is_some();
        }
        held.insert(place);
    }
    for caller in callers {
        let cached = caller.finished.map_or(0, |(_, cached)| cached);
        let may_hit = earlier.get(caller.request.0.as_str()).copied().unwrap_or(true);
        if cached > 0 && !may_hit {
            return broken("no tenant meets another's cached prefix", caller);
        }
    }
    Ok(())
}

/// A gateway that knows for some seconds that an engine leaves sends it nothing.
fn leaving_engines_get_nothing(fleet: &Fleet) -> Result<(), Violation> {
    let late = fleet.callers.dispatches.iter().find(|dispatch| {
        dispatch
            .known_leaving
            .is_some_and(|known| dispatch.at.since(known) > LEAVING_GRACE)
    });
    match late {
        Some(dispatch) => broken(
            "a leaving engine receives no new work after a few seconds",
            dispatch,
        ),
        None => Ok(()),
    }
}

/// With nothing but planned changes every request that was let in ends with its whole answer, or was not run for a
/// stated reason other than a fault. One that a caller cancelled is over for everyone who reads it or shares its key.
pub fn nothing_was_cut_off(fleet: &Fleet) -> Result<(), Violation> {
    let callers = &fleet.callers.callers;
    let cancelled: Vec<&Caller> = callers.iter().filter(|caller| was_cancelled(caller)).collect();
    let cut = callers.iter().find(|caller| match &caller.end {
        Some((_, CallerEnd::Outcome(Outcome::Completed) | CallerEnd::RefusedAtDoor | CallerEnd::Left)) => {
            false
        }
        Some((_, CallerEnd::Outcome(Outcome::NotRun(refusal)))) => {
            refusal.reason == RefusalReason::LedgerUnavailable
        }
        _ => !cancelled.iter().any(|other| is_same_work(caller, other)),
    });
    match cut {
        Some(caller) => broken("no request is cut off by a planned change", caller),
        None => Ok(()),
    }
}

fn is_same_work(caller: &Caller, other: &Caller) -> bool {
    let same_key = caller.ask.key.is_some() && caller.ask.key == other.ask.key;
    caller.request == other.request || (same_key && caller.ask.tenant == other.ask.tenant)
}

fn was_cancelled(caller: &Caller) -> bool {
    matches!(
        &caller.end,
        Some((
            _,
            CallerEnd::Outcome(Outcome::Failed(Failure::Cancelled) | Outcome::Unknown(Failure::Cancelled))
        ))
    )
}

fn model(caller: &Caller) -> shelfjunction_core::identity::ModelId {
    shelfjunction_core::identity::ModelId::new(match caller.ask.kind {
        ModelKind::Model => super::engine::MODEL,
        ModelKind::Application => super::engine::APPLICATION,
    })
}

fn broken(property: &'static str, seen: &impl std::fmt::Debug) -> Result<(), Violation> {
    Err(Violation {
        property,
        seen: format!("{seen:?}"),
    })
}
