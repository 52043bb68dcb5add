//! Gives engines their stages, on one node at a time; the thread that writes to the store also keeps there, on every node, what
//! must outlast all processes.
//!
//! Of the nodes that are heard, rendezvous hashing names one candidate; only it asks the store for the lease, so that
//! the others cost the store nothing. While it holds the lease it plans, and sends one order at a time. Whoever takes
//! the lease over from another machine waits a while longer before its first order.

mod ordering;
mod scopes;
mod status;
mod tenure;

pub(crate) use status::RegionalRoleMetrics;

use crate::context::Context;
use crate::cordons;
use crate::peers::Duty;
use crate::quarantine::StoreSync;
use crate::tenant_rates;
use ordering::Ordering;
use shelfjunction_core::membership::rendezvous;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_platform::services::TableService;
use shelfjunction_threads::{SuspensionWatch, lock};
use std::time::Duration;
use tenure::Tenure;

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// The same of a node of a large fleet that is not on duty, which has nothing to order: a thousand that each look four times
/// a second wake their machines for nothing.
const LOOK_EVERY_OFF_DUTY: Duration = Duration::from_secs(1);

/// Shorter suspensions are not told: no time that nodes hold each other to is as short.
const LEAST_SUSPENSION: Duration = Duration::from_millis(100);

/// What the candidate is chosen for.
const TASK: &str = "stage-orders";

/// Gives orders as long as the process runs.
pub(crate) fn run(context: &Context, table: &dyn TableService) {
    let mut tenure = Tenure::new(context);
    let mut ordering = Ordering::default();
    let mut quarantine_rows = StoreSync::new(context);
    let mut cordons = cordons::Reader::new(context);
    // Before this node takes its first request, if the store answers.
    quarantine_rows.step(context, table);
    let mut suspension = SuspensionWatch::start();
    while !context.stop.wait(pause(context, &ordering)) {
        note_suspension(suspension.look());
        tenant_rates::refresh_candidates(context, context.now());
        quarantine_rows.step(context, table);
        cordons.step(context, table);
        if context.state.is_stopping() {
            // A successor need not wait for the lease to lapse.
            tenure.release(context, table);
            continue;
        }
        // A lease that is not renewed lapses, and a node that reaches the engines takes it.
        let yields = lock(&context.engine_reach).should_yield();
        if yields || !context.state.is_ready() || !is_candidate(context) {
            ordering.give_up_round(context);
            continue;
        }
        tenure.tick(context, table);
        match tenure.orders_with(context.now()) {
            Some(authority) => ordering.step(context, authority),
            None => ordering.give_up_round(context),
        }
    }
}

/// Says so where the machine was suspended lately.
fn note_suspension(lately: Duration) {
    if lately >= LEAST_SUSPENSION {
        log::warn!(suspended_millis = lately.as_millis() as u64; "machine_was_suspended");
    }
}

/// The next order of a round follows at once.
fn pause(context: &Context, ordering: &Ordering) -> Duration {
    if ordering.has_more() {
        Duration::ZERO
    } else if context.peers.duty(context.now()) == Duty::Off {
        LOOK_EVERY_OFF_DUTY
    } else {
        LOOK_EVERY
    }
}

/// Whether this node should hold the lease: it does already, or nobody does and it comes first among those that live,
/// know the work at engines and are answered by the store. A holder stays one, since each change of it costs the time
/// for which a lease has to lapse.
fn is_candidate(context: &Context) -> bool {
    let now = context.now();
    if context.authority(now).is_some() {
        return true;
    }
    // Before the nodes are listed each would take itself for the only one, and they would take the lease from each other.
    if matches!(context.peers.duty(now), Duty::Off | Duty::NotKnown) {
        return false;
    }
    if !context.in_contact_with_store() || context.peers.another_holds_lease(now) {
        return false;
    }
    let task = SubjectHandle::of_text("task", TASK);
    let own = rendezvous::weight(task, context.peers.own_handle());
    let others = context.peers.lease_candidates(now);
    others
        .into_iter()
        .all(|node| rendezvous::weight(task, node) < own)
}
