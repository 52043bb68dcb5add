//! Settings of the model. The defaults describe a mid-sized model on one accelerator, slowed to round figures.

use serde::{Deserialize, Serialize};
use shelfjunction_core::engine::{LoadedWeights, Role};
use shelfjunction_core::identity::ModelId;
use shelfjunction_core::setting::FieldError;

/// Longest time that any setting may name, in milliseconds: one hour.
const MAXIMUM_MILLIS: u64 = 3_600_000;

/// Largest cost that a token or sequence may have, in nanoseconds: one second.
const MAXIMUM_NANOS: u64 = 1_000_000_000;

/// What an engine runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineKind {
    /// Models, loaded by orders or from the start.
    Model {
        /// Role at the first start; after a restart it is mixed.
        role: Role,
        /// Weights at the first start; after a restart there are none.
        weights: Vec<LoadedWeights>,
    },
    /// An application that acts once for each call; its role and weights are fixed.
    Application {
        /// Name that calls give as their model.
        application: ModelId,
    },
}

impl Default for EngineKind {
    fn default() -> Self {
        Self::Model {
            role: Role::Mixed,
            weights: Vec::new(),
        }
    }
}

/// Time that one step of the running batch takes: the sum of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StepCosts {
    /// Of every step, in microseconds.
    pub base_micros: u64,
    /// Of each prompt token computed in the step, in nanoseconds.
    pub prefill_token_nanos: u64,
    /// Of each sequence that gains an output token in the step, in nanoseconds.
    pub sequence_nanos: u64,
    /// Of each prompt token of an imported KV cache before its sequence may join, in nanoseconds.
    pub import_token_nanos: u64,
}

impl Default for StepCosts {
    fn default() -> Self {
        Self {
            base_micros: 8_000,
            prefill_token_nanos: 50_000,
            sequence_nanos: 250_000,
            import_token_nanos: 2_000,
        }
    }
}

/// What fits into the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineLimits {
    /// Prompt tokens computed in one step at most.
    pub prefill_chunk_tokens: u32,
    /// Sequences in the running batch.
    pub active_sequences: u32,
    /// Calls that wait for the batch.
    pub queued_calls: u32,
    /// KV cache, in tokens, for running sequences and cached prefixes together.
    pub cache_tokens: u64,
    /// Ended answers kept for reading again.
    pub retained_answers: u32,
    /// Cache events kept for reading.
    pub retained_events: u32,
    /// Begun calls kept in the log for an oracle.
    pub logged_runs: u32,
}

impl Default for EngineLimits {
    fn default() -> Self {
        Self {
            prefill_chunk_tokens: 512,
            active_sequences: 32,
            queued_calls: 256,
            cache_tokens: 131_072,
            retained_answers: 4_096,
            retained_events: 4_096,
            logged_runs: 1_000_000,
        }
    }
}

/// Time that changes take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChangeCosts {
    /// A role change, in milliseconds.
    pub role_millis: u64,
    /// A load of weights, in milliseconds, besides the wait for the weight store.
    pub load_millis: u64,
}

impl Default for ChangeCosts {
    fn default() -> Self {
        Self {
            role_millis: 4_000,
            load_millis: 8_000,
        }
    }
}

/// How late the engine tells what happens in it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReportLags {
    /// Age of the load in a status at least, in milliseconds.
    pub load_lag_millis: u64,
    /// Time between two measurements of the load, in milliseconds.
    pub load_interval_millis: u64,
    /// Age of a cache event before it can be read, in milliseconds.
    pub event_lag_millis: u64,
    /// Part of all cache events that is lost, from zero to one.
    pub event_gap_probability: f64,
    /// How long an exported KV cache can be fetched, in milliseconds.
    pub export_retention_millis: u64,
}

impl Default for ReportLags {
    fn default() -> Self {
        Self {
            load_lag_millis: 200,
            load_interval_millis: 100,
            event_lag_millis: 100,
            event_gap_probability: 0.0,
            export_retention_millis: 5_000,
        }
    }
}

/// Settings of one modelled engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineModelConfig {
    /// What it runs.
    pub kind: EngineKind,
    /// Step costs.
    pub step: StepCosts,
    /// Limits.
    pub limits: EngineLimits,
    /// Costs of changes.
    pub changes: ChangeCosts,
    /// Report lags.
    pub reports: ReportLags,
}

impl EngineModelConfig {
    /// Reports every field out of range.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut check = |field: &str, value: u64, least: u64, most: u64| {
            if !(least..=most).contains(&value) {
                errors.push(FieldError {
                    field: field.to_owned(),
                    value: value.to_string(),
                    allowed: format!("{least} to {most}"),
                });
            }
        };
        let nanos = MAXIMUM_NANOS;
        check("step.base_micros", self.step.base_micros, 1, nanos / 1_000);
        check(
            "step.prefill_token_nanos",
            self.step.prefill_token_nanos,
            0,
            nanos,
        );
        check("step.sequence_nanos", self.step.sequence_nanos, 0, nanos);
        check("step.import_token_nanos", self.step.import_token_nanos, 0, nanos);
        let count = u64::from(u32::MAX);
        let limits = &self.limits;
        check(
            "limits.prefill_chunk_tokens",
            limits.prefill_chunk_tokens.into(),
            1,
            count,
        );
        check(
            "limits.active_sequences",
            limits.active_sequences.into(),
            1,
            count,
        );
        check("limits.queued_calls", limits.queued_calls.into(), 1, count);
        check("limits.cache_tokens", limits.cache_tokens, 1, count);
        check(
            "limits.retained_answers",
            limits.retained_answers.into(),
            1,
            count,
        );
        check("limits.retained_events", limits.retained_events.into(), 1, count);
        let reports = &self.reports;
        for (field, millis) in [
            ("changes.role_millis", self.changes.role_millis),
            ("changes.load_millis", self.changes.load_millis),
            ("reports.load_lag_millis", reports.load_lag_millis),
            ("reports.load_interval_millis", reports.load_interval_millis),
            ("reports.event_lag_millis", reports.event_lag_millis),
            ("reports.export_retention_millis", reports.export_retention_millis),
        ] {
            check(field, millis, 0, MAXIMUM_MILLIS);
        }
        errors.extend(probability_error(reports.event_gap_probability));
        errors
    }
}

fn probability_error(probability: f64) -> Option<FieldError> {
    if (0.0..=1.0).contains(&probability) {
        return None;
    }
    Some(FieldError {
        field: "reports.event_gap_probability".to_owned(),
        value: probability.to_string(),
        allowed: "0 to 1".to_owned(),
    })
}
