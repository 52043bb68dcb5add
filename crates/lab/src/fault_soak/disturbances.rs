//! Which nodes were struck when, since a promise with a time bound holds only for nodes in touch.

use super::layout::Layout;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Nodes that a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Struck {
    /// One.
    Node(usize),
    /// Those of a region, one of so many; nodes lie in regions as in [`super::layout::Layout`].
    Region {
        /// The region.
        region: usize,
        /// Number of regions.
        regions: usize,
    },
    /// All: each of them, or the store for all.
    All,
    /// None.
    Nobody,
}

impl Struck {
    fn includes(self, node: usize) -> bool {
        match self {
            Self::Node(struck) => struck == node,
            Self::Region { region, regions } => Layout::new(regions).region_of_node(node) == region,
            Self::All => true,
            Self::Nobody => false,
        }
    }
}

/// One fault on its nodes; absent end: it goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Disturbance {
    struck: Struck,
    from: Duration,
    until: Option<Duration>,
}

/// Faults so far, in time from the start of the callers.
#[derive(Debug, Default)]
pub struct Disturbances {
    all: Mutex<Vec<Disturbance>>,
}

impl Disturbances {
    /// Notes that a fault begins; its place.
    pub fn begin(&self, struck: Struck, at: Duration) -> usize {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(Disturbance {
            struck,
            from: at,
            until: None,
        });
        all.len() - 1
    }

    /// Notes that it is over.
    pub fn end(&self, place: usize, at: Duration) {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(disturbance) = all.get_mut(place) {
            disturbance.until = Some(at);
        }
    }

    /// Whether no fault of any kind struck, or lasted, between two instants.
    pub fn none_between(&self, from: Duration, until: Duration) -> bool {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        !all.iter().any(|disturbance| {
            disturbance.from <= until && disturbance.until.is_none_or(|ended| ended >= from)
        })
    }

    /// Whether a node was struck by nothing for so long before an instant.
    pub fn in_touch(&self, node: usize, at: Duration, contact: Duration) -> bool {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let since = at.saturating_sub(contact);
        !all.iter().any(|disturbance| {
            disturbance.struck.includes(node)
                && disturbance.from <= at
                && disturbance.until.is_none_or(|until| until >= since)
        })
    }
}
