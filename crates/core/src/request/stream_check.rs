//! Checks each part of an answer for identity, order, gaps and repeats before it may reach a caller.

use crate::engine::AnswerPart;
use crate::identity::RequestId;

/// Follows one answer across every stream that carries pieces of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamCheck {
    request: RequestId,
    next_offset: u32,
}

/// What to do with a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Belongs next; hand it on.
    Deliver,
    /// Came before; drop it.
    Repeat,
    /// The prompt phase is done.
    Prefilled {
        /// Handle for the export of the KV cache.
        handle: String,
    },
    /// The answer is whole; hand it on.
    Whole,
    /// The engine reports that the request ended early.
    EngineFailed {
        /// The engine's words.
        reason: String,
    },
    /// Another request's part, or a gap: nothing more of this stream can be trusted.
    Broken,
}

impl StreamCheck {
    /// Expects the answer of `request` from `offset` on.
    pub fn new(request: RequestId, offset: u32) -> Self {
        Self {
            request,
            next_offset: offset,
        }
    }

    /// Offset of the next token that may be delivered.
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Judges one part; a delivered token moves the expected offset on.
    pub fn judge(&mut self, part: &AnswerPart) -> Verdict {
        if part_request(part) != &self.request {
            return Verdict::Broken;
        }
        match part {
            AnswerPart::Token { offset, .. } => self.judge_token(*offset),
            AnswerPart::Prefilled { handle, .. } => Verdict::Prefilled {
                handle: handle.clone(),
            },
            AnswerPart::Finished { tokens, .. } if *tokens == self.next_offset => Verdict::Whole,
            AnswerPart::Finished { .. } => Verdict::Broken,
            AnswerPart::Failed { reason, .. } => Verdict::EngineFailed {
                reason: reason.clone(),
            },
        }
    }

    fn judge_token(&mut self, offset: u32) -> Verdict {
        if offset < self.next_offset {
            return Verdict::Repeat;
        }
        if offset > self.next_offset {
            return Verdict::Broken;
        }
        self.next_offset += 1;
        Verdict::Deliver
    }
}

fn part_request(part: &AnswerPart) -> &RequestId {
    match part {
        AnswerPart::Token { request, .. }
        | AnswerPart::Prefilled { request, .. }
        | AnswerPart::Finished { request, .. }
        | AnswerPart::Failed { request, .. } => request,
    }
}
