//! What one node counts, and what it tells of it.

use super::{UnixTime, WindowNumber};
use crate::identity::TenantId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a window's end at which a node holds its counts for whole. That a request without events has begun shows
/// only in its answer, which seldom takes longer; what shows later still is told as well, and is summed unless the
/// report has been made.
const SETTLES: Duration = Duration::from_millis(400);

/// Time after a window's end for which a node tells its counts again, so that whoever gathers anew hears them too.
const TELLS_FOR: Duration = Duration::from_secs(20);

/// Counts of one node for one window, or some of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageWord {
    /// The window.
    pub window: WindowNumber,
    /// The window in which the node's process began: it has nothing to tell of those before.
    pub began_in: WindowNumber,
    /// Sum over all tenants; a listener that has less lacks some.
    pub total: u32,
    /// Whether nothing is counted for the window any more.
    pub ended: bool,
    /// Requests that began, by tenant; never told to be fewer than before.
    pub counts: Vec<(TenantId, u32)>,
}

#[derive(Clone, Debug, Default)]
struct WindowCounts {
    counts: BTreeMap<TenantId, u32>,
    total: u32,
    told_total: Option<u32>,
    /// Whether the word that says that it has ended was told.
    told_end: bool,
}

/// Counts of one node.
#[derive(Clone, Debug)]
pub struct UsageCounter {
    length: Duration,
    windows: BTreeMap<WindowNumber, WindowCounts>,
    /// The window in which this process began.
    began_in: Option<WindowNumber>,
}

impl UsageCounter {
    /// A counter of windows of a length.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            windows: BTreeMap::new(),
            began_in: None,
        }
    }

    /// Counts a request of a tenant that began to run at an instant.
    pub fn count(&mut self, tenant: &TenantId, began: UnixTime) {
        let number = WindowNumber::of(began, self.length);
        self.began_in = Some(self.began_in.map_or(number, |first| first.min(number)));
        let window = self.windows.entry(number).or_default();
        *window.counts.entry(tenant.clone()).or_default() += 1;
        window.total += 1;
    }

    /// What there is to tell now, a word for each window and so many tenants; `again` tells the old once more.
    pub fn words(&mut self, now: UnixTime, again: bool, most_tenants: usize) -> Vec<UsageWord> {
        self.words_of(now, again, false, most_tenants)
    }

    /// Everything, as the last words of a process that counts no more.
    pub fn last_words(&mut self, now: UnixTime, most_tenants: usize) -> Vec<UsageWord> {
        self.words_of(now, true, true, most_tenants)
    }

    fn words_of(&mut self, now: UnixTime, again: bool, last: bool, most_tenants: usize) -> Vec<UsageWord> {
        let present = WindowNumber::of(now, self.length);
        let first = *self.began_in.get_or_insert(present);
        let length = self.length;
        self.windows
            .retain(|window, _| now.since(window.end(length)) < TELLS_FOR);
        // A window in which nothing began has to be told too: whoever gathers waits for this node's word.
        let oldest = WindowNumber::of(now.earlier(TELLS_FOR), length);
        let recent = first.0.max(oldest.0 + 1)..=present.0;
        recent.for_each(|window| {
            self.windows.entry(WindowNumber(window)).or_default();
        });
        let mut words = Vec::new();
        for (number, window) in &mut self.windows {
            let ended = last || now >= number.end(length).later(SETTLES);
            let is_new = window.told_total != Some(window.total) || (ended && !window.told_end);
            if is_new || (again && ended) {
                window.told_total = Some(window.total);
                window.told_end = ended;
                words.extend(window.words(*number, first, ended, most_tenants));
            }
        }
        words
    }
}

impl WindowCounts {
    fn words(
        &self,
        window: WindowNumber,
        began_in: WindowNumber,
        ended: bool,
        most_tenants: usize,
    ) -> Vec<UsageWord> {
        let counts: Vec<(TenantId, u32)> = self
            .counts
            .iter()
            .map(|(tenant, count)| (tenant.clone(), *count))
            .collect();
        let word = |counts: &[(TenantId, u32)]| UsageWord {
            window,
            began_in,
            total: self.total,
            ended,
            counts: counts.to_vec(),
        };
        if counts.is_empty() {
            return vec![word(&[])];
        }
        counts.chunks(most_tenants.max(1)).map(word).collect()
    }
}
