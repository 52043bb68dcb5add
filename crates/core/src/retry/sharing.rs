//! How much of a budget that all nodes share one node may use, from what it knows of the others.
//!
//! A process that is gone may have granted its part a moment before, and forgets it. Whoever comes in its place, or serves
//! its callers meanwhile, earns from the same callers once more. So everybody uses the less the more was granted within
//! the window by processes that are gone, as far as anybody can tell ([`super::census`]):
//!
//! ```text
//! usable = min(WHOLE_PART, KEPT_TO - WHOLE_PART * forgotten / present)
//! ```
//!
//! Within a window those that are gone granted `WHOLE_PART * forgotten / present` of the whole budget at most, and those
//! that run grant at most `usable` of it, since together they see at most all requests: in sum at most `KEPT_TO`, however
//! many processes are killed, and however often. While little is granted, and where up to three nodes in sixteen are
//! gone that had granted all that they could, nobody uses less than in calm.

use std::time::Duration;

/// Part of its budget that a node uses while nothing is forgotten. The rest is for processes that go and come back.
const WHOLE_PART: f64 = 0.8;

/// Part of the budget that all nodes together use at most; the rest is for arrivals that bunch on their way, and for what
/// nodes learn of each other too late.
const KEPT_TO: f64 = 0.95;

/// A node's whole part of a budget, in the hundredths in which nodes tell of it.
pub(super) const WHOLE: u32 = 100;

/// Steps in which a node tells what it has granted, in hundredths of its whole part: each takes a word to the others.
const TOLD_STEP: u32 = 25;

/// What is known of the nodes that share a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Sharers {
    /// Nodes in all, also those that have been silent for long: the slack is divided by them.
    pub nodes: u32,
    /// Nodes that may have granted something within the window: those that live, and those that went within it.
    pub present: u32,
    /// What processes that are gone may have granted within the window, in hundredths of a node's whole part.
    pub forgotten_hundredths: u32,
}

impl Sharers {
    /// Of two words about the same nodes, the one by which less is forgotten.
    pub fn calmer(self, other: Self) -> Self {
        if other.forgotten_part() < self.forgotten_part() {
            other
        } else {
            self
        }
    }

    fn forgotten_part(&self) -> f64 {
        let whole = f64::from(self.present.max(1)) * f64::from(WHOLE);
        (f64::from(self.forgotten_hundredths) / whole).min(1.0)
    }
}

/// A node's part of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// The nodes that share it; absent while they are not known.
    pub sharers: Option<Sharers>,
    /// For how long this node is sure that it knows what was granted in its name: since its process started, or longer.
    pub settled_for: Duration,
}

impl BudgetShare {
    /// Part of what its own requests earn that this node may use. Without knowledge of others, all may have granted
    /// everything and started again a moment ago.
    pub fn usable_part(&self) -> f64 {
        let forgotten = self.sharers.map_or(1.0, |sharers| sharers.forgotten_part());
        (KEPT_TO - WHOLE_PART * forgotten).min(WHOLE_PART)
    }

    /// Part of the budget's slack that this node may use. It grows with the time that the process has been up, so that
    /// starting again adds nothing; there is none while the number of nodes is not known.
    pub fn slack_part(&self, window: Duration) -> f64 {
        let up = self.settled_for.as_secs_f64() / window.as_secs_f64();
        self.usable_part() * up.min(1.0) * self.slack_share()
    }

    /// What a node has granted of what it may grant at most, in hundredths, as it is told: rounded up to a step.
    pub(super) fn told_hundredths(&self, repeats: usize, slack: f64, earned: f64) -> u32 {
        let whole = WHOLE_PART * (slack * self.slack_share() + earned);
        let granted = f64::from(WHOLE) * repeats as f64 / whole.max(f64::MIN_POSITIVE);
        let steps = (granted / f64::from(TOLD_STEP)).ceil();
        (steps as u32).saturating_mul(TOLD_STEP).min(WHOLE)
    }

    fn slack_share(&self) -> f64 {
        self.sharers
            .map_or(0.0, |sharers| 1.0 / f64::from(sharers.nodes.max(1)))
    }
}
