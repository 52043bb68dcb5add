//! Who the placers are, as one node sees it.

use crate::membership::rendezvous;
use crate::membership::subject::{SubjectHandle, mix};
use std::time::Duration;

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

impl Candidate {
    /// Where the node ranks; the greatest comes first.
    fn rank(&self) -> (u32, u64, SubjectHandle) {
        let weight = rendezvous::weight(SubjectHandle::of_text("task", TASK), self.node);
        (self.processor_thousandths, weight, self.node)
    }
}

/// What is known of another node that may place requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateStatus {
    /// It said a short time ago that it places.
    Active,
    /// It is listed, and nothing speaks against it.
    Listed,
    /// It placed and has fallen silent.
    Unresponsive,
}

/// Time that each node which comes before gets to take a vacant place and to be heard: it looks several times a second and
/// tells everybody at once.
const TURN: Duration = Duration::from_millis(400);

/// Nodes that come first for places, as a multiple of the places: they know every other node, so that they can tell whose
/// turn it is. The others leave the places to them.
const IN_LINE: usize = 3;

/// Placers that tell a node often; two, so that the loss of one goes unnoticed until another takes its place.
const NEAR_PLACERS: usize = 2;

/// Whether a node that has read only some of the list is one of those that have to know all of it: it may be among the
/// first `places` or take over from them. Whoever is among the first of all is among the first of any part.
pub fn may_become_placer(own: Candidate, some: &[Candidate], places: usize) -> bool {
    let own = own.rank();
    let before = some.iter().filter(|other| other.rank() > own).count();
    before < places * IN_LINE
}

/// Whether a node that knows all others places requests itself.
///
/// It does where it ranks among the first of those that place. A place that is vacant goes to the node that comes next,
/// and only after a turn for each to the ones behind it: were the loss of one a reason for all to step in, each of n nodes
/// would tell all others so, n squared messages at once.
pub fn should_place(
    own: Candidate,
    others: impl Iterator<Item = (Candidate, CandidateStatus)>,
    places: usize,
    vacant_for: Duration,
) -> bool {
    let own = own.rank();
    let (mut placing, mut placing_before, mut waiting_before) = (0, 0, 0);
    for (other, presence) in others {
        let comes_before = usize::from(other.rank() > own);
        match presence {
            CandidateStatus::Active => {
                placing += 1;
                placing_before += comes_before;
            }
            CandidateStatus::Listed => waiting_before += comes_before,
            CandidateStatus::Unresponsive => {}
        }
    }
    let vacant = places.saturating_sub(placing);
    let turns = (vacant_for.as_millis() / TURN.as_millis()) as usize;
    placing_before < places && (vacant == 0 || waiting_before < vacant + turns)
}

/// The placers, in no order that matters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacerSet {
    placers: Vec<SubjectHandle>,
}

impl PlacerSet {
    /// The `count` first of the candidates that are alive: by processor, then by rendezvous hashing.
    pub fn select(alive: &[Candidate], count: usize) -> Self {
        let mut ranked: Vec<_> = alive.iter().map(Candidate::rank).collect();
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

    /// The nodes that come first for so many places, and those that take over from them.
    pub fn with_standbys(alive: &[Candidate], places: usize) -> Self {
        Self::select(alive, places * IN_LINE)
    }

    /// Whether a placer is one of the few that tell a node often.
    pub fn is_primary_contact(&self, placer: SubjectHandle, node: SubjectHandle) -> bool {
        let near = self.placers_for(mix(node.number()), |_| false, NEAR_PLACERS);
        near.contains(&placer)
    }

    /// Whether a node is one of them.
    pub fn includes(&self, node: SubjectHandle) -> bool {
        self.placers.contains(&node)
    }

    /// The placers of what a number names, first choice first; without those that `passed_over` names.
    pub fn placers_for(
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
