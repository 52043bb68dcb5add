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

/// How far a node has counted a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowTotal {
    /// The window.
    pub window: WindowNumber,
    /// Requests that began, of all tenants.
    pub total: u32,
    /// Whether nothing is counted for the window any more.
    pub ended: bool,
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

    /// How far this node has counted each window; `last` where it counts no more.
    pub fn totals(&mut self, now: UnixTime, last: bool) -> Vec<WindowTotal> {
        self.refresh_windows(now);
        let length = self.length;
        let totals = self.windows.iter().map(|(window, counted)| WindowTotal {
            window: *window,
            total: counted.total,
            ended: last || now >= window.end(length).later(SETTLES),
        });
        totals.collect()
    }

    /// Everything counted for a window, as words of so many tenants.
    pub fn words_for(&self, of: WindowTotal, most_tenants: usize) -> Vec<UsageWord> {
        let first = self.began_in.unwrap_or(of.window);
        let counted = self.windows.get(&of.window);
        counted.map_or_else(Vec::new, |counted| {
            counted.words(of.window, first, of.ended, most_tenants)
        })
    }

    /// Forgets old windows and enters recent ones; one in which nothing began has to be told too, since whoever gathers
    /// waits for this node's word. The window in which this process began.
    fn refresh_windows(&mut self, now: UnixTime) -> WindowNumber {
        let present = WindowNumber::of(now, self.length);
        let first = *self.began_in.get_or_insert(present);
        let length = self.length;
        self.windows
            .retain(|window, _| now.since(window.end(length)) < TELLS_FOR);
        let oldest = WindowNumber::of(now.earlier(TELLS_FOR), length);
        let recent = first.0.max(oldest.0 + 1)..=present.0;
        recent.for_each(|window| {
            self.windows.entry(WindowNumber(window)).or_default();
        });
        first
    }

    fn words_of(&mut self, now: UnixTime, again: bool, last: bool, most_tenants: usize) -> Vec<UsageWord> {
        let first = self.refresh_windows(now);
        let length = self.length;
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
