//! What one call gave, as its caller saw it.

use crate::caller::CallResult;
use std::time::Duration;

/// One finished call.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Position in the schedule.
    pub index: usize,
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
