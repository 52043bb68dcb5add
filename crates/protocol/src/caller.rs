//! JSON bodies of the callers' API, in the shape that clients of language models already use.
//!
//! Unknown fields are refused by name: a sampling setting that is silently ignored would change answers unseen.

use serde::{Deserialize, Serialize};
use shelfjunction_core::service_class::ServiceClass;

/// Header that names a request that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Header by which each answer carries its request's identifier.
pub const REQUEST_ID: &str = "X-Request-Id";

/// Data of the event that ends a whole stream.
pub const STREAM_END: &str = "[DONE]";

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionBody {
    /// Model, or model and adapter joined by a colon.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Most output tokens; absent: the gateway's default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed by server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Class of service; absent: the tenant's for this model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<ServiceClass>,
    /// Time after which the answer is of no use, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_millis: Option<u64>,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatBody {
    /// Model, or model and adapter joined by a colon.
    pub model: String,
    /// Messages in order.
    pub messages: Vec<ChatMessage>,
    /// Most output tokens; absent: the gateway's default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed by server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Class of service; absent: the tenant's for this model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<ServiceClass>,
    /// Time after which the answer is of no use, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_millis: Option<u64>,
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: ChatRole,
    /// Text.
    pub content: String,
}

/// Who speaks in a conversation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChatRole {
    /// Standing instructions.
    System,
    /// The caller.
    User,
    /// The model.
    Assistant,
}

/// A whole answer, or one event of a streamed one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionAnswer {
    /// Identifier of the request.
    pub id: String,
    /// Kind of body: `text_completion`, `chat.completion` or `chat.completion.chunk`.
    pub object: AnswerObject,
    /// Model as the caller named it.
    pub model: String,
    /// The one choice.
    pub choices: Vec<CompletionChoice>,
    /// Tokens counted; absent in events before the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Kind of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerObject {
    /// Answer to a completion, whole or one event.
    #[serde(rename = "text_completion")]
    TextCompletion,
    /// Whole answer to a chat completion.
    #[serde(rename = "chat.completion")]
    ChatCompletion,
    /// One event of a streamed chat completion.
    #[serde(rename = "chat.completion.chunk")]
    ChatCompletionChunk,
}

/// The one choice of an answer; which of the texts is present depends on the kind of body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always zero.
    pub index: u32,
    /// Text of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Message of a whole chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// Piece of a streamed chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatDelta>,
    /// Offset of the first output token that the text holds; to resume a broken stream, ask for the next one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offset: Option<u32>,
    /// Why the answer ended; absent before the end.
    pub finish_reason: Option<FinishReason>,
}

/// Piece of a streamed chat message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// Text.
    pub content: String,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// The most output tokens were reached.
    Length,
}

/// Tokens of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_prompt_tokens: u32,
    /// Output tokens.
    pub completion_tokens: u32,
    /// Both.
    pub total_tokens: u32,
}

/// Answer to `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsAnswer {
    /// Always `list`.
    pub object: String,
    /// Models and adapters that the caller may use.
    pub data: Vec<ModelEntry>,
}

/// One model, or one adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name to call it by.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Whether each call needs an idempotency key.
    pub key_required: bool,
}

/// Body of every error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong and what became of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Cause, for programs.
    pub code: String,
    /// What became of the request.
    pub outcome: StatedOutcome,
    /// One sentence for people.
    pub message: String,
    /// Identifier of the request; absent where it could not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// When coming back makes sense, in milliseconds; also the `Retry-After` header, in whole seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_millis: Option<u64>,
}

/// What became of a request that has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StatedOutcome {
    /// No engine ran any part of it.
    NotRun,
    /// It began to run and ended without a whole answer.
    Failed,
    /// Nobody can tell whether it ran.
    Unknown,
}

/// Answer to `DELETE /v1/requests/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAnswer {
    /// Identifier of the request.
    pub id: String,
    /// Whether the engine was asked to stop; a request that had ended stays as it is.
    pub cancelled: bool,
}
