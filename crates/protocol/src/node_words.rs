//! The datagrams between nodes, in format 1.
//!
//! A datagram is the bincode of one [`Datagram`]; its first byte is the number of the variant. Builds that run side by side
//! during an upgrade have no other words for each other, so none of these types may change: what a later format says
//! begins with a byte that is no number of a variant here, and is sent to those only that understand it.

use bincode::config::{Configuration, standard};
use serde::{Deserialize, Serialize};
use shelfjunction_core::identity::NodeId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::metering::UnixTime;
use shelfjunction_core::metering::counter::UsageWord;
use shelfjunction_core::placing::question::{PlacementAnswer, PlacementQuery, ProgressReport};
use shelfjunction_core::quarantine::report::{SuspectReport, TrialReport};
use shelfjunction_core::retry::census::SharingWord;
use shelfjunction_core::routing::pool::{
    EngineStage, ListUpdate, PaceReports, PeerLoad, PeerLoadSlice, PrefixUpdate, UnansweredRequestReport,
};
use shelfjunction_core::sharing::UseWord;
use shelfjunction_core::watching::TableWord;

/// Longest datagram, in bytes; stays below the smallest usual frame.
pub const MOST_BYTES: usize = 1_400;

/// Longest datagram that is taken, in bytes: a question about a prompt of many parts is longer than the rest.
pub const MOST_RECEIVED: usize = 16 * 1_024;

/// Engines in one message; each takes about 20 bytes.
pub const MOST_ENGINES: usize = 32;

/// Changes of the list of engines in one message about work; each takes about 100 bytes.
pub const MOST_CHANGES: usize = 6;

/// The same in a message that says nothing of work.
pub const MOST_CHANGES_ALONE: usize = 11;

/// News in one message; each takes about 30 bytes, seldom 200.
pub const MOST_NEWS: usize = 8;

/// Silent engines in one message; each takes about 20 bytes. Three are enough for a path to be suspected.
pub const MOST_SILENCES: usize = 8;

/// Momentary figures of engines in one message; each takes about 15 bytes.
pub const MOST_FIGURES: usize = 8;

/// Lasting speeds of engines in one message; each takes about 13 bytes.
pub const MOST_LASTING: usize = 4;

/// Requests under which engines crashed in one message; each takes about 80 bytes.
pub const MOST_SUSPECTS: usize = 12;

/// A node's word of its work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkMessage {
    /// The sender.
    pub node: NodeId,
    /// Start of the sender's process; a later start has a higher number as far as clocks allow.
    pub start: u64,
    /// Number of the message since that start.
    pub number: u64,
    /// Nodes that the sender itself has listed or heard, itself included.
    pub nodes: u32,
    /// What the sender tells of the budgets for repeats.
    pub sharing: SharingWord,
    /// Whether the sender holds itself for a placer.
    pub places: bool,
    /// Thousandths of a processor core that the sender may use.
    pub processor_thousandths: u32,
    /// Whether the store answers the sender.
    pub store_answers: bool,
    /// Whether the sender holds the lease over orders and duties.
    pub holds_lease: bool,
    /// The sender's time of day.
    pub unix: UnixTime,
    /// The configuration that the sender has.
    pub config: TableWord,
    /// The list of engines that the sender has, by the store's version at its last change.
    pub list: TableWord,
    /// Version of the operators' cordons that the sender has.
    pub cordons: u64,
    /// Changes of that list that the store has just told the sender.
    pub list_news: ListUpdate,
    /// Engines that `work` is about.
    pub slice: PeerLoadSlice,
    /// Work at engines; none where an engine of the slice is not named.
    pub work: Vec<(SubjectHandle, PeerLoad)>,
    /// Prompt tokens that the sender's requests had to have read in a second.
    pub prompt_tokens_per_second: u32,
    /// Engines that have been ordered to change their stage.
    pub orders: Vec<(SubjectHandle, EngineStage)>,
    /// Shared prefixes that engines have come to hold since the last message.
    pub news: Vec<PrefixUpdate>,
    /// Engines that fell silent towards nodes that the sender chooses for, since the last message.
    pub silences: Vec<UnansweredRequestReport>,
    /// Paces of engines.
    pub paces: PaceReports,
}

/// Asks a placer whether an engine has answered anybody a moment ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessQuestion {
    /// Number that the sender has drawn for the question.
    pub number: u64,
    /// The engine.
    pub engine: SubjectHandle,
}

/// A placer's answer to a [`LivenessQuestion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessAnswer {
    /// Number of the question.
    pub number: u64,
    /// Whether the engine answers.
    pub answers: bool,
}

/// A node's counts of one window, or some of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageMessage {
    /// The sender.
    pub node: NodeId,
    /// Start of the sender's process.
    pub start: u64,
    /// The counts.
    pub word: UsageWord,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A node's word of its work.
    Work(Box<WorkMessage>),
    /// Asks a placer about a request.
    Question(Box<PlacementQuery>),
    /// A placer's answer.
    Answer(Box<PlacementAnswer>),
    /// Tells a placer what became of a request.
    Progress(ProgressReport),
    /// Asks a placer about an engine.
    LivenessQuestion(LivenessQuestion),
    /// A placer's answer to that.
    LivenessAnswer(LivenessAnswer),
    /// What a node has counted for tenants.
    Usage(Box<UsageMessage>),
    /// Requests under which engines crashed.
    Suspects(Vec<SuspectReport>),
    /// A suspect begins to run, or has ended.
    Trial(Box<TrialReport>),
    /// What a node admitted for tenants and kinds.
    Use(Box<UseWord>),
}

const CODEC: Configuration = standard();

impl Datagram {
    /// The bytes; a word without changes of the list where it would be too long with them, since whoever misses them
    /// asks the store, and without paces where that isn't enough, since they are told again.
    pub fn encode(mut self) -> Option<Vec<u8>> {
        let bytes = bincode::serde::encode_to_vec(&self, CODEC).ok()?;
        match &mut self {
            Self::Work(message) if bytes.len() > MOST_BYTES && !message.list_news.changes.is_empty() => {
                message.list_news = ListUpdate::default();
                self.encode()
            }
            Self::Work(message) if bytes.len() > MOST_BYTES && !message.paces.is_empty() => {
                message.paces = PaceReports::default();
                bincode::serde::encode_to_vec(&self, CODEC).ok()
            }
            _ => Some(bytes),
        }
    }

    /// Reads a datagram; absent when it is none of these.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (datagram, used) = bincode::serde::decode_from_slice(bytes, CODEC).ok()?;
        (used == bytes.len()).then_some(datagram)
    }
}
