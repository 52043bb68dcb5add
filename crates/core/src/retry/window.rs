//! A budget for repeats that holds in every sliding window, shared by nodes without a message.
//!
//! Over all nodes, a pool may receive `ratio` times its requests and `slack` repeats more within any window. Each node
//! keeps to the same ratio of its own requests and to its part of the slack, so the sum holds whatever the others do.

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

/// Part of its budget that a node uses, since arrivals at an engine bunch together on the way.
const SAFE_PART: f64 = 0.8;

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

    /// Takes one repeat where `nodes` share the slack; false where the budget is spent.
    pub fn take(&mut self, nodes: u32, now: MonotonicTime) -> bool {
        self.forget(now);
        if self.left(nodes) < 1.0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Repeats left now.
    pub fn left(&self, nodes: u32) -> f64 {
        let slack = self.settings.slack / f64::from(nodes.max(1));
        let earned = self.settings.ratio * self.requests.len() as f64;
        SAFE_PART * (slack + earned) - self.repeats.len() as f64
    }

    /// What the budget stands at, as of the last count.
    pub fn account(&self, nodes: u32) -> BudgetAccount {
        BudgetAccount {
            requests: self.requests.len(),
            repeats: self.repeats.len(),
            left: self.left(nodes),
        }
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
