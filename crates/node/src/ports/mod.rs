//! What the process needs from an adapter that speaks to callers, engines and the platform's store.

mod duties;
mod engines;

pub use duties::{DutyAnswer, DutyHolder, MIN_DUTY_TIME, PlatformDuties};
pub use engines::{
    AnswerHead, CallStage, EngineCall, EngineLink, EngineProtocol, EngineReading, EngineReport, EngineStream,
    HeldPart, MIN_ORDER_TIME, OrderVerdict, StageOrder,
};

use shelfjunction_buffers::{BufferAccount, HeldBytes};
use shelfjunction_core::forwarding::{CallerLimits, ForwardingConfig};
use shelfjunction_core::identity::{NodeId, RequestId, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::placer_set::Candidate;
use shelfjunction_core::routing::pool::{ListChange, PromptShape};
use shelfjunction_core::table::PlatformError;
use shelfjunction_core::tenancy::ApiKey;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::BorrowedFd;
use std::sync::Arc;
use std::time::Duration;

/// One header that is passed on as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderLine {
    /// Name as it was written.
    pub name: String,
    /// Value.
    pub value: Vec<u8>,
}

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The caller's name for it.
    pub request: RequestId,
    /// The caller's API key; stands in no other field.
    pub key: Option<ApiKey>,
    /// Method.
    pub method: String,
    /// Path with its query, as the caller wrote it.
    pub target: String,
    /// Host that the caller names.
    pub host: String,
    /// Headers that are passed on; none that belongs to a connection or is the system's to set.
    pub headers: Vec<HeaderLine>,
    /// Body, whole.
    pub body: HeldBytes,
    /// Time that the caller will wait, counted from its arrival.
    pub time_left: Option<Duration>,
    /// Declared prompt.
    pub prompt: Option<PromptShape>,
    /// Last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
    /// The request whose answer brought the first event that the caller has; absent where it names none, or several.
    pub resumes: Option<RequestId>,
    /// Whether the caller keeps the connection.
    pub keep_alive: bool,
}

impl Call {
    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
}

/// Why no call could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller closed, or rested too long between two calls.
    Closed,
    /// The caller broke a limit or the protocol; the adapter has told it so.
    Refused(&'static str),
}

/// The caller can't be written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// What the system says of a request in its own words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnAnswer {
    /// It has not run and never will; come back after the given time.
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
    /// Its tenant is over its rate; like [`Self::NotRun`].
    OverRate {
        /// When to come back.
        retry_after: Duration,
    },
    /// No tenant has its key; it has not run.
    NoAccess,
    /// No route takes it.
    NoRoute,
    /// It is malformed.
    Malformed,
    /// It may have run and there is no whole answer.
    Unknown,
    /// Like [`Self::Unknown`], because its time is over.
    TimeOver,
}

/// One caller's connection.
pub trait CallerConnection: Send {
    /// Waits until the first byte of the next call has come.
    fn wait_for_call(&mut self, limits: &CallerLimits) -> Result<(), CallEnd>;

    /// Reads the call whose first byte has come.
    fn read_call(&mut self, limits: &CallerLimits) -> Result<Call, CallEnd>;

    /// Descriptor that becomes readable when the caller closes or sends more.
    fn descriptor(&self) -> BorrowedFd<'_>;

    /// Whether the caller has closed; asked when the descriptor is readable.
    fn is_gone(&mut self) -> bool;

    /// Bytes that were handed over here and that the caller's connection has not taken yet.
    fn undelivered(&self) -> usize;

    /// Hands on what the connection takes now, without waiting.
    fn deliver(&mut self) -> Result<(), CallerGone>;

    /// Hands over an engine's whole answer; like all that follow it doesn't wait for the caller to take it.
    fn answer(&mut self, head: &AnswerHead, body: &[u8], keep: bool) -> Result<(), CallerGone>;

