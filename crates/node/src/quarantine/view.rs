//! What operators see of the quarantine, and how they lift it.

use crate::context::Context;
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::quarantine::{Entry, Fingerprint};
use shelfjunction_protocol::quarantine::{QuarantineView, SuspectView};
use shelfjunction_threads::lock;

/// Every request and part against which a crash counts.
pub(crate) fn view(context: &Context) -> QuarantineView {
    let entries = lock(&context.suspects.register).entries(context.now());
    let (parts, requests) = entries
        .iter()
        .map(suspect_view)
        .partition(|suspect| suspect.part.is_some());
    QuarantineView {
        node: context.config.node.as_str().to_owned(),
        requests,
        parts,
    }
}

fn suspect_view(entry: &Entry) -> SuspectView {
    SuspectView {
        fingerprint: entry.fingerprint.to_string(),
        part: entry.fingerprint.part_name().map(|name| format!("{name:x}")),
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

/// Lifts a request's or a part's quarantine, here and, as they hear of it, at all other nodes; false where nothing counted.
pub(crate) fn lift(context: &Context, fingerprint: &Fingerprint) -> bool {
    let now = context.now();
    let suspects = &context.suspects;
    let lifted = suspects.with_register(|register| register.lift(fingerprint, now));
    if lifted {
        log::info!(fingerprint:% = fingerprint, cause = "lifted"; "suspicion_ended");
        lock(&suspects.schedule).note_change();
        context.peers.note_urgent();
    }
    lifted
}
