//! Selection of the placers from the nodes that one node knows.

use crate::membership::rendezvous;
use crate::membership::subject::{SubjectHandle, mix};
use std::time::Duration;

/// Text that the rendezvous hash of a candidate's rank includes.
const RANK_HASH_INPUT: &str = "placing";

/// A node that may place requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Handle of the node.
    pub node: SubjectHandle,
    /// Thousandths of a processor core that the node may use; nodes with more rank higher.
    pub processor_thousandths: u32,
}

impl Candidate {
    /// Sort key; the greatest ranks first.
    fn rank(&self) -> (u32, u64, SubjectHandle) {
        let weight = rendezvous::weight(SubjectHandle::of_text("task", RANK_HASH_INPUT), self.node);
        (self.processor_thousandths, weight, self.node)
    }
}

/// What a node knows about another candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateStatus {
    /// It has recently reported that it places requests.
    Active,
    /// It is in the list of nodes and is not known to be unresponsive.
    Listed,
    /// It placed requests and no longer sends reports.
    Unresponsive,
}

/// Time that each higher-ranking candidate has to fill a vacancy and report it. Nodes check for vacancies several times a
/// second.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(400);

/// Number of candidates that may become placers, for each placer. Only these candidates fetch the whole list of nodes, which
/// they need to determine their rank.
const CANDIDATES_PER_PLACER: usize = 3;

/// Number of placers that send frequent updates to each node. With two, a node still receives updates after the loss of one.
const PRIMARY_CONTACTS_PER_NODE: usize = 2;

/// Whether a node may become a placer, judged from the part `known` of the list of nodes. If so, it must fetch the whole list.
/// A node never ranks lower in a part of the list than in the whole list.
pub fn may_become_placer(own: Candidate, known: &[Candidate], placer_count: usize) -> bool {
    let own = own.rank();
    let ranked_before = known.iter().filter(|other| other.rank() > own).count();
    ranked_before < placer_count * CANDIDATES_PER_PLACER
}

/// Why a node places requests, or does not. Its name stands in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacingReason {
    /// It places because of its rank.
    Ranks,
    /// It places because a vacancy was not filled by those before it.
    TakesOver,
    /// It does not place because enough active placers rank above it.
    Outranked,
    /// It does not place because it leaves a vacancy to those before it for a while.
    Waits,
    /// It does not place because it has not read the whole list of nodes.
    ListNotRead,
    /// It does not place because it is no candidate and hears nodes of its region.
    NoCandidate,
}

impl PlacingReason {
    /// Whether the node places requests.
    pub fn places(self) -> bool {
        matches!(self, Self::Ranks | Self::TakesOver)
    }

    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ranks => "ranks",
            Self::TakesOver => "takes_over",
            Self::Outranked => "outranked",
            Self::Waits => "waits",
            Self::ListNotRead => "list_not_read",
            Self::NoCandidate => "no_candidate",
        }
    }
}

/// Whether a node that knows all other candidates should place requests, and why.
///
/// It should if fewer than `placer_count` active placers rank above it and there is either no vacancy or it is next in rank. A
/// lower-ranking node fills a vacancy only after one takeover interval for each candidate before it. Otherwise all n nodes
/// would react to the loss of one placer and send n squared messages.
pub fn placing_reason(
    own: Candidate,
    others: impl Iterator<Item = (Candidate, CandidateStatus)>,
    placer_count: usize,
    vacancy_age: Duration,
) -> PlacingReason {
    let own = own.rank();
    let (mut active, mut active_before, mut listed_before) = (0, 0, 0);
    for (other, status) in others {
        let ranks_before = usize::from(other.rank() > own);
        match status {
            CandidateStatus::Active => {
                active += 1;
                active_before += ranks_before;
            }
            CandidateStatus::Listed => listed_before += ranks_before,
            CandidateStatus::Unresponsive => {}
        }
    }
    let vacant = placer_count.saturating_sub(active);
    let elapsed_intervals = (vacancy_age.as_millis() / TAKEOVER_INTERVAL.as_millis()) as usize;
    if active_before >= placer_count {
        PlacingReason::Outranked
    } else if vacant == 0 || listed_before < vacant {
        PlacingReason::Ranks
    } else if listed_before < vacant + elapsed_intervals {
        PlacingReason::TakesOver
    } else {
        PlacingReason::Waits
    }
}

/// Whether a node that knows all other candidates should place requests, from [`placing_reason`].
pub fn should_place(
    own: Candidate,
    others: impl Iterator<Item = (Candidate, CandidateStatus)>,
    placer_count: usize,
    vacancy_age: Duration,
) -> bool {
    placing_reason(own, others, placer_count, vacancy_age).places()
}

/// The nodes that place requests. Their order has no meaning.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacerSet {
    placers: Vec<SubjectHandle>,
}

impl PlacerSet {
    /// Selects the `count` highest-ranking live candidates: by processor capacity, then by rendezvous hashing.
    pub fn select(alive: &[Candidate], count: usize) -> Self {
        let mut ranked: Vec<_> = alive.iter().map(Candidate::rank).collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked.truncate(count);
        Self {
            placers: ranked.into_iter().map(|(_, _, node)| node).collect(),
        }
    }

    /// Handles of the placers, in no particular order.
    pub fn placers(&self) -> &[SubjectHandle] {
        &self.placers
    }

    /// Selects the candidates for `placer_count` placers and their standbys.
    pub fn with_standbys(alive: &[Candidate], placer_count: usize) -> Self {
        Self::select(alive, placer_count * CANDIDATES_PER_PLACER)
    }

    /// Whether `placer` sends frequent updates to `node`.
    pub fn is_primary_contact(&self, placer: SubjectHandle, node: SubjectHandle) -> bool {
        let contacts = self.placers_for(mix(node.number()), |_| false, PRIMARY_CONTACTS_PER_NODE);
        contacts.contains(&placer)
    }

    /// Whether a node is in the set.
    pub fn includes(&self, node: SubjectHandle) -> bool {
        self.placers.contains(&node)
    }

    /// Up to `count` placers responsible for a subject, first choice first, without those for which `is_excluded` returns
    /// true.
    pub fn placers_for(
        &self,
        subject: u64,
        is_excluded: impl Fn(SubjectHandle) -> bool,
        count: usize,
    ) -> Vec<SubjectHandle> {
        let eligible: Vec<SubjectHandle> = self
            .placers
            .iter()
            .copied()
            .filter(|placer| !is_excluded(*placer))
            .collect();
        rendezvous::choose(SubjectHandle::of_number(subject), &eligible, count)
    }
}
