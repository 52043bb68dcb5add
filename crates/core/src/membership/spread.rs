//! What a node still has to pass on, and how often it has done so.

use super::beat::Reach;
use super::subject::SubjectHandle;
use std::collections::{BTreeMap, VecDeque};

/// A subject that still has to be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The subject.
    pub handle: SubjectHandle,
    /// How far it may travel.
    pub reach: Reach,
}

/// Subjects to pass on, each a fixed number of times, those that waited longest first.
#[derive(Clone, Debug, Default)]
pub struct SpreadQueue {
    order: VecDeque<SubjectHandle>,
    left: BTreeMap<SubjectHandle, (u8, Reach)>,
}

impl SpreadQueue {
    /// Puts a subject in; one that waits already keeps its place and gets its sends anew.
    pub fn push(&mut self, handle: SubjectHandle, sends: u8, reach: Reach) {
        if self.left.insert(handle, (sends, reach)).is_none() {
            self.order.push_back(handle);
        }
    }

    /// Subjects that may go to a peer at the given distance, in order of waiting.
    pub fn pending(&self, distance: Reach) -> impl Iterator<Item = Pending> {
        self.order.iter().filter_map(move |handle| {
            let (_, reach) = self.left.get(handle)?;
            (*reach >= distance).then_some(Pending {
                handle: *handle,
                reach: *reach,
            })
        })
    }

    /// Notes that these were sent once; they go to the end, or out after their last time.
    pub fn sent(&mut self, handles: &[SubjectHandle]) {
        if handles.is_empty() {
            return;
        }
        let sent: std::collections::BTreeSet<SubjectHandle> = handles.iter().copied().collect();
        self.order.retain(|handle| !sent.contains(handle));
        for handle in handles {
            let Some((sends, _)) = self.left.get_mut(handle) else {
                continue;
            };
            *sends = sends.saturating_sub(1);
            if *sends == 0 {
                self.left.remove(handle);
            } else {
                self.order.push_back(*handle);
            }
        }
    }

    /// Drops the subjects that waited longest while more than `most` wait. Reports whether any was dropped.
    pub fn drop_oldest_beyond(&mut self, most: usize) -> bool {
        let mut dropped = false;
        while self.order.len() > most {
            if let Some(handle) = self.order.pop_front() {
                self.left.remove(&handle);
                dropped = true;
            }
        }
        dropped
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Subjects that wait.
    pub fn len(&self) -> usize {
        self.order.len()
    }
}
