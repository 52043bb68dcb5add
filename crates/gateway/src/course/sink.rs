//! Where verified parts of an answer go.

use shelfjunction_core::identity::{EngineId, RequestId};

/// The caller's connection broke, or its reader is too slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SinkClosed;

/// Which request and engine a part comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delivery<'a> {
    /// The request, as engines know it.
    pub(crate) request: &'a RequestId,
    /// The engine that holds the answer.
    pub(crate) engine: Option<&'a EngineId>,
}

/// Takes the parts of one answer in order.
pub(crate) trait AnswerSink {
    /// Takes one token.
    fn token(&mut self, delivery: Delivery<'_>, offset: u32, text: &str) -> Result<(), SinkClosed>;

    /// Takes the end of a whole answer.
    fn finished(&mut self, delivery: Delivery<'_>, tokens: u32, cached: u32) -> Result<(), SinkClosed>;

    /// Whether the caller closed its connection.
    fn caller_is_gone(&self) -> bool;
}
