//! The long fuzz run and the planted faults, as commands.

use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use shelfjunction_proofs::fuzzing::authority::AuthorityMachine;
use shelfjunction_proofs::fuzzing::bundles::BundleMachine;
use shelfjunction_proofs::fuzzing::runner::{RunReport, run};
use shelfjunction_proofs::fuzzing::serving::{PlannedMachine, ServingMachine};
use shelfjunction_proofs::fuzzing::{PLANTED, coverage};
use shelfjunction_proofs::world::PlantedFault;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Steps of one case at most.
const STEPS: usize = 40;
/// Tries to make a failing case smaller.
const SHRINKS: u32 = 4_000;
/// Cases within which each planted fault must be found.
const PLANTED_CASES: u32 = 5_000;
/// Seed of the planted faults' runs, so that the table can be run again.
const PLANTED_SEED: u64 = 7;

const USAGE: &str = "usage: shelfjunction-proofs long [CASES [SEED [RUN]]] | planted";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |position: usize| arguments.get(position).and_then(|text| text.parse::<u64>().ok());
    // Failing cases are reported once they are as small as they get, not while they shrink.
    std::panic::set_hook(Box::new(|_| {}));
    match arguments.first().map(String::as_str) {
        Some("long") => {
            let only = arguments.get(3).map_or("", String::as_str);
            long(
                number(1).unwrap_or(2_000),
                number(2).unwrap_or_else(fresh_seed),
                only,
            )
        }
        Some("planted") => planted(),
        _ => {
            eprintln!("{USAGE}");
            ExitCode::from(2)
        }
    }
}

fn fresh_seed() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_secs() ^ u64::from(since.subsec_nanos())
}

/// Runs the cases of one state machine and prints what came of it; whether everything held.
type Run = fn(&str, u64, u32) -> bool;

fn long(cases: u64, seed: u64, only: &str) -> ExitCode {
    let cases = u32::try_from(cases).unwrap_or(u32::MAX);
    println!("seed={seed} cases={cases}");
    let runs: [(&str, Run); 5] = [
        ("authority", report::<AuthorityMachine>),
        ("serving", report::<ServingMachine>),
        ("planned", report::<PlannedMachine<false>>),
        ("bundles", report::<BundleMachine>),
        ("shared-keys", report::<PlannedMachine<true>>),
    ];
    let mut held = true;
    for (name, run) in runs.iter().filter(|(name, _)| name.starts_with(only)) {
        held &= run(name, seed, cases);
    }
    match held {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs and prints what came of it; whether everything held.
fn report<M>(name: &str, seed: u64, cases: u32) -> bool
where
    M: StateMachineTest<Reference = M> + ReferenceStateMachine,
{
    let outcome: RunReport = run::<M>(seed, cases, STEPS, SHRINKS);
    let seconds = outcome.elapsed.as_secs_f64();
    let rate = outcome.cases as f64 / seconds.max(f64::EPSILON);
    println!(
        "run={name} cases={} seconds={seconds:.1} cases_per_second={rate:.0}",
        outcome.cases
    );
    for (what, times) in coverage::take() {
        println!("  {what}: {times}");
    }
    let Some(failure) = &outcome.failure else {
        println!("  held");
        return true;
    };
    println!("  FAILED: {}", failure.reason);
    println!("  from {}", failure.initial);
    for step in &failure.steps {
        println!("    {step}");
    }
    false
}

fn planted() -> ExitCode {
    let mut found = true;
    for fault in PlantedFault::AUTHORITY {
        found &= find::<AuthorityMachine>(fault);
    }
    for fault in PlantedFault::SERVING {
        found &= find::<ServingMachine>(fault);
    }
    for fault in PlantedFault::BUNDLES {
        found &= find::<BundleMachine>(fault);
    }
    match found {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs with one fault until the oracle notices it; whether it did.
fn find<M>(fault: PlantedFault) -> bool
where
    M: StateMachineTest<Reference = M> + ReferenceStateMachine,
{
    PLANTED.set(Some(fault));
    let outcome = run::<M>(PLANTED_SEED, PLANTED_CASES, STEPS, SHRINKS);
    PLANTED.set(None);
    coverage::take();
    let Some(failure) = outcome.failure else {
        println!("{fault:?}: NOT FOUND in {} cases", outcome.cases);
        return false;
    };
    let reason = failure.reason.split(':').next().unwrap_or_default();
    println!(
        "{fault:?}: found after {} cases, {} steps at least: {reason}",
        outcome.cases,
        failure.steps.len()
    );
    true
}
