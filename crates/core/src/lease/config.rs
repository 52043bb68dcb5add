//! Times of the lease.

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Times of the lease, in milliseconds on one process's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseTimings {
    /// How long one renewal lasts, counted from before it was sent.
    pub duration_millis: u64,
    /// Time between two renewals; several must fit before the margin, so that one lost answer costs nothing.
    pub renew_every_millis: u64,
    /// How long before the lease's end its holder stops ordering.
    pub margin_millis: u64,
    /// Time between two reads of the row by a challenger.
    pub read_every_millis: u64,
    /// Pause after a call that failed.
    pub retry_after_millis: u64,
}

impl Default for LeaseTimings {
    fn default() -> Self {
        Self {
            duration_millis: 6_000,
            renew_every_millis: 1_500,
            margin_millis: 1_500,
            read_every_millis: 1_000,
            retry_after_millis: 250,
        }
    }
}

impl LeaseTimings {
    /// Every wrong field.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let usable = self.duration_millis.saturating_sub(self.margin_millis);
        if self.margin_millis == 0 || usable == 0 {
            errors.push(field_error(
                "lease.margin_millis",
                self.margin_millis,
                "above 0 and below lease.duration_millis",
            ));
        }
        if self.renew_every_millis == 0 || self.renew_every_millis.saturating_mul(2) > usable {
            errors.push(field_error(
                "lease.renew_every_millis",
                self.renew_every_millis,
                "above 0 and at most half of lease.duration_millis less lease.margin_millis",
            ));
        }
        if self.read_every_millis == 0 {
            errors.push(field_error("lease.read_every_millis", 0, "above 0"));
        }
        if self.retry_after_millis == 0 {
            errors.push(field_error("lease.retry_after_millis", 0, "above 0"));
        }
        errors
    }

    pub(super) fn usable(&self) -> Duration {
        Duration::from_millis(self.duration_millis.saturating_sub(self.margin_millis))
    }

    pub(super) fn renew_every(&self) -> Duration {
        Duration::from_millis(self.renew_every_millis)
    }

    pub(super) fn read_every(&self) -> Duration {
        Duration::from_millis(self.read_every_millis)
    }

    pub(super) fn retry_after(&self) -> Duration {
        Duration::from_millis(self.retry_after_millis)
    }
}

fn field_error(field: &str, value: u64, allowed: &str) -> FieldError {
    FieldError {
        field: field.to_owned(),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}
