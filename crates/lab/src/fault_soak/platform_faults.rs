//! Faults of the platform itself, its store and its interface, and what is known of them afterwards.

use super::authority::{Circumstances, SeenDutyCall};
use super::deployment::Deployment;
use super::disturbances::Struck;
use crate::users_platform::{
    DEFERRAL_MILLIS, DeferralCount, DeferralDelay, DutyCall, InterfaceMode, StoreMode,
};
use std::fmt;
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two looks at whether all deferred calls have been carried out.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Calls that the platform left without an answer and carried out later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deferrals {
    /// Transactions of the store.
    pub store: DeferralCount,
    /// Reports and orders.
    pub interface: DeferralCount,
}

impl fmt::Display for Deferrals {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { store, interface } = self;
        write!(
            formatter,
            "{} transactions deferred ({} made), {} calls of the interface deferred ({} taken)",
            store.deferred, store.done, interface.deferred, interface.done
        )
    }
}

impl Deployment {
    /// Sets from which seed delays of deferred calls are drawn, and whether the interface checks fences.
    pub(super) fn set_platform(&self, seed: u64, checks_fences: bool) {
        let delay = DeferralDelay::Drawn {
            seed,
            millis: DEFERRAL_MILLIS,
        };
        self.store.set_deferral(&delay);
        self.interface.set_deferral(&delay);
        self.interface.check_fences(checks_fences);
    }

    /// Has the store defer a node's transactions, or answer them again; another mode that the schedule has set stays.
    pub(super) fn defer_transactions(&self, node: usize, defers: bool) {
        let (from, to) = if defers {
            (StoreMode::Serving, StoreMode::Deferring)
        } else {
            (StoreMode::Deferring, StoreMode::Serving)
        };
        self.replace_store_mode(node, from, to);
    }

    /// Has the interface defer calls, or answer them again.
    pub(super) fn defer_duty_calls(&self, defers: bool) {
        self.interface.set_mode(if defers {
            InterfaceMode::Deferring
        } else {
            InterfaceMode::Serving
        });
    }

    /// Heals something of nodes and notes when.
    pub(super) fn heal_noted(&self, struck: Struck, begun: Instant, heal: impl FnOnce()) {
        let place = self.heals.begin(struck, begun.elapsed());
        heal();
        self.heals.end(place, begun.elapsed());
    }

    /// Disrupts the platform and notes when.
    pub(super) fn disrupt_platform(&self, begun: Instant, disrupt: impl FnOnce()) {
        let place = self.platform_faults.begin(Struck::All, begun.elapsed());
        disrupt();
        self.platform_faults.end(place, begun.elapsed());
    }

    /// Deferred calls so far.
    pub(super) fn deferrals(&self) -> Deferrals {
        Deferrals {
            store: self.store.deferrals(),
            interface: self.interface.deferrals(),
        }
    }

    /// Waits until every deferred call has been carried out, which takes no longer than the longest delay.
    pub(super) fn wait_for_deferred(&self) {
        let until = Instant::now() + Duration::from_millis(DEFERRAL_MILLIS.end) + LOOK_INTERVAL;
        let is_waiting = |deferrals: Deferrals| deferrals.store.waiting() + deferrals.interface.waiting() > 0;
        while is_waiting(self.deferrals()) && Instant::now() < until {
            thread::sleep(LOOK_INTERVAL);
        }
    }

    /// Reports and orders that the interface took, in the order in which they were carried out.
    pub(super) fn duty_calls(&self, begun: Instant) -> Vec<SeenDutyCall> {
        let calls = self.interface.calls().into_iter();
        calls.filter_map(|call| seen_call(call, begun)).collect()
    }

    /// What is known of when they came.
    pub(super) fn circumstances(&self, fences_checked: bool) -> Circumstances<'_> {
        Circumstances {
            fences_checked,
            platform: &self.platform_faults,
            heals: &self.heals,
            nodes: &self.disturbances,
        }
    }
}

fn seen_call(call: DutyCall, begun: Instant) -> Option<SeenDutyCall> {
    let node = call
        .holder
        .strip_prefix("node-")
        .and_then(|node| node.parse().ok());
    if node.is_none() {
        log::error!(holder = call.holder.as_str(); "holder_is_no_node");
    }
    Some(SeenDutyCall {
        subject: call.subject,
        node: node?,
        token: call.token,
        at: call.done_at.saturating_duration_since(begun),
        deferred: call.deferred,
    })
}
