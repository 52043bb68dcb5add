//! Reports requests under which engines crashed to other nodes, and merges their reports.

use crate::context::Context;
use crate::peers::{Datagram, MOST_SUSPECTS, Placing};
use shelfjunction_core::quarantine::Standing;
use shelfjunction_core::quarantine::notification::{Audience, NotificationSchedule, Role};
use shelfjunction_core::quarantine::report::{ConfirmationReport, SuspectReport, TrialReport};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::quarantine_messages::QuarantineDatagram;
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::time::Duration;

/// Sends the reports that are due; the time until more may be.
pub(crate) fn notify_peers(context: &Context) -> Duration {
    let suspects = &context.suspects;
    if suspects.remembers_nothing() {
        return Duration::MAX;
    }
    let now = context.now();
    let has_changes = suspects.with_register(|register| {
        register.forget(now);
        register.has_changes(now)
    });
    let due = lock(&suspects.schedule).due(role(context, now), has_changes, now);
    for notification in due {
        let reports = lock(&suspects.register).reports(notification.selection, now);
        let to = match notification.to {
            Audience::AllNodes => context.peers.addresses(now),
            Audience::Placers => context.peers.told(now),
        };
        send(context, &reports, &to);
    }
    NotificationSchedule::interval(has_changes)
}

fn role(context: &Context, now: MonotonicTime) -> Role {
    match context.peers.placing(now) {
        Placing::Each => Role::Each,
        Placing::Placers(placers) if placers.includes(context.peers.own_handle()) => Role::Placer,
        Placing::Placers(_) => Role::Other,
    }
}

fn send(context: &Context, reports: &[SuspectReport], to: &[SocketAddr]) {
    for part in reports.chunks(MOST_SUSPECTS) {
        send_part(context, part, to);
    }
}

/// Sends reports in one datagram or, where they are too long for it, in several.
fn send_part(context: &Context, reports: &[SuspectReport], to: &[SocketAddr]) {
    let Some(bytes) = Datagram::Suspects(reports.to_vec()).encode() else {
        if reports.len() < 2 {
            log::error!(reports = reports.len(); "suspect_report_too_long");
            return;
        }
        let (first, second) = reports.split_at(reports.len() / 2);
        send_part(context, first, to);
        return send_part(context, second, to);
    };
    to.iter().for_each(|peer| context.peers.send(&bytes, *peer));
    let confirmations: Vec<ConfirmationReport> =
        reports.iter().filter_map(SuspectReport::confirmation).collect();
    if confirmations.is_empty() {
        return;
    }
    if let Some(bytes) = QuarantineDatagram::Confirmations(confirmations).encode() {
        to.iter().for_each(|peer| context.peers.send(&bytes, *peer));
    }
}

/// Merges another node's reports.
pub(crate) fn merge_reports(context: &Context, reports: &[SuspectReport], from: SocketAddr) {
    let now = context.now();
    for report in reports {
        let Some(standing) = merge(context, report, now) else {
            continue;
        };
        log::info!(
            fingerprint:% = report.fingerprint,
            route:% = report.asked.route,
            crashes = standing.crashes(),
            standing = standing.name(),
            from:% = from;
            "suspect_heard"
        );
        if !matches!(standing, Standing::Free { .. }) {
            lock(&context.suspects.schedule).note_change();
            context.peers.note_urgent();
        }
    }
}

/// Merges another node's report; the new standing if it has changed something. What this node knows of answers to the part goes to
/// the others with it.
fn merge(context: &Context, report: &SuspectReport, now: MonotonicTime) -> Option<Standing> {
    let suspects = &context.suspects;
    let fingerprint = &report.fingerprint;
    let answered_at = if fingerprint.is_part() {
        lock(&suspects.answered).last(fingerprint)
    } else {
        None
    };
    suspects.with_register(|register| {
        register.merge(report, now)?;
        if let Some(answered_at) = answered_at {
            register.note_answered_before(fingerprint, answered_at, now);
        }
        Some(register.standing(fingerprint, now))
    })
}

/// Merges another node's confirmations.
pub(crate) fn merge_confirmations(context: &Context, datagram: QuarantineDatagram, from: SocketAddr) {
    let QuarantineDatagram::Confirmations(confirmations) = datagram;
    let now = context.now();
    for confirmation in &confirmations {
        let merged = context
            .suspects
            .with_register(|register| register.merge_confirmation(confirmation, now));
        if merged {
            log::info!(fingerprint:% = confirmation.fingerprint, from:% = from; "confirmation_received");
            lock(&context.suspects.schedule).note_change();
            context.peers.note_urgent();
        }
    }
}

/// Notes another node's trial.
pub(crate) fn merge_trial(context: &Context, report: &TrialReport) {
    lock(&context.suspects.trials).merge(report, context.now());
}

/// Reports a trial to every node.
pub(super) fn notify_trial(context: &Context, report: TrialReport) {
    if let Some(bytes) = Datagram::Trial(Box::new(report)).encode() {
        for peer in context.peers.addresses(context.now()) {
            context.peers.send(&bytes, peer);
        }
    }
}
