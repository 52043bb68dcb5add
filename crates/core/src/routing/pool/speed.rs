//! Estimates prefill duration from the prompt tokens to process, fitted to recent observations.

use std::time::Duration;

/// Factor by which each new observation reduces the weight of the earlier ones.
const OBSERVATION_DECAY_FACTOR: f64 = 0.97;

/// Weight of the initial estimate, in observations.
const INITIAL_ESTIMATE_WEIGHT: f64 = 2.0;

/// Maximum ratio between an observation and its expected value, in either direction. Observations beyond it are
/// clamped, so that a single outlier, such as one caused by a lost packet, has little effect on the estimate, while a
/// lasting change still gets through.
pub(super) const MAX_OUTLIER_RATIO: f64 = 2.5;

/// Minimum standard deviation of the token counts, relative to their mean, at which both parameters are fitted. Below
/// it, the fixed part cannot be distinguished from the time per token.
const MIN_RELATIVE_TOKEN_DEVIATION: f64 = 0.25;

/// Minimum number of observations before the estimate counts as learned.
const MIN_LEARNED_OBSERVATIONS: u32 = 20;

/// Initial estimate of the fixed part of a prefill, in seconds.
const INITIAL_FIXED_PREFILL_SECONDS: f64 = 0.010;

/// Token count of the artificial observation that represents the initial estimate.
const INITIAL_PREFILL_TOKENS: f64 = 5_000.0;

/// Minimum estimated time per token, in seconds.
const MIN_SECONDS_PER_TOKEN: f64 = 1e-8;

/// Linear model of the time until a prompt is prefilled. Its input is the number of tokens in the prompt and in the prompts
/// ahead of it in the queue.
///
/// Fitted by weighted least squares; the weight of an observation decays exponentially with each later one, and
/// outliers are clamped relative to the current estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSpeed {
    fixed_seconds: f64,
    seconds_per_token: f64,
    weight_sum: f64,
    tokens_sum: f64,
    seconds_sum: f64,
    tokens_squared_sum: f64,
    tokens_seconds_sum: f64,
    observations: u32,
}

impl PrefillSpeed {
    /// Creates an estimate with an initial speed in tokens per second.
    pub fn with_initial_speed(tokens_per_second: f64) -> Self {
        let seconds_per_token = 1.0 / tokens_per_second;
        let seconds = INITIAL_FIXED_PREFILL_SECONDS + INITIAL_PREFILL_TOKENS * seconds_per_token;
        Self {
            fixed_seconds: INITIAL_FIXED_PREFILL_SECONDS,
            seconds_per_token,
            weight_sum: INITIAL_ESTIMATE_WEIGHT,
            tokens_sum: INITIAL_ESTIMATE_WEIGHT * INITIAL_PREFILL_TOKENS,
            seconds_sum: INITIAL_ESTIMATE_WEIGHT * seconds,
            tokens_squared_sum: INITIAL_ESTIMATE_WEIGHT * INITIAL_PREFILL_TOKENS * INITIAL_PREFILL_TOKENS,
            tokens_seconds_sum: INITIAL_ESTIMATE_WEIGHT * INITIAL_PREFILL_TOKENS * seconds,
            observations: 0,
        }
    }

    /// Whether there are enough observations that the initial speed has little effect on the estimate.
    pub fn is_learned(&self) -> bool {
        self.observations >= MIN_LEARNED_OBSERVATIONS
    }

    /// Throughput under continuous load, in tokens per second.
    pub fn tokens_per_second(&self) -> f64 {
        1.0 / self.seconds_per_token
    }

    /// Part of the time that does not depend on the token count, in seconds.
    pub fn fixed_seconds(&self) -> f64 {
        self.fixed_seconds
    }

    /// Estimated time to prefill a number of tokens, in seconds.
    pub fn seconds(&self, tokens: f64) -> f64 {
        self.fixed_seconds + tokens * self.seconds_per_token
    }

    /// Records one prefill: the number of tokens processed until it was done, and the time that this took.
    pub fn observe(&mut self, tokens: f64, took: Duration) {
        let expected = self.seconds(tokens);
        let seconds = took
            .as_secs_f64()
            .clamp(expected / MAX_OUTLIER_RATIO, expected * MAX_OUTLIER_RATIO);
        self.observations = self.observations.saturating_add(1);
        self.weight_sum = self.weight_sum * OBSERVATION_DECAY_FACTOR + 1.0;
        self.tokens_sum = self.tokens_sum * OBSERVATION_DECAY_FACTOR + tokens;
        self.seconds_sum = self.seconds_sum * OBSERVATION_DECAY_FACTOR + seconds;
        self.tokens_squared_sum = self.tokens_squared_sum * OBSERVATION_DECAY_FACTOR + tokens * tokens;
        self.tokens_seconds_sum = self.tokens_seconds_sum * OBSERVATION_DECAY_FACTOR + tokens * seconds;
        self.fit();
    }

    fn fit(&mut self) {
        let mean_tokens = self.tokens_sum / self.weight_sum;
        let mean_seconds = self.seconds_sum / self.weight_sum;
        if mean_tokens <= 0.0 {
            return;
        }
        let variance = (self.tokens_squared_sum / self.weight_sum - mean_tokens * mean_tokens).max(0.0);
        if variance.sqrt() >= MIN_RELATIVE_TOKEN_DEVIATION * mean_tokens {
            let covariance = self.tokens_seconds_sum / self.weight_sum - mean_tokens * mean_seconds;
            self.seconds_per_token = covariance / variance;
        } else {
            self.seconds_per_token = (mean_seconds - self.fixed_seconds) / mean_tokens;
        }
        let max_seconds_per_token = (mean_seconds / mean_tokens).max(MIN_SECONDS_PER_TOKEN);
        self.seconds_per_token = self
            .seconds_per_token
            .clamp(MIN_SECONDS_PER_TOKEN, max_seconds_per_token);
        // Rounding errors may make an intercept of zero slightly negative.
        self.fixed_seconds = (mean_seconds - mean_tokens * self.seconds_per_token).max(0.0);
    }
}
