//! What the lease's keeper is told and what it wants done.

use super::record::Authority;
use super::table_call::{CallId, TableAnswer, TableCall};
use crate::identity::FencingToken;

/// What the keeper is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// A table call has ended.
    Answer {
        /// The call.
        call: CallId,
        /// How it ended.
        answer: TableAnswer,
    },
    /// Something hints that the lease is lost: read the row now.
    Verify,
    /// Give the lease up and take it no more.
    Release,
}

/// What the keeper wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Make this table call and answer it exactly once.
    Call {
        /// Name for the answer.
        call: CallId,
        /// The call.
        request: TableCall,
    },
    /// The lease was taken.
    Gained(Authority),
    /// The lease is no longer held.
    Lost(FencingToken),
}
