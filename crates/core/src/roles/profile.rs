//! What an engine can do, as learned from load reports.

use crate::engine::{LoadReport, Role};
use serde::{Deserialize, Serialize};

/// Share of a report in the learned speeds.
const REPORT_SHARE: f64 = 0.01;
/// Fewest sequences in a report from which a step's time can be told.
const FEWEST_SEQUENCES: u32 = 2;
/// Prefill queue, in chunks, above which a reported prefill speed is that of full steps.
const FULL_CHUNKS: f64 = 4.0;

/// Speeds and costs of one engine of a model; batched decoding takes `step_base_seconds` plus
/// `step_sequence_seconds` for each sequence in the batch, per token of each.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineProfile {
    /// Prompt tokens computed per second by an engine that does nothing else.
    pub prefill_tokens_per_second: f64,
    /// Prompt tokens computed in one step at most.
    pub prefill_chunk_tokens: f64,
    /// Fixed part of a step, in seconds.
    pub step_base_seconds: f64,
    /// Part of a step per decoding sequence, in seconds.
    pub step_sequence_seconds: f64,
    /// Sequences that decode together at most.
    pub batch_sequences: f64,
    /// Time that a role change takes once the engine is empty, in seconds.
    pub change_seconds: f64,
    /// Time until a cold prefix cache is as good as a warm one, in seconds.
    pub cache_warm_seconds: f64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 15_000.0,
            prefill_chunk_tokens: 512.0,
            step_base_seconds: 0.008,
            step_sequence_seconds: 0.000_25,
            batch_sequences: 32.0,
            change_seconds: 4.0,
            cache_warm_seconds: 20.0,
        }
    }
}

impl EngineProfile {
    /// Learns from a report of an engine in the given role; mixed engines tell neither speed on its own.
    pub fn learn(&mut self, role: Role, load: &LoadReport) {
        match role {
            Role::Prefill => self.learn_prefill(load),
            Role::Decode => self.learn_decode(load),
            Role::Mixed => {}
        }
    }

    /// Time of a step that decodes that many sequences and computes no prompt, in seconds.
    pub fn decode_step(&self, sequences: f64) -> f64 {
        self.step_base_seconds + self.step_sequence_seconds * sequences
    }

    /// Time that one prompt token adds to a step, in seconds.
    pub fn prefill_token_seconds(&self) -> f64 {
        let all = 1.0 / self.prefill_tokens_per_second;
        let base = self.step_base_seconds / self.prefill_chunk_tokens;
        (all - base).max(all * 0.1)
    }

    fn learn_prefill(&mut self, load: &LoadReport) {
        let busy = load.queued_prefill_tokens as f64 > FULL_CHUNKS * self.prefill_chunk_tokens;
        if busy && load.prefill_tokens_per_second > 0 {
            let reported = load.prefill_tokens_per_second as f64;
            self.prefill_tokens_per_second += (reported - self.prefill_tokens_per_second) * REPORT_SHARE;
        }
    }

    /// Moves the fixed and the growing part of a step by the share of each in the error.
    fn learn_decode(&mut self, load: &LoadReport) {
        if load.active_sequences < FEWEST_SEQUENCES || load.decode_tokens_per_second == 0 {
            return;
        }
        let sequences = f64::from(load.active_sequences);
        let observed = sequences / load.decode_tokens_per_second as f64;
        let factor = 1.0 + (observed / self.decode_step(sequences) - 1.0) * REPORT_SHARE;
        let factor = factor.clamp(1.0 - REPORT_SHARE, 1.0 + REPORT_SHARE);
        self.step_base_seconds *= factor;
        self.step_sequence_seconds *= factor;
    }
}
