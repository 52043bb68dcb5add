//! This node's budgets for repeats: what it grants, and what it tells others of it.

use crate::config::NodeConfig;
use crate::context::Context;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::retry::census::SharingWord;
use shelfjunction_core::retry::sharing::BudgetShare;
use shelfjunction_core::retry::window::{BudgetAccount, WindowBudget, WindowBudgetSettings};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The budgets of all pools.
pub(crate) struct Repeats {
    settings: WindowBudgetSettings,
    first_start: bool,
    budgets: Mutex<BTreeMap<PoolId, WindowBudget>>,
    /// What the others were told to have been granted, in hundredths of this node's whole part.
    told_hundredths: AtomicU32,
}

/// Whether a repeat was granted, and what spoke for it.
pub(crate) struct RepeatDecision {
    pub(crate) granted: bool,
    /// The pool's budget at this node, after the decision.
    pub(crate) account: BudgetAccount,
    /// This node's part of it.
    pub(crate) share: BudgetShare,
}

impl Repeats {
    pub(crate) fn new(config: &NodeConfig) -> Self {
        Self {
            settings: config.retry_budget(),
            first_start: config.first_start,
            budgets: Mutex::default(),
            told_hundredths: AtomicU32::new(0),
        }
    }

    fn with_budget<T>(&self, pool: &PoolId, work: impl FnOnce(&mut WindowBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(pool.clone())
            .or_insert_with(|| WindowBudget::new(self.settings));
        work(budget)
    }

    /// For how long this process knows what was granted in its name. Before the first start of all nothing was.
    fn settled_for(&self, now: MonotonicTime) -> Duration {
        let up_for = now.since(MonotonicTime::default());
        if self.first_start {
            up_for.max(self.settings.window)
        } else {
            up_for
        }
    }

    /// Time until this process knows all that was granted in its name within a window.
    fn settles_in(&self, now: MonotonicTime) -> Duration {
        self.settings.window.saturating_sub(self.settled_for(now))
    }

    /// What was granted of the budget of which most was, in hundredths of this node's whole part.
    fn granted_hundredths(&self, share: &BudgetShare, now: MonotonicTime) -> u32 {
        let mut budgets = lock(&self.budgets);
        let granted = budgets
            .values_mut()
            .map(|budget| budget.granted_hundredths(share, now));
        granted.max().unwrap_or(0)
    }
}

impl Context {
    /// Counts a request for a pool.
    pub(crate) fn count_request(&self, pool: &PoolId) {
        let now = self.now();
        self.repeats.with_budget(pool, |budget| budget.on_request(now));
    }

    /// Asks a pool's budget for one repeat.
    pub(crate) fn take_repeat(&self, pool: &PoolId) -> RepeatDecision {
        let now = self.now();
        let share = self.budget_share(now);
        let (granted, account) = self.repeats.with_budget(pool, |budget| {
            let granted = budget.take(&share, now);
            (granted, budget.account(&share))
        });
        self.metrics.retry_asked(granted);
        let told = self.repeats.told_hundredths.load(Ordering::Relaxed);
        if self.repeats.granted_hundredths(&share, now) > told {
            self.peers.note_granted();
        }
        RepeatDecision {
            granted,
            account,
            share,
        }
    }

    /// Repeats left in the tightest of the pools' budgets.
    pub(crate) fn repeats_left(&self) -> f64 {
        let share = self.budget_share(self.now());
        let budgets = lock(&self.repeats.budgets);
        let left = budgets.values().map(|budget| budget.left(&share));
        left.min_by(f64::total_cmp).unwrap_or_default()
    }

    /// What this node tells others of its budgets for repeats; they go by it if it is killed.
    pub(crate) fn sharing_word(&self, now: MonotonicTime) -> SharingWord {
        let granted_hundredths = self.repeats.granted_hundredths(&self.budget_share(now), now);
        self.repeats
            .told_hundredths
            .store(granted_hundredths, Ordering::Relaxed);
        let settles_in = self.repeats.settles_in(now);
        SharingWord {
            settles_in_millis: u32::try_from(settles_in.as_millis()).unwrap_or(u32::MAX),
            granted_hundredths,
            sharers: self.peers.sharers_heard(settles_in, now),
        }
    }

    /// This node's part of the budgets.
    pub(crate) fn budget_share(&self, now: MonotonicTime) -> BudgetShare {
        BudgetShare {
            sharers: self.peers.sharers(self.repeats.settles_in(now), now),
            settled_for: self.repeats.settled_for(now),
        }
    }
}
