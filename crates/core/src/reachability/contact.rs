//! A node's contact with the engines as a whole, judged by its attempts to connect.
//!
//! One engine that takes no connection may have ended. A node that reaches none of several engines more likely has lost its
//! own links:
//!
//! ```text
//! contact is lost      MIN_ENGINES distinct engines failed within FAILURE_WINDOW, and none was connected to since the first
//! contact is restored  an engine was connected to
//! ```

use crate::identity::EngineId;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum number of engines to which connecting has to fail; two may crash at the same time by chance.
const MIN_ENGINES: usize = 3;

/// Time within which failures count together. Longer than several waits for a connection one after the other.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// A change of a node's contact with the engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContactChange {
    /// No engine is reached any more.
    Lost {
        /// Number of engines to which connecting failed.
        engines: usize,
        /// Time since an engine was last connected to; since the start if none ever was.
        unreached_for: Duration,
    },
    /// An engine was connected to again.
    Restored {
        /// Time for which contact was lost.
        lost_for: Duration,
    },
}

/// Contact of a node with the engines.
#[derive(Clone, Debug, Default)]
pub struct EngineContact {
    /// Engines to which connecting failed since an engine was last connected to, each with its latest failure.
    failed: BTreeMap<EngineId, MonotonicTime>,
    last_connected: MonotonicTime,
    lost_since: Option<MonotonicTime>,
}

impl EngineContact {
    /// Whether no engine is reached.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records that an engine took a connection.
    pub fn on_connected(&mut self, now: MonotonicTime) -> Option<ContactChange> {
        self.failed.clear();
        self.last_connected = now;
        let since = self.lost_since.take()?;
        Some(ContactChange::Restored {
            lost_for: now.since(since),
        })
    }

    /// Records that an engine took no connection.
    pub fn on_connect_failed(&mut self, engine: &EngineId, now: MonotonicTime) -> Option<ContactChange> {
        self.failed.insert(engine.clone(), now);
        self.failed
            .retain(|_, failed_at| now.since(*failed_at) <= FAILURE_WINDOW);
        if self.is_lost() || self.failed.len() < MIN_ENGINES {
            return None;
        }
        self.lost_since = Some(now);
        Some(ContactChange::Lost {
            engines: self.failed.len(),
            unreached_for: now.since(self.last_connected),
        })
    }
}
