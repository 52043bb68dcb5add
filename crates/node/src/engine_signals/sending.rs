//! Passes on to other nodes that engines drain, or are overloaded.
//!
//! A node that reads an announced drain from an answer notifies all other nodes at once, in a large fleet the placers, which
//! notify all. The announcement is repeated for a while, for messages that were lost and nodes that start; a node that misses all of them
//! learns it from the first answer that it gets itself.

use super::on_draining;
use crate::context::Context;
use crate::peers::Placing;
use shelfjunction_core::engine::EngineRefusalReason;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::signal_messages::{MOST_ENGINES, SignalDatagram};
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Time between two messages about the same drains.
const REPEAT_EVERY: Duration = Duration::from_millis(700);

/// Time for which a drain is announced: engines end some seconds after they begin to drain.
const REPEATED_FOR: Duration = Duration::from_secs(10);

/// Least time between two messages.
const LEAST_PAUSE: Duration = Duration::from_millis(50);

/// Drains that this node announces to others.
#[derive(Default)]
pub(crate) struct Announcements {
    pending: Mutex<Pending>,
}

#[derive(Default)]
struct Pending {
    /// Draining engines, each with the time from which it is announced.
    drains: Vec<(SubjectHandle, MonotonicTime)>,
    has_new: bool,
}

impl Announcements {
    /// Adds an engine that drains. More than fit into one message are not announced: nodes learn of them from their own
    /// answers.
    pub(super) fn add(&self, context: &Context, engine: SubjectHandle) {
        let mut pending = lock(&self.pending);
        if pending.drains.len() < MOST_ENGINES {
            pending.drains.push((engine, context.now()));
            pending.has_new = true;
        }
        drop(pending);
        context.peers.note_urgent();
    }

    /// The engines to announce now, where some are new or it is time to repeat them; whether some are new.
    fn due(&self, is_time: bool, now: MonotonicTime) -> Option<(Vec<SubjectHandle>, bool)> {
        let mut pending = lock(&self.pending);
        let is_new = std::mem::take(&mut pending.has_new);
        pending.drains.retain(|(_, at)| now.since(*at) < REPEATED_FOR);
        let engines: Vec<SubjectHandle> = pending.drains.iter().map(|(engine, _)| *engine).collect();
        ((is_new || is_time) && !engines.is_empty()).then_some((engines, is_new))
    }

    fn is_empty(&self) -> bool {
        lock(&self.pending).drains.is_empty()
    }
}

/// Sends announcements when they are due.
#[derive(Default)]
pub(crate) struct AnnouncementSender {
    sent_at: Option<MonotonicTime>,
}

impl AnnouncementSender {
    /// Sends what is due; the time until something may be due again.
    pub(crate) fn send(&mut self, context: &Context) -> Duration {
        let now = context.now();
        let since = self.sent_at.map(|at| now.since(at));
        if since.is_some_and(|since| since < LEAST_PAUSE) {
            return LEAST_PAUSE;
        }
        let is_time = since.is_none_or(|since| since >= REPEAT_EVERY);
        if let Some((engines, is_new)) = context.announcements.due(is_time, now) {
            self.sent_at = Some(now);
            let message = SignalDatagram::Draining(engines);
            send(context, &message, &audience(context, is_new, now));
        }
        if context.announcements.is_empty() {
            return Duration::MAX;
        }
        REPEAT_EVERY
    }
}

/// Everybody in a small fleet, and what is new of a placer; placers repeat to the nodes near them, the others notify the placers.
fn audience(context: &Context, is_new: bool, now: MonotonicTime) -> Vec<SocketAddr> {
    match context.peers.placing(now) {
        Placing::Each => context.peers.addresses(now),
        Placing::Placers(placers) if placers.includes(context.peers.own_handle()) => {
            if is_new {
                context.peers.addresses(now)
            } else {
                context.peers.notified_often(now)
            }
        }
        Placing::Placers(_) => context.peers.told(now),
    }
}

fn send(context: &Context, message: &SignalDatagram, to: &[SocketAddr]) {
    let Some(bytes) = message.encode() else {
        return;
    };
    for peer in to {
        context.peers.send(&bytes, *peer);
    }
}

/// Notifies the nodes that choose engines that one has turned this node away for a time.
pub(super) fn send_overloaded(context: &Context, engine: SubjectHandle) {
    let to = context.peers.told(context.now());
    send(context, &SignalDatagram::Overloaded(engine), &to);
}

/// Takes another node's message.
pub(crate) fn on_message(context: &Context, message: &SignalDatagram, from: SocketAddr) {
    match message {
        SignalDatagram::Draining(engines) => {
            for engine in engines {
                if on_draining(context, *engine, "peer") {
                    relay(context, *engine);
                }
            }
        }
        SignalDatagram::Overloaded(engine) => {
            let reason = EngineRefusalReason::QueueFull;
            lock(&context.router).on_refused_at_peer(*engine, reason, context.now());
            log::debug!(from:% = from; "engine_overloaded");
        }
    }
}

/// A placer passes on what it has received, since only placers receive what the others read.
fn relay(context: &Context, engine: SubjectHandle) {
    if let Placing::Placers(placers) = context.peers.placing(context.now())
        && placers.includes(context.peers.own_handle())
    {
        context.announcements.add(context, engine);
    }
}
