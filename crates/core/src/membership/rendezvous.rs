//! Rendezvous hashing: who does a task, agreed without messages from the same view of the members.

use super::subject::{SubjectHandle, mix};

/// Controllers that watch one engine.
pub const WATCHERS_PER_ENGINE: usize = 2;

/// Nodes that probe one node; two must miss it before it counts as dead.
pub const WATCHERS_PER_NODE: usize = 3;

/// Weight of a candidate for a task; the highest does it.
pub fn weight(task: SubjectHandle, candidate: SubjectHandle) -> u64 {
    mix(mix(task.number()) ^ candidate.number())
}

/// The `count` candidates with the highest weights, highest first; fewer when there are fewer.
///
/// A candidate that comes or goes moves only the tasks that it gains or had.
pub fn choose(task: SubjectHandle, candidates: &[SubjectHandle], count: usize) -> Vec<SubjectHandle> {
    let mut weighed: Vec<(u64, SubjectHandle)> = candidates
        .iter()
        .map(|candidate| (weight(task, *candidate), *candidate))
        .collect();
    weighed.sort_unstable_by(|left, right| right.cmp(left));
    weighed.truncate(count);
    weighed.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Position of a candidate among the `count` that do a task; absent when it does not.
pub fn rank(
    task: SubjectHandle,
    candidate: SubjectHandle,
    candidates: &[SubjectHandle],
    count: usize,
) -> Option<usize> {
    let own = (weight(task, candidate), candidate);
    let above = candidates
        .iter()
        .filter(|other| (weight(task, **other), **other) > own)
        .take(count)
        .count();
    (above < count).then_some(above)
}
