//! Gives engines their stages, on one node at a time.
//!
//! Of the nodes that are heard, rendezvous hashing names one candidate; only it asks the store for the lease, so that
//! the others cost the store nothing. While it holds the lease it plans, and sends one order at a time. Whoever takes
//! the lease over from another machine waits a while longer before its first order.

mod ordering;
mod tenure;

use crate::context::Context;
use crate::peers::Duty;
use ordering::Ordering;
use shelfjunction_core::membership::rendezvous;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_platform::services::TableService;
use std::time::Duration;
use tenure::Tenure;

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// What the candidate is chosen for.
const TASK: &str = "stage-orders";

/// Gives orders as long as the process runs.
pub(crate) fn run(context: &Context, table: &dyn TableService) {
    let mut tenure = Tenure::new(context);
    let mut ordering = Ordering::default();
    while !context.stop.wait(LOOK_EVERY) {
        if context.state.is_stopping() || !context.state.is_ready() || !is_candidate(context) {
            continue;
        }
        if let Some(authority) = tenure.authority(context, table) {
            ordering.step(context, authority);
        }
    }
}

/// Whether this node is the one that should hold the lease, among those that live and know the work at engines.
fn is_candidate(context: &Context) -> bool {
    let now = context.now();
    // Before the nodes are listed each would take itself for the only one, and they would take the lease from each other.
    if matches!(context.peers.duty(now), Duty::Off | Duty::NotKnown) {
        return false;
    }
    let handle = |name: &str| SubjectHandle::of_text("node", name);
    let task = SubjectHandle::of_text("task", TASK);
    let own = rendezvous::weight(task, handle(context.config.node.as_str()));
    let others = context.peers.alive_on_duty(now);
    others
        .iter()
        .all(|node| rendezvous::weight(task, handle(node.as_str())) < own)
}
