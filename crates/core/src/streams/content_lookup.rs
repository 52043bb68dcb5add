//! A question to several nodes for the origin of a stream that its caller names by the content alone.
//!
//! Streams of other requests may have the same content and another origin, so one record is no proof: the record of the stream that is
//! meant may be missing. It counts only where one of the nodes that keep the records of this content has missed none for as long as a
//! stream may be taken up, in each region, since a stream is reported in the region in which it begins.

use super::FoundStream;
use std::collections::BTreeSet;
use std::time::Duration;

/// Streams of one content that a node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ContentStreams {
    /// None.
    #[default]
    None,
    /// One or more that may be continued at the same engines.
    OfOneOrigin(FoundStream),
    /// Several that may not.
    OfSeveral,
}

impl ContentStreams {
    fn with(self, other: Self) -> Self {
        match (self, other) {
            (Self::None, streams) | (streams, Self::None) => streams,
            (Self::OfOneOrigin(known), Self::OfOneOrigin(found))
                if known.record.is_equivalent(&found.record) =>
            {
                Self::OfOneOrigin(known)
            }
            _ => Self::OfSeveral,
        }
    }
}

/// Answer of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ContentAnswer {
    /// What it knows.
    pub streams: ContentStreams,
    /// Time for which no report can have been missed.
    pub complete_for: Duration,
}

/// Why a stream is not found by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotFound {
    /// No node knows a stream of the content.
    Unknown,
    /// Streams of the content began at several versions.
    Ambiguous,
    /// Records of the content may be missing.
    Incomplete,
}

/// Nodes to which every report of a region's streams of the content is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keepers<Node> {
    /// Those that are asked.
    pub others: BTreeSet<Node>,
    /// Whether the asking node is one of them.
    pub includes_own: bool,
}

/// Answers so far; `Node` identifies a node that was asked.
#[derive(Clone, Debug)]
pub struct ContentLookup<Node> {
    unanswered: BTreeSet<Node>,
    incomplete: Vec<Keepers<Node>>,
    lifetime: Duration,
    streams: ContentStreams,
}

impl<Node: Ord + Clone> ContentLookup<Node> {
    /// A question to the given nodes, with the keepers of each region; `lifetime` is the time for which a stream may be taken up after its
    /// first event.
    pub fn new(
        asked: impl IntoIterator<Item = Node>,
        keepers: Vec<Keepers<Node>>,
        lifetime: Duration,
    ) -> Self {
        Self {
            unanswered: asked.into_iter().collect(),
            incomplete: keepers,
            lifetime,
            streams: ContentStreams::None,
        }
    }

    /// Takes what the asking node itself knows.
    pub fn take_own(&mut self, answer: ContentAnswer) {
        self.take(answer, |keepers| keepers.includes_own);
    }

    /// Takes an answer; one of a node that was not asked, or has answered, has no effect.
    pub fn on_answer(&mut self, node: &Node, answer: ContentAnswer) {
        if self.unanswered.remove(node) {
            self.take(answer, |keepers| keepers.others.contains(node));
        }
    }

    fn take(&mut self, answer: ContentAnswer, is_of: impl Fn(&Keepers<Node>) -> bool) {
        if answer.complete_for >= self.lifetime {
            self.incomplete.retain(|keepers| !is_of(keepers));
        }
        self.streams = std::mem::take(&mut self.streams).with(answer.streams);
    }

    /// Whether no further answer can change the outcome.
    pub fn is_settled(&self) -> bool {
        self.unanswered.is_empty() || self.streams == ContentStreams::OfSeveral
    }

    /// Nodes that have not answered.
    pub fn unanswered(&self) -> impl Iterator<Item = &Node> {
        self.unanswered.iter()
    }

    /// The stream, if the answers prove which one it is.
    pub fn into_found(self) -> Result<FoundStream, NotFound> {
        match self.streams {
            ContentStreams::OfOneOrigin(found) if self.incomplete.is_empty() => Ok(found),
            ContentStreams::OfOneOrigin(_) => Err(NotFound::Incomplete),
            ContentStreams::OfSeveral => Err(NotFound::Ambiguous),
            ContentStreams::None => Err(NotFound::Unknown),
        }
    }
}
