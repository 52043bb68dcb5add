//! One dispatch under way: its connection, and what of its answer has come.

use super::accounting::Account;
use crate::links::Connection;
use crate::ports::AnswerHead;
use shelfjunction_buffers::HeldAnswer;
use shelfjunction_core::engine::EngineCall;
use shelfjunction_core::identity::{AttemptId, EngineId};
use shelfjunction_core::request::specification::Target;
use shelfjunction_core::retry::arrivals::Arrival;
use shelfjunction_core::streams::StreamOrigin;
use shelfjunction_core::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// What a dispatch is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Read the prompt.
    Prompt,
    /// Run the output of a prompt that another engine has read.
    Output,
    /// All of the request.
    Whole,
}

impl Purpose {
    /// How the budget for repeats counts it.
    pub(super) fn arrival(self) -> Arrival {
        match self {
            Self::Prompt => Arrival::Prompt,
            Self::Output | Self::Whole => Arrival::Answer,
        }
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Prompt => "prompt",
            Self::Output => "output",
            Self::Whole => "whole",
        }
    }
}

/// One dispatch under way.
pub(super) struct Exchange {
    pub(super) attempt: AttemptId,
    pub(super) engine: EngineId,
    /// Where the engine was when the request was sent.
    pub(super) address: SocketAddr,
    pub(super) account: Account,
    pub(super) purpose: Purpose,
    pub(super) link: Connection,
    /// The dispatch, to be repeated if the relay declines it; absent over a direct link.
    pub(super) relayed: Option<(Target, EngineCall)>,
    /// Head of the answer, once it came.
    pub(super) head: Option<AnswerHead>,
    pub(super) sent_at: MonotonicTime,
    /// Since when the present wait for a word lasts.
    pub(super) asked_at: MonotonicTime,
    /// Instant from which the engine counts as silent; absent: never.
    pub(super) silent_from: Option<MonotonicTime>,
    pub(super) all_sent: bool,
    /// What is held of the answer.
    pub(super) held_answer: HeldAnswer,
    /// Whether the engine may have sent more than was read at the last look.
    pub(super) reads_again: bool,
    /// Whether an event of the answer came.
    pub(super) has_events: bool,
    /// Origin of a stream that begins here.
    pub(super) origin: StreamOrigin,
    /// Whether an event of the answer was passed to the caller.
    pub(super) has_passed_events: bool,
}

impl Exchange {
    /// Starts the wait anew.
    pub(super) fn restart_wait(&mut self, now: MonotonicTime, max_wait: Option<Duration>) {
        self.asked_at = now;
        self.silent_from = max_wait.map(|max_wait| now + max_wait);
    }
}
