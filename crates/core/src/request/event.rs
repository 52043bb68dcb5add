//! What happens to a request, and what its machine asks for.

use super::specification::{Placement, Target};
use crate::engine::{AnswerPart, EngineCall, EngineRefusal, KvTransfer, RunState};
use crate::identity::{AttemptId, EngineId};
use crate::ledger::release::Release;
use crate::ledger::row::{ClaimRow, StoredClaim};
use crate::outcome::{Outcome, Refusal};
use crate::table::{PlatformError, RowKey, RowVersion};
use crate::time::MonotonicTime;
use std::time::Duration;

/// A piece of an opaque answer; its bytes stay with the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpaquePart {
    /// One event of a series.
    Event {
        /// Its identifier; identifiers rise within a series.
        id: u64,
    },
    /// The series of events has ended in order.
    Ended,
    /// A whole answer that reports success.
    Whole,
    /// A whole answer that reports a failure; the engine ran the request.
    Failure,
}

/// What only opaque requests ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardAction {
    /// Choose an engine for the output alone, whose KV cache is held at `source`; answered like [`Action::Choose`].
    ChooseOutput {
        /// Engine that holds the KV cache.
        source: EngineId,
        /// Engines that failed this request before.
        excluded: Vec<EngineId>,
    },
    /// Hand a piece of the answer to the caller.
    Deliver(OpaquePart),
    /// Nobody will fetch this KV cache any more; best effort.
    FreeTransfer {
        /// Start of the engine that holds it.
        source: EngineId,
        /// The KV cache.
        transfer: KvTransfer,
    },
}

/// Something that happened to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request was admitted and is to begin.
    Admitted,
    /// The request is refused before it began.
    NotAdmitted(Refusal),
    /// Answer to [`Action::Choose`]: an engine, or two, that may serve the request.
    Placed(Placement),
    /// Answer to [`Action::Choose`]: no engine may serve the request now.
    Nowhere(Refusal),
    /// Answer to [`ForwardAction::ChooseOutput`]: the engine that held the KV cache has ended, or started again.
    TransferLost,
    /// Answer to [`Action::Claim`]: the row is written.
    ClaimCommitted {
        /// Version of the row.
        version: RowVersion,
    },
    /// Answer to [`Action::Claim`] or [`Action::LookUpClaim`]: this row is there, which may have been released.
    ClaimExists(StoredClaim),
    /// Answer to [`Action::LookUpClaim`]: no claim holds the key.
    ClaimAbsent,
    /// Answer to [`Action::Claim`] or [`Action::LookUpClaim`]: the claim could not be written or read, or nobody can
    /// tell whether it was written.
    ClaimFailed(PlatformError),
    /// Answer to [`Action::Dispatch`]: the send was not begun because its time had passed.
    DispatchTooLate {
        /// The dispatch.
        attempt: AttemptId,
    },
    /// Answer to [`Action::Dispatch`]: the send was not begun, since too many engines crashed under the same request.
    DispatchWithheld {
        /// The dispatch.
        attempt: AttemptId,
        /// When to come back.
        retry_after: Duration,
    },
    /// Answer to [`Action::Dispatch`] or [`Action::Resume`]: the engine took it and parts follow.
    Opened {
        /// The dispatch.
        attempt: AttemptId,
    },
    /// Answer to [`Action::Dispatch`] or [`Action::Resume`]: the engine refused before running anything.
    Refused {
        /// The dispatch.
        attempt: AttemptId,
        /// The engine's words.
        refusal: EngineRefusal,
    },
    /// Answer to [`Action::Dispatch`] or [`Action::Resume`]: no byte of the call left.
    NotSent {
        /// The dispatch.
        attempt: AttemptId,
    },
    /// Answer to [`Action::Dispatch`] or [`Action::Resume`]: sent, and no answer came.
    Ambiguous {
        /// The dispatch.
        attempt: AttemptId,
    },
    /// A part of an open stream.
    Part {
        /// The dispatch whose stream carried it.
        attempt: AttemptId,
        /// The part.
        part: AnswerPart,
    },
    /// A piece of an open opaque answer.
    Forwarded {
        /// The dispatch whose answer it belongs to.
        attempt: AttemptId,
        /// The piece.
        part: OpaquePart,
    },
    /// An open stream ended, in order or not, or held something that could not be understood.
    Disconnected {
        /// The dispatch whose stream it was.
        attempt: AttemptId,
    },
    /// Answer to [`Action::AskRunState`].
    RunStateKnown {
        /// The engine that was asked.
        engine: EngineId,
        /// What it knows.
        state: RunState,
    },
    /// Answer to [`Action::AskRunState`]: the engine could not be asked.
    RunStateUnavailable {
        /// The engine that was to be asked.
        engine: EngineId,
    },
    /// Answer to [`Action::AskRetry`].
    RetryGranted {
        /// Earliest instant of the next try.
        not_before: MonotonicTime,
    },
    /// Answer to [`Action::AskRetry`]: the retry budget is spent.
    RetryDenied,
    /// The deadline has come.
    DeadlineReached,
    /// The node stops, and only the time for an answer is left.
    NodeStopping,
    /// The caller asked to cancel.
    CallerCancelled,
    /// The caller's connection is gone.
    CallerGone,
}

/// Something that the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose engines, not before the given instant.
    Choose {
        /// Earliest instant.
        not_before: MonotonicTime,
        /// Engines that failed this request before.
        excluded: Vec<EngineId>,
        /// Whether only a placement on one engine will do; after `Nowhere` any placement is asked for.
        whole_only: bool,
    },
    /// Write a claim in one transaction that checks the row's version.
    Claim {
        /// The row.
        key: RowKey,
        /// Its content.
        row: Box<ClaimRow>,
        /// Version it must have; absent: it must not exist.
        expected: Option<RowVersion>,
    },
    /// Look at the claim of the request's key, as [`ClaimWrite::look_up`](crate::ledger::batcher::ClaimWrite::look_up).
    LookUpClaim {
        /// The row.
        key: RowKey,
    },
    /// Hand the request to an engine, once, unless the instant has passed on the monotonic clock that is read
    /// right before the send.
    Dispatch {
        /// The engine.
        target: Target,
        /// The call.
        call: Box<EngineCall>,
        /// Latest instant of the send.
        not_after: MonotonicTime,
    },
    /// Read an answer that the engine was asked for before.
    Resume {
        /// The engine.
        engine: EngineId,
        /// Name for this reading.
        attempt: AttemptId,
        /// First output token wanted.
        offset: u32,
    },
    /// Ask an engine what became of the request.
    AskRunState {
        /// The engine.
        engine: EngineId,
        /// Earliest instant.
        not_before: MonotonicTime,
    },
    /// Ask the retry budget for one more try.
    AskRetry {
        /// How many placements were tried so far.
        tried: u32,
    },
    /// Hand a verified part to the caller.
    Emit(AnswerPart),
    /// Ask an engine to stop working for this request; best effort.
    Cancel {
        /// The engine.
        engine: EngineId,
    },
    /// Give back the claim of this request, under which nothing ran and nothing will be sent; best effort, may be
    /// late.
    Release(Release),
    /// Record in the claim how the request ended; best effort, may be late.
    Settle {
        /// The row.
        key: RowKey,
        /// The new content.
        row: Box<ClaimRow>,
        /// Version it must have.
        expected: RowVersion,
    },
    /// Asked for by opaque requests only.
    Forward(ForwardAction),
    /// Tell the caller the final outcome; the course is over.
    Finish(Outcome),
    /// The caller is gone and the engine goes on; the answer can be fetched later. The course is over.
    Detach,
}
