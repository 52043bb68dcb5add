//! Settings of the sharing.

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the sharing among tenants and kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SharingSettings {
    /// Whether tenants share a pool by what they used; only requests that belong to a tenant are concerned.
    pub tenants: bool,
    /// Whether a kind of request makes room for a more urgent one that is in time less often.
    pub kinds: bool,
    /// Whether what is beyond its tenant's share is refused with a time to come back, rather than served late.
    pub refuses: bool,
    /// Part of the share of all requests that are in time which prompts that could not be in time without a queue either
    /// are due while callers compete: so many of them go ahead in their rank, where the late way would not end in a long
    /// overload. Zero turns it off.
    pub large_prompts: f64,
    /// Time over which use fades, in seconds: long enough to hold several requests of a usual tenant, short beside the
    /// time for which callers put up with being turned away.
    pub window_seconds: f64,
    /// Factor by which the bearable queue is shortened at most; two leaves half of it to those below their share.
    pub most_shortened: f64,
}

impl Default for SharingSettings {
    fn default() -> Self {
        Self {
            tenants: true,
            kinds: false,
            refuses: false,
            large_prompts: 0.0,
            window_seconds: 3.0,
            most_shortened: 2.0,
        }
    }
}

impl SharingSettings {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        if !(0.1..=60.0).contains(&self.window_seconds) {
            errors.push(FieldError {
                field: "admission.sharing.window_seconds".to_owned(),
                value: self.window_seconds.to_string(),
                allowed: "0.1 to 60".to_owned(),
            });
        }
        if !(0.0..=1.0).contains(&self.large_prompts) {
            errors.push(FieldError {
                field: "admission.sharing.large_prompts".to_owned(),
                value: self.large_prompts.to_string(),
                allowed: "0 to 1".to_owned(),
            });
        }
        if !(1.0..=10.0).contains(&self.most_shortened) {
            errors.push(FieldError {
                field: "admission.sharing.most_shortened".to_owned(),
                value: self.most_shortened.to_string(),
                allowed: "1 to 10".to_owned(),
            });
        }
        errors
    }

    /// Time over which use fades.
    pub fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_seconds)
    }
}
