//! How long engines take to read prompts, learned from readings.

use std::time::Duration;

/// Share of its weight that a reading keeps when the next one comes.
const KEPT: f64 = 0.97;

/// Weight of the assumption that stands in for readings at the start.
const ASSUMED_WEIGHT: f64 = 2.0;

/// Most by which one reading counts as longer or shorter than it was expected, so that a lost packet or a wrong belief
/// moves the line little while a lasting change still gets through.
pub(super) const LARGEST_FACTOR: f64 = 2.5;

/// Spread of the readings' tokens, as part of their mean, below which they don't tell the fixed part from the rest.
const LEAST_SPREAD: f64 = 0.25;

/// Readings from which the line is theirs.
const LEARNED_READINGS: u32 = 20;

/// Fixed part of a reading that is assumed at the start, in seconds.
const ASSUMED_FIXED_SECONDS: f64 = 0.010;

/// Tokens of the reading that the assumption stands for.
const ASSUMED_TOKENS: f64 = 5_000.0;

/// Shortest time that a token is believed to take, in seconds.
const LEAST_SECONDS_PER_TOKEN: f64 = 1e-8;

/// A straight line through recent readings: seconds until a prompt was read over the tokens that had to be read until
/// then, those of other prompts before it among them.
///
/// Least squares with weights that fade from reading to reading; no reading counts for more than a bounded factor of
/// what was expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSpeed {
    fixed_seconds: f64,
    seconds_per_token: f64,
    weight: f64,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    tokens_seconds: f64,
    readings: u32,
}

impl PrefillSpeed {
    /// Begins with an assumption, in tokens per second.
    pub fn assumed(tokens_per_second: f64) -> Self {
        let seconds_per_token = 1.0 / tokens_per_second;
        let seconds = ASSUMED_FIXED_SECONDS + ASSUMED_TOKENS * seconds_per_token;
        Self {
            fixed_seconds: ASSUMED_FIXED_SECONDS,
            seconds_per_token,
            weight: ASSUMED_WEIGHT,
            tokens: ASSUMED_WEIGHT * ASSUMED_TOKENS,
            seconds: ASSUMED_WEIGHT * seconds,
            tokens_squared: ASSUMED_WEIGHT * ASSUMED_TOKENS * ASSUMED_TOKENS,
            tokens_seconds: ASSUMED_WEIGHT * ASSUMED_TOKENS * seconds,
            readings: 0,
        }
    }

    /// Whether enough readings were seen for the line to be theirs and not the assumption's.
    pub fn is_learned(&self) -> bool {
        self.readings >= LEARNED_READINGS
    }

    /// Tokens that are read in a second while there is always something to read.
    pub fn tokens_per_second(&self) -> f64 {
        1.0 / self.seconds_per_token
    }

    /// Seconds that a reading takes beside its tokens.
    pub fn fixed_seconds(&self) -> f64 {
        self.fixed_seconds
    }

    /// Seconds until a prompt is read when so many tokens are to be read until then.
    pub fn seconds(&self, tokens: f64) -> f64 {
        self.fixed_seconds + tokens * self.seconds_per_token
    }

    /// Takes one reading: the tokens to be read until it was done, and the time that passed.
    pub fn observe(&mut self, tokens: f64, took: Duration) {
        let expected = self.seconds(tokens);
        let seconds = took
            .as_secs_f64()
            .clamp(expected / LARGEST_FACTOR, expected * LARGEST_FACTOR);
        self.readings = self.readings.saturating_add(1);
        self.weight = self.weight * KEPT + 1.0;
        self.tokens = self.tokens * KEPT + tokens;
        self.seconds = self.seconds * KEPT + seconds;
        self.tokens_squared = self.tokens_squared * KEPT + tokens * tokens;
        self.tokens_seconds = self.tokens_seconds * KEPT + tokens * seconds;
        self.fit();
    }

    fn fit(&mut self) {
        let mean_tokens = self.tokens / self.weight;
        let mean_seconds = self.seconds / self.weight;
        if mean_tokens <= 0.0 {
            return;
        }
        let variance = (self.tokens_squared / self.weight - mean_tokens * mean_tokens).max(0.0);
        if variance.sqrt() >= LEAST_SPREAD * mean_tokens {
            let covariance = self.tokens_seconds / self.weight - mean_tokens * mean_seconds;
            self.seconds_per_token = covariance / variance;
        } else {
            self.seconds_per_token = (mean_seconds - self.fixed_seconds) / mean_tokens;
        }
        let most = (mean_seconds / mean_tokens).max(LEAST_SECONDS_PER_TOKEN);
        self.seconds_per_token = self.seconds_per_token.clamp(LEAST_SECONDS_PER_TOKEN, most);
        // Where the line passes through nothing, rounding may leave less than that.
        self.fixed_seconds = (mean_seconds - mean_tokens * self.seconds_per_token).max(0.0);
    }
}
