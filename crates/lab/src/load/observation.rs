//! What one call gave, as its caller saw it.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One finished call.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Position of the mix in the plan.
    pub mix: usize,
    /// Whether the call went to an engine without a gateway.
    pub direct: bool,
    /// Intended start, from the start of the run.
    pub at: Duration,
    /// What the caller was told.
    pub result: CallResult,
    /// From the intended start to the first token.
    pub first_token: Option<Duration>,
    /// Between one token and the next, in order.
    pub between_tokens: Vec<Duration>,
    /// From the intended start to the end of the answer.
    pub total: Duration,
    /// Request identifier that the gateway gave.
    pub request: Option<String>,
    /// Text of the answer.
    pub text: String,
}

/// What a caller was told of its call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallResult {
    /// The whole answer.
    Completed,
    /// A refusal that says the request was not run.
    NotRun {
        /// The stated cause.
        code: String,
        /// Whether the refusal said when to come back.
        retry_after: bool,
    },
    /// The request ran and has no whole answer.
    Failed {
        /// The stated cause.
        code: String,
    },
    /// Nobody can tell whether it ran.
    Unknown {
        /// The stated cause.
        code: String,
    },
    /// The gateway could not be connected; nothing was sent.
    NotConnected,
    /// The connection broke with no stated outcome.
    Broken,
    /// An answer that follows no agreed shape.
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}
