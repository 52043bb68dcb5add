//! What the process needs from an adapter that speaks to engines.

use super::{Call, HeaderLine};
use shelfjunction_core::engine::{EngineRefusal, KvTransfer};
use shelfjunction_core::engine_signals::EngineSignals;
use shelfjunction_core::identity::{EngineId, EngineStart, FencingToken, NodeId, TenantId};
use shelfjunction_core::routing::pool::{EngineStage, PromptPart, ReportedLoad};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::time::Duration;

/// Head of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<HeaderLine>,
    /// Load that the engine told.
    pub told: Option<ReportedLoad>,
}

/// Which part of a request an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStage {
    /// All of it.
    Whole,
    /// Read the prompt and keep its KV cache for another engine.
    Prompt,
    /// Run the output on a KV cache that another engine holds.
    Output(KvTransfer),
}

/// One request as it goes to an engine.
#[derive(Clone, Debug)]
pub struct EngineCall<'a> {
    /// The caller's request.
    pub call: &'a Call,
    /// The engine that is meant.
    pub engine: &'a EngineId,
    /// The tenant whose request it is.
    pub tenant: Option<&'a TenantId>,
    /// Part to do.
    pub stage: CallStage,
    /// Engine from which the prompt's held part is fetched first.
    pub fetch_from: Option<SocketAddr>,
    /// Time left.
    pub time_left: Duration,
    /// Rank among the engine's requests; zero goes first.
    pub urgency: u8,
    /// Event behind which the answer goes on.
    pub last_event: Option<u64>,
    /// Whether a series of events is expected.
    pub events: bool,
}

/// An order to change an engine's stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// The engine.
    pub engine: EngineId,
    /// Stage to take.
    pub stage: EngineStage,
    /// The machine that orders.
    pub holder: NodeId,
    /// Its authority.
    pub token: FencingToken,
    /// Orders that the engine has taken; another number means that this order is out of date.
    pub expected: u64,
}

/// Least time for which the authority of an order is still valid when the order is sent; one that is not acknowledged until then is
/// aborted, so that none arrives behind an order of the holder's successor.
pub const MIN_ORDER_TIME: Duration = Duration::from_millis(1_000);

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderVerdict {
    /// It is being carried out.
    Begun,
    /// It holds already.
    AlreadySo,
    /// Another order is under way, or the expected number does not match; nothing was done.
    OutOfDate,
    /// A higher token was seen; nothing was done.
    Fenced,
    /// The engine can't carry it out; nothing was done.
    Rejected,
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Its stage.
    pub stage: EngineStage,
    /// Whether an order is being carried out.
    pub changing: bool,
    /// Orders that it has taken since its start.
    pub sequence: u64,
    /// Its start; zero where it does not say.
    pub start: EngineStart,
}

/// A prompt part that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldPart {
    /// Model that read it.
    pub model: String,
    /// The part.
    pub part: PromptPart,
}

/// What an engine's connection has to say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineReading {
    /// More bytes are needed.
    Pending,
    /// Many bytes were taken and more may be there: to be read again without a wait, once the times that end the call have been
    /// looked at.
    ReadAgain,
    /// The engine took the request; an answer follows.
    Opened(AnswerHead),
    /// One event, whole.
    Event {
        /// Its identifier.
        id: u64,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The series of events ended in order.
    Ended,
    /// The whole answer; `success` tells whether it reports one.
    Whole {
        /// Body.
        body: Vec<u8>,
        /// Whether it reports success.
        success: bool,
    },
    /// The prompt was read.
    PromptRead {
        /// Name of the KV cache at that engine.
        handle: String,
        /// Load that it told.
        told: Option<ReportedLoad>,
    },
    /// The engine's report of itself.
    Report(EngineReport),
    /// Whether the start of an engine that was asked for is the one that answers.
    Identity {
        /// True only where it says so.
        is_same: bool,
    },
    /// The engine's answer to an order.
    Ordered(OrderVerdict),
    /// Prompt parts that the engine holds.
    Held(Vec<HeldPart>),
    /// The engine refused before running anything.
    Refused {
        /// Its words.
        refusal: EngineRefusal,
        /// Load that it told.
        told: Option<ReportedLoad>,
    },
    /// The connection or the answer broke.
    Broken(&'static str),
}

/// One connection to an engine; carries one request at a time.
pub trait EngineLink: Send {
    /// Descriptor to wait on.
    fn descriptor(&self) -> BorrowedFd<'_>;

    /// Begins a request; bytes leave with [`Self::push`].
    fn begin(&mut self, call: &EngineCall<'_>);

    /// Begins to free a KV cache.
    fn begin_release(&mut self, handle: &str);

    /// Begins to ask which prompt parts the engine holds.
    fn begin_list(&mut self);

    /// Begins to ask for the engine's own report.
    fn begin_report(&mut self);

    /// Begins to ask whether the given start of an engine answers here, which takes no place there.
    fn begin_identity_check(&mut self, engine: &EngineId);

    /// Begins to order the engine to change its stage.
    fn begin_order(&mut self, order: &StageOrder);

    /// Writes what the socket takes; true when everything has left.
    fn push(&mut self) -> io::Result<bool>;

    /// Reads what there is, without waiting; returns after a bounded number of bytes, however many come.
    fn read(&mut self) -> EngineReading;

    /// Bytes of memory that the present answer takes here, as far as it was read.
    fn answer_bytes(&self) -> usize;

    /// Whether only the end of the connection told that the last answer was at its end.
    fn ended_by_close(&self) -> bool;

    /// What the heads of answers said of the engine since the last call; absent where none came.
    fn take_signals(&mut self) -> Option<EngineSignals>;

    /// Time for which the connection may rest before the next request; absent where it can't be used again.
    fn rest(&self) -> Option<Duration>;

    /// Whether the resting connection is open and nothing came on it.
    fn is_quiet(&mut self) -> bool;
}

/// Bytes to and from an engine, over a connection of its own or through another node.
pub trait EngineStream: Read + Write + AsFd + Send {}

impl<Stream: Read + Write + AsFd + Send> EngineStream for Stream {}

/// Makes connections to engines.
pub trait EngineProtocol: Send + Sync {
    /// Connects, waiting no longer than the given time; reads and writes of the connection do not wait.
    fn connect(&self, address: SocketAddr, wait: Duration) -> io::Result<TcpStream>;

    /// Takes over a connection on which nothing was sent yet, and whose reads and writes do not wait.
    fn open(&self, stream: Box<dyn EngineStream>) -> io::Result<Box<dyn EngineLink>>;
}
