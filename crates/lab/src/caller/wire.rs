//! Bodies of the callers' API as far as a caller needs them.

use serde::{Deserialize, Serialize};

/// Body of a completion call.
#[derive(Serialize)]
pub(super) struct CompletionBody<'a> {
    pub(super) model: &'a str,
    pub(super) prompt: &'a str,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) priority: Option<shelfjunction_core::service_class::ServiceClass>,
}

/// One event of a streamed answer, or a whole answer.
#[derive(Deserialize)]
pub(super) struct CompletionChunk {
    #[serde(default)]
    pub(super) choices: Vec<CompletionChoice>,
    #[serde(default)]
    pub(super) error: Option<StatedError>,
}

/// Text of an answer.
#[derive(Deserialize)]
pub(super) struct CompletionChoice {
    #[serde(default)]
    pub(super) text: String,
}

/// Body of an answer that states an error.
#[derive(Deserialize)]
pub(super) struct ErrorBody {
    pub(super) error: StatedError,
}

/// An error as a gateway states it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StatedError {
    /// Cause.
    pub code: String,
    /// What became of the request: `not_run`, `failed` or `unknown`.
    pub outcome: String,
    /// One sentence for people.
    #[serde(default)]
    pub message: String,
}
