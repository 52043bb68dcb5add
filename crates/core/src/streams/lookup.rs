//! A question to several nodes for the origin of a stream.

use super::StreamRecord;
use std::collections::BTreeSet;
use std::time::Duration;

/// An answer that names a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundStream {
    /// The record.
    pub record: StreamRecord,
    /// Time since the stream began, as the node that answered knows it.
    pub age: Duration,
}

/// Answers so far; `Node` identifies a node that was asked.
#[derive(Clone, Debug)]
pub struct OriginLookup<Node> {
    unanswered: BTreeSet<Node>,
    found: Option<FoundStream>,
    is_ambiguous: bool,
}

impl<Node: Ord + Clone> OriginLookup<Node> {
    /// A question to the given nodes.
    pub fn new(asked: impl IntoIterator<Item = Node>) -> Self {
        Self {
            unanswered: asked.into_iter().collect(),
            found: None,
            is_ambiguous: false,
        }
    }

    /// Takes an answer; one of a node that was not asked, or has answered, has no effect.
    pub fn on_answer(&mut self, node: &Node, answer: Option<FoundStream>) {
        if !self.unanswered.remove(node) {
            return;
        }
        match (&self.found, answer) {
            (Some(known), Some(found)) => self.is_ambiguous |= known.record != found.record,
            (None, found) => self.found = found,
            (Some(_), None) => {}
        }
    }

    /// Whether no further answer is needed: one names a record, or all nodes have answered.
    pub fn is_settled(&self) -> bool {
        self.found.is_some() || self.unanswered.is_empty()
    }

    /// Nodes that have not answered.
    pub fn unanswered(&self) -> impl Iterator<Item = &Node> {
        self.unanswered.iter()
    }

    /// The record; absent if no answer names one, or two name different ones.
    pub fn into_found(self) -> Option<FoundStream> {
        self.found.filter(|_| !self.is_ambiguous)
    }
}
