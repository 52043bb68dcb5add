//! When a stream whose engine is silent has passed to another engine.
//!
//! ```text
//! taken over  if the other engine has sent the head of its answer, or
//!             has had all of the request for refusal_wait and has not refused it
//! ```

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HandoverSettings {
    /// Time from the sending of a request after which an engine that has not refused it runs it or has queued it, in milliseconds. Until
    /// then two engines may work on it.
    pub refusal_wait_millis: u64,
}

impl Default for HandoverSettings {
    fn default() -> Self {
        Self {
            refusal_wait_millis: 200,
        }
    }
}

impl HandoverSettings {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let is_allowed = self.refusal_wait_millis > 0;
        let fault = FieldError {
            field: "handover.refusal_wait_millis".to_owned(),
            value: self.refusal_wait_millis.to_string(),
            allowed: "1 or more".to_owned(),
        };
        if is_allowed { Vec::new() } else { vec![fault] }
    }

    /// Time for which a refusal is waited for.
    pub fn refusal_wait(&self) -> Duration {
        Duration::from_millis(self.refusal_wait_millis)
    }

    /// Whether the other engine has taken the stream over, which got all of the request so long ago.
    pub fn is_taken_over(&self, has_head: bool, since_sent: Duration) -> bool {
        has_head || since_sent >= self.refusal_wait()
    }
}
