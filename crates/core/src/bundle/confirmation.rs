//! How long ago it was last known that the bundle in force is the current one.

use crate::identity::{Generation, ZoneId};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Who said which bundle is current.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeadSource {
    /// The table service's row.
    Store,
    /// A process of this or another zone.
    Peer {
        /// The peer's zone.
        zone: ZoneId,
        /// How long ago the peer had its own confirmation.
        confirmed_ago: Duration,
    },
}

/// The last confirmation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    last: Option<MonotonicTime>,
}

impl Confirmation {
    /// The instant that an answer vouches for: now, or earlier for what a process of the own zone passes on.
    ///
    /// Absent for an instant before the start of this process's clock, which nothing here can hold: moving it up to
    /// the start would make an old confirmation look fresh in a young process.
    pub fn vouched(source: &HeadSource, own_zone: &ZoneId, now: MonotonicTime) -> Option<MonotonicTime> {
        match source {
            HeadSource::Store => Some(now),
            HeadSource::Peer { zone, .. } if zone != own_zone => Some(now),
            HeadSource::Peer { confirmed_ago, .. } => now.earlier(*confirmed_ago),
        }
    }

    /// Whether an answer that names `offered` confirms that `held` is current.
    ///
    /// The store must name the same generation: a lower one is a stale read. A process of another zone confirms by
    /// knowing of nothing higher. One of the own zone can only pass on what it knows about the same generation.
    pub fn confirms(
        source: &HeadSource,
        own_zone: &ZoneId,
        offered: Option<Generation>,
        held: Generation,
    ) -> bool {
        match source {
            HeadSource::Peer { zone, .. } if zone != own_zone => {
                offered.is_none_or(|generation| generation <= held)
            }
            _ => offered == Some(held),
        }
    }

    /// Notes a confirmation; an older one than known changes nothing, nor does none.
    pub fn note(&mut self, at: Option<MonotonicTime>) {
        self.last = self.last.max(at);
    }

    /// Time since the last confirmation; absent before the first.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.last.map(|last| now.since(last))
    }
}
