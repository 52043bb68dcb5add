//! One suspect at a time: where two run beside each other at one pool, a crash does not tell which of them caused it, and
//! copies of one could take several engines at once.
//!
//! A node that wants to run a suspect reports the trial to all others, waits for the time that a report takes, and goes on unless
//! another node's trial was reported meanwhile. No promise rests on it: where a report is lost two may run, which costs precision.

use super::report::{TrialId, TrialReport};
use crate::forwarding::PoolId;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;

/// Trials under way or about to begin, as far as a node knows.
#[derive(Clone, Debug, Default)]
pub struct TrialBoard {
    trials: BTreeMap<(PoolId, TrialId), MonotonicTime>,
}

impl TrialBoard {
    /// Enters a trial of this node; false where another is known, and nothing is entered.
    pub fn claim(&mut self, pool: &PoolId, trial: TrialId, until: MonotonicTime, now: MonotonicTime) -> bool {
        self.forget(now);
        if self.least(pool).is_some() {
            return false;
        }
        self.trials.insert((pool.clone(), trial), until);
        true
    }

    /// Whether a trial that this node has entered goes before all others that were reported since.
    pub fn stands(&mut self, pool: &PoolId, trial: TrialId, now: MonotonicTime) -> bool {
        self.forget(now);
        self.least(pool) == Some(trial)
    }

    /// Takes a trial off.
    pub fn end(&mut self, pool: &PoolId, trial: TrialId) {
        self.trials.remove(&(pool.clone(), trial));
    }

    /// Merges another node's report.
    pub fn merge(&mut self, report: &TrialReport, now: MonotonicTime) {
        if report.lasts_for.is_zero() {
            return self.end(&report.pool, report.trial);
        }
        self.trials
            .insert((report.pool.clone(), report.trial), now + report.lasts_for);
    }

    fn least(&self, pool: &PoolId) -> Option<TrialId> {
        let mut trials = self.trials.keys().filter(|(of, _)| of == pool);
        trials.next().map(|(_, trial)| *trial)
    }

    fn forget(&mut self, now: MonotonicTime) {
        self.trials.retain(|_, until| *until > now);
    }
}
