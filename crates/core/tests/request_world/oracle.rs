//! What must hold, read from what engines ran and what callers were given.

use super::engines::{RunLog, TOKENS, text};
use super::{Course, World};
use shelfjunction_core::engine::Phase;
use shelfjunction_core::ledger::row::{ClaimContent, StoredClaim};
use shelfjunction_core::outcome::Outcome;
use std::collections::BTreeMap;

impl World {
    /// Holds at every moment, and for calls that arrive after their course is over.
    pub fn check(&self) {
        self.check_at_most_once();
        for course in &self.courses {
            check_answer(course);
            if let Some(Outcome::NotRun(refusal)) = &course.outcome {
                let ran = self.engines.log.iter().any(|run| run.request == course.request);
                assert!(!ran, "said not run ({:?}) of a request that ran", refusal.reason);
                assert!(
                    !self.key_ran_before(course),
                    "said not run ({:?}) of a key whose request had run",
                    refusal.reason
                );
            }
        }
    }

    /// Holds once nothing can happen any more.
    pub fn check_ended(&self) {
        for course in &self.courses {
            assert!(course.machine.is_over(), "a course has no end");
            assert!(
                course.outcome.is_some() || course.detached,
                "a caller was told nothing"
            );
        }
        self.check_no_key_is_blocked();
    }

    /// No claim is left of a request that was handed to no engine and never will be.
    fn check_no_key_is_blocked(&self) {
        for row in self.table.rows() {
            let ClaimContent::Held(claim) = StoredClaim::read(row).content else {
                continue;
            };
            let owner = self.courses.iter().find(|course| course.request == claim.request);
            assert!(
                owner.unwrap().machine.handed_over(),
                "the claim of {} blocks its key and nothing ran",
                claim.request
            );
        }
    }

    /// Whether an engine had begun the output of the same key and body when the course started.
    fn key_ran_before(&self, course: &Course) -> bool {
        let before = &self.engines.log[..course.runs_before];
        let is_same = |run: &&RunLog| {
            let first = self.courses.iter().find(|first| first.request == run.request);
            first.is_some_and(|first| first.key == course.key && first.body == course.body)
        };
        course.key.is_some()
            && before
                .iter()
                .filter(|run| run.phase == Phase::Whole)
                .any(|run| is_same(&run))
    }

    fn check_at_most_once(&self) {
        let mut runs: BTreeMap<u8, Vec<&RunLog>> = BTreeMap::new();
        for run in self.engines.log.iter().filter(|run| run.phase == Phase::Whole) {
            let course = self.courses.iter().find(|course| course.request == run.request);
            if let Some(key) = course.unwrap().key {
                runs.entry(key).or_default().push(run);
            }
        }
        for (key, runs) in runs {
            assert!(runs.len() <= 1, "key {key} ran {} times: {runs:?}", runs.len());
        }
    }
}

fn check_answer(course: &Course) {
    for (offset, received) in course.received.iter().enumerate() {
        let expected = text(course.body, u32::try_from(offset).unwrap());
        assert_eq!(received, &expected, "a part of another answer, or out of order");
    }
    if course.outcome == Some(Outcome::Completed) {
        assert_eq!(
            course.received.len(),
            TOKENS as usize,
            "a completed answer is not whole"
        );
    }
}