    /// Says something in the system's own words.
    fn say(&mut self, request: &RequestId, answer: OwnAnswer, keep: bool) -> Result<(), CallerGone>;

    /// Begins a series of events with the head of its first engine.
    fn open_events(&mut self, head: &AnswerHead, keep: bool) -> Result<(), CallerGone>;

    /// Hands over one event.
    fn event(&mut self, bytes: &[u8]) -> Result<(), CallerGone>;

    /// Ends a series of events in order.
    fn end_events(&mut self) -> Result<(), CallerGone>;
}

/// Makes callers' connections out of accepted sockets.
pub trait CallerProtocol: Send + Sync {
    /// Takes over a socket, whose requests are received into the account.
    fn open(
        &self,
        stream: Arc<TcpStream>,
        account: &Arc<BufferAccount>,
    ) -> io::Result<Box<dyn CallerConnection>>;
}

/// Something that could not be read in the store; what was known before stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableRow {
    /// The row.
    pub row: String,
    /// Field and value at fault.
    pub fault: String,
}

/// One row of the list of engines that has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRow {
    /// Version of the store at which it changed.
    pub version: StoreVersion,
    /// The change; the engine's name and the fault where the row can't be read.
    pub change: Result<ListChange, UnreadableRow>,
}

/// Version of the store up to which changes were seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion(pub u64);

/// Changes since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes<T> {
    /// In order.
    pub changes: Vec<T>,
    /// Version up to which they reach.
    pub version: StoreVersion,
}

/// Why changes could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchError {
    /// The changes since that version are gone; everything must be read anew.
    HistoryGone,
    /// The store gave no answer that can be relied on.
    Failed(PlatformError),
}

/// A configuration as the store holds it.
pub type OfferedConfig = Result<ForwardingConfig, UnreadableRow>;

/// The platform's store, as far as it says what is to be forwarded where.
pub trait FleetStore: Send + Sync {
    /// The newest configuration; empty where there is none yet.
    fn configuration(&self) -> Result<Changes<OfferedConfig>, PlatformError>;

    /// Waits for a newer configuration than at `after`, at most so long.
    fn watch_configuration(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Changes<OfferedConfig>, WatchError>;

    /// Every engine that is listed.
    fn engines(&self) -> Result<Changes<EngineRow>, PlatformError>;

    /// Waits for changes of the list since `after`, at most so long.
    fn watch_engines(&self, after: StoreVersion, wait: Duration) -> Result<Changes<EngineRow>, WatchError>;
}

/// One node as it enters itself into the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Where it hears other nodes.
    pub address: SocketAddr,
    /// Thousandths of a processor core that it may use.
    pub processor_thousandths: u32,
    /// Its zone; absent in a deployment that is not regional, and where an earlier build entered the node.
    pub zone: Option<ZoneId>,
}

impl NodeEntry {
    /// The node as one that may place requests.
    pub fn candidate(&self) -> Candidate {
        Candidate {
            node: SubjectHandle::of_text("node", self.node.as_str()),
            processor_thousandths: self.processor_thousandths,
        }
    }
}

/// Some of the nodes that have entered themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodePage {
    /// The nodes, by name.
    pub entries: Vec<NodeEntry>,
    /// Whether more nodes follow.
    pub more: bool,
}

/// The platform's store, as far as it tells nodes of each other.
pub trait NodeDirectory: Send + Sync {
    /// Enters a node, in place of what it entered before.
    fn enter(&self, entry: &NodeEntry) -> Result<(), PlatformError>;

    /// Takes nodes off the list.
    fn remove(&self, nodes: &[NodeId]) -> Result<(), PlatformError>;

    /// Every node that has entered itself and was not taken off.
    fn nodes(&self) -> Result<Vec<NodeEntry>, PlatformError>;

    /// The first of them by name, at most so many, from a name on.
    fn nodes_from(&self, first: &str, most: u16) -> Result<NodePage, PlatformError>;
}
