//! Schedule and audience of the reports on requests under which engines crashed.
//!
//! In a small fleet every node reports to every other. In a large one nodes report the crashes that they have seen to the placers, and
//! placers report restricted requests to all nodes.

use super::register::Selection;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Time between two reports of a change. Eight fit into the notification period, so that with three datagrams in ten lost one
/// node in some 15,000 misses all of another's.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two reports of everything restricted, for nodes that started or were cut off since it changed.
const FULL_INTERVAL: Duration = Duration::from_secs(3);

/// What a node is in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// One of a small fleet.
    Each,
    /// A placer of a large fleet.
    Placer,
    /// Another node of a large fleet.
    Other,
}

/// Receivers of a notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Every other node.
    AllNodes,
    /// The other placers.
    Placers,
}

/// One message to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notification {
    /// The requests that it is about.
    pub selection: Selection,
    /// Its receivers.
    pub to: Audience,
}

/// When reports were sent last.
#[derive(Clone, Debug, Default)]
pub struct NotificationSchedule {
    /// Whether something has changed since.
    has_changed: bool,
    changes_sent_at: Option<MonotonicTime>,
    all_sent_at: Option<MonotonicTime>,
}

impl NotificationSchedule {
    /// Notes a change that other nodes need at once.
    pub fn note_change(&mut self) {
        self.has_changed = true;
    }

    /// Notifications that are due now.
    pub fn due(&mut self, role: Role, has_changes: bool, now: MonotonicTime) -> Vec<Notification> {
        let changes =
            has_changes && (self.has_changed || is_over(self.changes_sent_at, CHANGE_INTERVAL, now));
        let all = is_over(self.all_sent_at, FULL_INTERVAL, now);
        let mut due = Vec::new();
        if changes {
            self.has_changed = false;
            self.changes_sent_at = Some(now);
            due.extend(changes_for(role));
        }
        if all {
            self.all_sent_at = Some(now);
            due.extend(restricted_for(role));
        }
        due
    }

    /// Time until the next notification may be due.
    pub fn interval(has_changes: bool) -> Duration {
        if has_changes {
            CHANGE_INTERVAL
        } else {
            FULL_INTERVAL
        }
    }
}

fn is_over(since: Option<MonotonicTime>, time: Duration, now: MonotonicTime) -> bool {
    since.is_none_or(|at| now.since(at) >= time)
}

fn changes_for(role: Role) -> Vec<Notification> {
    let notification = |selection, to| Notification { selection, to };
    match role {
        Role::Each => vec![notification(Selection::Changes, Audience::AllNodes)],
        Role::Placer => vec![
            notification(Selection::SeenHere, Audience::Placers),
            notification(Selection::RestrictedChanges, Audience::AllNodes),
        ],
        Role::Other => vec![notification(Selection::SeenHere, Audience::Placers)],
    }
}

fn restricted_for(role: Role) -> Option<Notification> {
    (role != Role::Other).then_some(Notification {
        selection: Selection::Restricted,
        to: Audience::AllNodes,
    })
}
