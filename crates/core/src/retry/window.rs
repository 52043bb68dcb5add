//! A budget for repeats that holds in every sliding window, shared by nodes without a message.
//!
//! Over all nodes, a pool may receive `ratio` times its requests and `slack` repeats more within any window. Each node
//! keeps to a part of the same ratio of its own requests and of its share of the slack, so that the sum holds whatever
//! the others do. What part that is, [`super::sharing`] says: a process that starts has nothing left of what its
//! predecessor was allowed.

use super::sharing::BudgetShare;
use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Bounds of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowBudgetSettings {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beyond, over all nodes.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// What a budget stands at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetAccount {
    /// Requests counted within the window.
    pub requests: usize,
    /// Repeats granted within the window.
    pub repeats: usize,
    /// Repeats left now.
    pub left: f64,
}

/// One node's part of the budget for one pool.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    settings: WindowBudgetSettings,
    requests: VecDeque<MonotonicTime>,
    repeats: VecDeque<MonotonicTime>,
}

impl WindowBudget {
    /// Nothing spent.
    pub fn new(settings: WindowBudgetSettings) -> Self {
        Self {
            settings,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: MonotonicTime) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat of this node's share; false where it is spent.
    pub fn take(&mut self, share: &BudgetShare, now: MonotonicTime) -> bool {
        self.forget(now);
        if self.left(share) < 1.0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Repeats left of this node's share, as of the last count; below zero where the share has become smaller since.
    pub fn left(&self, share: &BudgetShare) -> f64 {
        let slack = self.settings.slack * share.slack_part(self.settings.window);
        let earned = self.settings.ratio * self.requests.len() as f64;
        slack + share.usable_part() * earned - self.repeats.len() as f64
    }

    /// What the budget stands at, as of the last count.
    pub fn account(&self, share: &BudgetShare) -> BudgetAccount {
        BudgetAccount {
            requests: self.requests.len(),
            repeats: self.repeats.len(),
            left: self.left(share),
        }
    }

    /// What was granted within the window, at most, in hundredths of this node's whole part.
    pub fn granted_hundredths(&mut self, share: &BudgetShare, now: MonotonicTime) -> u32 {
        self.forget(now);
        let earned = self.settings.ratio * self.requests.len() as f64;
        share.told_hundredths(self.repeats.len(), self.settings.slack, earned)
    }

    fn forget(&mut self, now: MonotonicTime) {
        let window = self.settings.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| now.since(*time) > window) {
                times.pop_front();
            }
        }
    }
}
