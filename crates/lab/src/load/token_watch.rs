//! Takes the times of one call's tokens.

use super::observation::Observation;
use super::schedule::PlannedCall;
use crate::caller::CallResult;
use std::time::{Duration, Instant};

/// Times of one call, measured from its intended start.
pub(super) struct TokenWatch {
    intended: Instant,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    between_tokens: Vec<Duration>,
    text: String,
}

impl TokenWatch {
    /// Before the call is sent.
    pub(super) fn start(intended: Instant) -> Self {
        Self {
            intended,
            first_token: None,
            last_token: None,
            between_tokens: Vec::new(),
            text: String::new(),
        }
    }

    /// A token arrived now.
    pub(super) fn token(&mut self, text: &str) {
        let now = Instant::now();
        match self.last_token {
            None => self.first_token = Some(now.saturating_duration_since(self.intended)),
            Some(last) => self.between_tokens.push(now.saturating_duration_since(last)),
        }
        self.last_token = Some(now);
        self.text.push_str(text);
    }

    /// The answer has ended now.
    pub(super) fn finish(
        self,
        call: &PlannedCall,
        result: CallResult,
        request: Option<String>,
    ) -> Observation {
        Observation {
            index: call.index,
            mix: call.mix,
            direct: call.direct,
            at: call.at,
            result,
            first_token: self.first_token,
            between_tokens: self.between_tokens,
            total: self.intended.elapsed(),
            request,
            text: self.text,
        }
    }
}
