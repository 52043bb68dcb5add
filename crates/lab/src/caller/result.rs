//! What a caller is told of its call.

use serde::{Deserialize, Serialize};

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
        /// Whether it was said when to come back.
        retry_after: bool,
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

/// A call that gave no answer to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// What the caller was told.
    pub result: CallResult,
    /// The request's identifier, as the gateway gave it.
    pub request: Option<String>,
}

impl From<CallResult> for Refused {
    fn from(result: CallResult) -> Self {
        Self {
            result,
            request: None,
        }
    }
}
