//! Load as the engine measures and reports it: measured now and then, told late.

use crate::config::{ReportLags, StepCosts};
use shelfjunction_core::engine::LoadReport;
use shelfjunction_core::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after which older measurements of speed count half, in microseconds.
const SPEED_WINDOW_MICROS: u64 = 2_000_000;

/// Tokens and the time they took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    tokens: u64,
    micros: u64,
}

impl Speed {
    /// Counts tokens computed in some time.
    pub fn add(&mut self, tokens: u64, micros: u64) {
        if tokens == 0 {
            return;
        }
        self.tokens += tokens;
        self.micros += micros;
        if self.micros > SPEED_WINDOW_MICROS {
            self.tokens /= 2;
            self.micros /= 2;
        }
    }

    /// Tokens per second, or `nominal` before anything was measured.
    pub fn per_second(&self, nominal: u64) -> u64 {
        if self.micros == 0 {
            return nominal;
        }
        self.tokens.saturating_mul(1_000_000) / self.micros
    }
}

/// Speed of a batch that prefills full chunks and nothing else, in tokens per second.
pub(crate) fn nominal_prefill_speed(step: &StepCosts, chunk_tokens: u32) -> u64 {
    let tokens = u64::from(chunk_tokens);
    let nanos = step.base_micros * 1_000 + tokens * step.prefill_token_nanos;
    tokens * 1_000_000_000 / nanos.max(1)
}

/// Speed of a batch that decodes half of the sequences it may hold, in tokens per second.
pub(crate) fn nominal_decode_speed(step: &StepCosts, active_sequences: u32) -> u64 {
    let sequences = u64::from(active_sequences.div_ceil(2));
    let nanos = step.base_micros * 1_000 + sequences * step.sequence_nanos;
    sequences * 1_000_000_000 / nanos.max(1)
}

/// Past measurements that are not old enough, or just old enough, to be told.
#[derive(Clone, Debug, Default)]
pub(crate) struct LaggedLoad {
    measured: VecDeque<(MonotonicTime, LoadReport)>,
}

impl LaggedLoad {
    /// Whether the interval since the last measurement has passed.
    pub fn is_due(&self, now: MonotonicTime, lags: &ReportLags) -> bool {
        let interval = Duration::from_millis(lags.load_interval_millis);
        match self.measured.back() {
            Some((at, _)) => *at + interval <= now,
            None => true,
        }
    }

    /// Keeps a measurement and forgets those that a newer one replaces.
    pub fn push(&mut self, now: MonotonicTime, report: LoadReport, lags: &ReportLags) {
        self.measured.push_back((now, report));
        let lag = Duration::from_millis(lags.load_lag_millis);
        while self.measured.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.measured.pop_front();
        }
    }

    /// The newest measurement that is at least the lag old.
    pub fn told(&self, now: MonotonicTime, lags: &ReportLags) -> LoadReport {
        let lag = Duration::from_millis(lags.load_lag_millis);
        self.measured
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now)
            .map(|(_, report)| *report)
            .unwrap_or_default()
    }
}
