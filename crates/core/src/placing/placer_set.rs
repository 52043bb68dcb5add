//! Who the placers are, as one node sees it.

use crate::membership::rendezvous;
use crate::membership::subject::SubjectHandle;

/// What the placers are chosen for.
const TASK: &str = "placing";

/// A node that may place requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: SubjectHandle,
    /// Thousandths of a processor core that it may use; nodes with more come first.
    pub processor_thousandths: u32,
}

/// The placers, in no order that matters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacerSet {
    placers: Vec<SubjectHandle>,
}

impl PlacerSet {
    /// The `count` first of the candidates that are alive: by processor, then by rendezvous hashing.
    pub fn of(alive: &[Candidate], count: usize) -> Self {
        let task = SubjectHandle::of_text("task", TASK);
        let mut ranked: Vec<_> = alive
            .iter()
            .map(|candidate| {
                let weight = rendezvous::weight(task, candidate.node);
                (candidate.processor_thousandths, weight, candidate.node)
            })
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked.truncate(count);
        Self {
            placers: ranked.into_iter().map(|(_, _, node)| node).collect(),
        }
    }

    /// The placers.
    pub fn placers(&self) -> &[SubjectHandle] {
        &self.placers
    }

    /// Whether a node is one of them.
    pub fn includes(&self, node: SubjectHandle) -> bool {
        self.placers.contains(&node)
    }

    /// The placers of what a number names, first choice first; without those that `passed_over` names.
    pub fn placers_of(
        &self,
        subject: u64,
        passed_over: impl Fn(SubjectHandle) -> bool,
        count: usize,
    ) -> Vec<SubjectHandle> {
        let left: Vec<SubjectHandle> = self
            .placers
            .iter()
            .copied()
            .filter(|placer| !passed_over(*placer))
            .collect();
        rendezvous::choose(SubjectHandle::of_number(subject), &left, count)
    }
}
