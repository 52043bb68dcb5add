//! Settings of spillover between regions.

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of spillover, from the section `spill`. They have no effect in a deployment that is not regional.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpillSettings {
    /// Whether requests are handed to other regions and accepted from them.
    pub enabled: bool,
    /// Share of the region's free capacity that requests of other regions may occupy, above 0 and at most 1.
    pub share: f64,
    /// Queued prefill time at an engine up to which the engine has free capacity, in milliseconds. Accepted requests add at most
    /// `share` of it to the waiting time of the region's own requests.
    pub queue_millis: u64,
    /// Time for which the own region must have served all its requests in time before others are accepted, in milliseconds.
    pub calm_millis: u64,
    /// First backoff after a question without an answer, in milliseconds.
    pub backoff_millis: u64,
    /// Longest backoff after declined requests, in milliseconds. Below 1 s, since a region that lost its engines must be served
    /// within that time by a region that declined before.
    pub max_declined_backoff_millis: u64,
    /// Longest backoff after questions without an answer, in milliseconds. Each such question delays a request by its wait.
    pub max_silence_backoff_millis: u64,
    /// Interval between measurements of the round trip to another region, in milliseconds.
    pub probe_millis: u64,
}

impl Default for SpillSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            share: 0.8,
            queue_millis: 100,
            calm_millis: 1_000,
            backoff_millis: 50,
            max_declined_backoff_millis: 800,
            max_silence_backoff_millis: 4_000,
            probe_millis: 2_000,
        }
    }
}

impl SpillSettings {
    /// All invalid settings, with their allowed ranges; empty if there are none.
    pub fn validate(&self) -> Vec<FieldError> {
        let times = [
            ("spill.queue_millis", self.queue_millis, 1..=10_000),
            ("spill.calm_millis", self.calm_millis, 1..=60_000),
            ("spill.backoff_millis", self.backoff_millis, 1..=60_000),
            (
                "spill.max_declined_backoff_millis",
                self.max_declined_backoff_millis,
                1..=60_000,
            ),
            (
                "spill.max_silence_backoff_millis",
                self.max_silence_backoff_millis,
                self.backoff_millis..=60_000,
            ),
            ("spill.probe_millis", self.probe_millis, 100..=60_000),
        ];
        let wrong = times
            .into_iter()
            .filter(|(_, value, range)| !range.contains(value));
        let mut errors: Vec<FieldError> = wrong
            .map(|(field, value, range)| FieldError {
                field: field.to_owned(),
                value: value.to_string(),
                allowed: format!("{} to {} ms", range.start(), range.end()),
            })
            .collect();
        if !(self.share > 0.0 && self.share <= 1.0) {
            errors.push(FieldError {
                field: "spill.share".to_owned(),
                value: self.share.to_string(),
                allowed: "above 0, at most 1".to_owned(),
            });
        }
        errors
    }

    /// Queued prefill time up to which an engine has free capacity.
    pub fn queue_limit(&self) -> Duration {
        Duration::from_millis(self.queue_millis)
    }

    /// Time for which the own region must have served all its requests in time.
    pub fn calm(&self) -> Duration {
        Duration::from_millis(self.calm_millis)
    }

    /// First backoff after a question without an answer.
    pub fn backoff(&self) -> Duration {
        Duration::from_millis(self.backoff_millis)
    }

    /// Longest backoff after declined requests.
    pub fn max_declined_backoff(&self) -> Duration {
        Duration::from_millis(self.max_declined_backoff_millis)
    }

    /// Longest backoff after questions without an answer.
    pub fn max_silence_backoff(&self) -> Duration {
        Duration::from_millis(self.max_silence_backoff_millis)
    }

    /// Interval between measurements of round trips.
    pub fn probe_interval(&self) -> Duration {
        Duration::from_millis(self.probe_millis)
    }
}
