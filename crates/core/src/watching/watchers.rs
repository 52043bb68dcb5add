//! Which nodes watch a table, agreed without messages from the same view of the nodes.

use crate::membership::rendezvous;
use crate::membership::subject::SubjectHandle;

/// Whether a node is one of the `count` watchers of a table among the nodes that the store answers.
///
/// `others` are those that were heard lately and have the store's answer; `own_contact` tells whether this node has.
/// Where nobody has, nobody is a watcher, and each asks when it is no longer fresh.
pub fn is_watcher(
    table: &str,
    own: SubjectHandle,
    own_contact: bool,
    others: &[SubjectHandle],
    count: usize,
) -> bool {
    let task = SubjectHandle::of_text("watch", table);
    own_contact && rendezvous::rank(task, own, others, count).is_some()
}
