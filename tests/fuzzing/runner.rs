//! Runs a state machine until it fails or its cases are used up.

// Waits of tests and the lab, on machines that are not suspended.
#![allow(clippy::disallowed_methods)]

use super::with_seed;
use proptest::test_runner::{Config, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// What a run gave.
#[derive(Debug)]
pub struct RunReport {
    /// Cases run until the first failure, or all of them.
    pub cases: u64,
    /// Time until then.
    pub elapsed: Duration,
    /// The first failure, if there was one.
    pub failure: Option<RunFailure>,
}

/// A failure with its smallest steps.
#[derive(Debug)]
pub struct RunFailure {
    /// What the oracle said about the smallest steps.
    pub reason: String,
    /// The state they begin with.
    pub initial: String,
    /// The steps.
    pub steps: Vec<String>,
}

/// Runs up to `cases` cases of one to `steps` steps from a seed; shrinks a failure with at most `shrinks` tries.
pub fn run<M>(seed: u64, cases: u32, steps: usize, shrinks: u32) -> RunReport
where
    M: StateMachineTest<Reference = M> + ReferenceStateMachine,
{
    let config = Config {
        cases,
        max_shrink_iters: shrinks,
        ..with_seed(seed)
    };
    let mut runner = TestRunner::new(config.clone());
    let count = Cell::new(0_u64);
    let failed = Cell::new(false);
    let begun = Instant::now();
    let outcome = runner.run(&M::sequential_strategy(1..steps), |(state, transitions, seen)| {
        if !failed.get() {
            count.set(count.get() + 1);
        }
        // A failing case unwinds past the line that takes this back; shrinking is not counted.
        let was_failed = failed.replace(true);
        M::test_sequential(config.clone(), state, transitions, seen);
        failed.set(was_failed);
        Ok(())
    });
    let failure = match outcome {
        Ok(()) => None,
        Err(TestError::Abort(reason)) => Some(RunFailure {
            reason: reason.to_string(),
            initial: String::new(),
            steps: Vec::new(),
        }),
        Err(TestError::Fail(reason, (state, transitions, _))) => Some(RunFailure {
            reason: reason.to_string(),
            initial: format!("{state:?}"),
            steps: transitions
                .iter()
                .map(|transition| format!("{transition:?}"))
                .collect(),
        }),
    };
    RunReport {
        cases: count.get(),
        elapsed: begun.elapsed(),
        failure,
    }
}
