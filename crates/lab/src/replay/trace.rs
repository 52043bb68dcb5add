//! Recorded calls with their stated outcomes.

use crate::caller::{CallResult, CompletionCall};
use serde::Deserialize;
use shelfjunction_core::identity::{TenantId, ZoneId};
use shelfjunction_core::service_class::ServiceClass;

/// One recording.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Deployment that the calls were made to: `pharmacy` or `kadriks`.
    pub deployment: String,
    /// Calls, in any order.
    pub calls: Vec<RecordedCall>,
}

/// One recorded call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedCall {
    /// When it was sent, in milliseconds from the first instant of the recording.
    pub at_millis: u64,
    /// Zone of the gateway that was called.
    pub zone: ZoneId,
    /// Tenant that called.
    pub tenant: TenantId,
    /// Model, or model and adapter joined by a colon.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Most output tokens.
    pub max_tokens: u32,
    /// Class; absent: the tenant's.
    pub class: Option<ServiceClass>,
    /// Idempotency key; absent: none.
    pub key: Option<String>,
    /// Outcome that must come back.
    pub expect: StatedOutcome,
}

/// Outcome that a recording states.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StatedOutcome {
    /// The whole answer.
    Completed,
    /// A refusal that says "not run", with this code.
    NotRun(String),
}

impl RecordedCall {
    /// The call as a caller sends it.
    pub fn call(&self) -> CompletionCall {
        CompletionCall {
            model: self.model.clone(),
            prompt: self.prompt.clone(),
            max_tokens: self.max_tokens,
            class: self.class,
            key: self.key.clone(),
        }
    }
}

impl StatedOutcome {
    /// Whether a call gave what is stated.
    pub fn holds(&self, result: &CallResult) -> bool {
        match (self, result) {
            (Self::Completed, CallResult::Completed) => true,
            (Self::NotRun(stated), CallResult::NotRun { code, .. }) => code == stated,
            _ => false,
        }
    }
}
