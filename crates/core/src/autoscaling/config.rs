//! How much room is bought.

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of autoscaling.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AutoscalingPolicy {
    /// Whether engines are ordered at all.
    pub enabled: bool,
    /// Part of the engines that the highest load of late keeps busy, where they cost the full price.
    pub on_demand_utilisation: f64,
    /// The same for what is left of spot engines when a zone has lost all of its own.
    pub utilisation_after_loss: f64,
    /// The same when all zones but one have, while on-demand engines start.
    pub utilisation_in_one_zone: f64,
    /// Time in which the highest load of late fades by two thirds, in milliseconds: long against waves of demand, since
    /// engines that start are empty and slow for a while.
    pub hold_millis: u64,
    /// Part that the operators' own number of engines is taken to be sized for, until demand is seen.
    pub assumed_utilisation: f64,
}

impl Default for AutoscalingPolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            on_demand_utilisation: 0.65,
            utilisation_after_loss: 0.55,
            utilisation_in_one_zone: 0.85,
            hold_millis: 300_000,
            assumed_utilisation: 0.55,
        }
    }
}

impl AutoscalingPolicy {
    /// Time in which the highest load of late fades by two thirds.
    pub fn hold(&self) -> Duration {
        Duration::from_millis(self.hold_millis)
    }

    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let shares = [
            ("autoscaling.on_demand_utilisation", self.on_demand_utilisation),
            ("autoscaling.utilisation_after_loss", self.utilisation_after_loss),
            (
                "autoscaling.utilisation_in_one_zone",
                self.utilisation_in_one_zone,
            ),
            ("autoscaling.assumed_utilisation", self.assumed_utilisation),
        ];
        let wrong = shares
            .into_iter()
            .filter(|(_, value)| !(0.05..=1.0).contains(value));
        wrong
            .map(|(field, value)| FieldError {
                field: field.to_owned(),
                value: value.to_string(),
                allowed: "0.05 to 1".to_owned(),
            })
            .collect()
    }
}
