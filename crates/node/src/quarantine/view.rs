//! What operators see of the quarantine, and how they lift it.

use crate::context::Context;
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::quarantine::{Entry, Fingerprint};
use shelfjunction_protocol::quarantine::{QuarantineView, SuspectView};
use shelfjunction_threads::lock;

/// Every request against which a crash counts.
pub(crate) fn view(context: &Context) -> QuarantineView {
    let entries = lock(&context.suspects.register).entries(context.now());
    QuarantineView {
        node: context.config.node.as_str().to_owned(),
        requests: entries.iter().map(suspect_view).collect(),
    }
}

fn suspect_view(entry: &Entry) -> SuspectView {
    SuspectView {
        fingerprint: entry.fingerprint.to_string(),
        route: entry.asked.route.to_string(),
        pool: entry.asked.pool.to_string(),
        tenant: entry
            .asked
            .tenant
            .as_ref()
            .map(TenantId::as_str)
            .map(str::to_owned),
        standing: entry.standing.name().to_owned(),
        crashes: entry.standing.crashes(),
        counts_for_seconds: entry.counts_for.as_secs(),
        refused: entry.refused,
    }
}

/// Lifts a request's quarantine, here and, as they hear of it, at all other nodes; false where nothing counted.
pub(crate) fn lift(context: &Context, fingerprint: &Fingerprint) -> bool {
    let now = context.now();
    let suspects = &context.suspects;
    let lifted = suspects.with_register(|register| register.clear(fingerprint, now));
    if lifted {
        log::info!(fingerprint:% = fingerprint, cause = "lifted"; "suspicion_ended");
        lock(&suspects.schedule).note_change();
        context.peers.note_urgent();
    }
    lifted
}
