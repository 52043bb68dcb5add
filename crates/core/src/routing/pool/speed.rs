//! How long engines take to read prompts, learned from readings.

use std::time::Duration;

/// Share of its weight that a reading keeps when the next one comes.
const KEPT: f64 = 0.97;

/// Weight of the assumption that stands in for readings at the start.
const ASSUMED_WEIGHT: f64 = 2.0;

/// Most by which one reading counts as longer or shorter than it was expected, so that a lost packet or a wrong belief
/// moves the line little while a lasting change still gets through.
const LARGEST_FACTOR: f64 = 2.5;

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
pub struct ReadingSpeed {
    fixed_seconds: f64,
    seconds_per_token: f64,
    weight: f64,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    tokens_seconds: f64,
    readings: u32,
}

impl ReadingSpeed {
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

/// Step by which a factor follows what is seen.
const ERROR_STEP: f64 = 0.02;

/// Bounds of a factor.
const ERROR_BOUNDS: (f64, f64) = (0.3, 4.0);

/// Added to what was expected and to what was seen before they are compared, in seconds, so that a short time that was
/// a little longer does not count as a large error.
const ERROR_FLOOR_SECONDS: f64 = 0.020;

/// Part of the first events that come within the expected time by the hopeful factor.
const HOPEFUL: f64 = 0.2;

/// Part of the first events that come within the expected time by the careful factor.
const CAREFUL: f64 = 0.65;

/// A factor below which a given part of what is seen lies, followed step by step.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Quantile {
    part: f64,
    factor: f64,
}

impl Quantile {
    fn new(part: f64) -> Self {
        Self { part, factor: 1.0 }
    }

    fn observe(&mut self, ratio: f64) {
        let step = if ratio > self.factor {
            self.part
        } else {
            self.part - 1.0
        };
        let (least, most) = ERROR_BOUNDS;
        self.factor = (self.factor + ERROR_STEP * step).clamp(least, most);
    }
}

/// The factor by which first events exceed what was expected of them, at two quantiles.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectationError {
    hopeful: Quantile,
    careful: Quantile,
}

impl Default for ExpectationError {
    fn default() -> Self {
        Self {
            hopeful: Quantile::new(HOPEFUL),
            careful: Quantile::new(CAREFUL),
        }
    }
}

impl ExpectationError {
    /// The factor that decides, from the hopeful one at a care of zero to the careful one at one.
    pub fn factor(&self, care: f64) -> f64 {
        let careful = self.careful.factor.max(self.hopeful.factor);
        self.hopeful.factor + care.clamp(0.0, 1.0) * (careful - self.hopeful.factor)
    }

    /// Takes one first event.
    pub fn observe(&mut self, expected: Duration, took: Duration) {
        let ratio =
            (took.as_secs_f64() + ERROR_FLOOR_SECONDS) / (expected.as_secs_f64() + ERROR_FLOOR_SECONDS);
        self.hopeful.observe(ratio);
        self.careful.observe(ratio);
    }
}

/// Quantile of the pauses between events that is followed.
const PAUSE_QUANTILE: f64 = 0.8;

/// Part of the longest harmless pause that is assumed at the start.
const ASSUMED_PAUSE: f64 = 0.5;

/// Part of the longest harmless pause up to which an output has room to spare.
const CALM_PAUSE: f64 = 0.4;

/// Part of the longest harmless pause from which outputs come late.
const FULL_PAUSE: f64 = 0.9;

/// How near the pauses between an output's events come to the longest that is harmless, at engines that read prompts
/// beside it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadingPauses {
    part: Quantile,
}

impl Default for ReadingPauses {
    fn default() -> Self {
        let mut part = Quantile::new(PAUSE_QUANTILE);
        part.factor = ASSUMED_PAUSE;
        Self { part }
    }
}

impl ReadingPauses {
    /// Takes one pause, as part of the longest harmless one.
    pub fn observe(&mut self, part: f64) {
        self.part.observe(part);
    }

    /// From zero, where outputs have room to spare, to one, where they come late.
    pub fn harm(&self) -> f64 {
        ((self.part.factor - CALM_PAUSE) / (FULL_PAUSE - CALM_PAUSE)).clamp(0.0, 1.0)
    }
}

/// Weight of one request in the share of those turned away.
const TURNED_AWAY_STEP: f64 = 0.05;

/// Share of the requests that were turned away of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TurnedAway {
    share: f64,
}

impl TurnedAway {
    /// The share.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Takes one request.
    pub fn observe(&mut self, turned_away: bool) {
        let value = if turned_away { 1.0 } else { 0.0 };
        self.share += TURNED_AWAY_STEP * (value - self.share);
    }
}

/// Share of a new observation in the running mean of hand-overs.
const HAND_OVER_SHARE: f64 = 0.1;

/// Hand-over that is assumed at the start, in seconds.
const ASSUMED_HAND_OVER_SECONDS: f64 = 0.020;

/// Least value that the running means are limited from, in seconds.
const LEAST_FOLLOWED_SECONDS: f64 = 0.010;

/// Moves a running mean towards an observation that counts for no more than a bounded factor of it.
fn follow(mean: &mut f64, observed: f64) {
    let most = mean.max(LEAST_FOLLOWED_SECONDS) * LARGEST_FACTOR;
    *mean += HAND_OVER_SHARE * (observed.min(most) - *mean);
}

/// Wait for a place at a full engine that is assumed at the start, in seconds.
const ASSUMED_PLACE_WAIT_SECONDS: f64 = 0.100;

/// Part of the speed that is assumed to be left for what goes behind everything else.
const ASSUMED_LATE_PACE: f64 = 0.5;

/// What a pool's engines were seen to take, by what they do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolSpeeds {
    /// Reading at an engine that reads prompts, until it was done.
    pub prefill: ReadingSpeed,
    /// Reading at an engine that runs outputs, until the first event.
    pub decode: ReadingSpeed,
    /// Reading behind everything that can be in time, until it was done.
    pub late: ReadingSpeed,
    /// From the dispatch of an output whose prompt another engine has read to its first event, in seconds, where a
    /// place was free.
    pub hand_over_seconds: f64,
    /// The same on top where none was free.
    pub place_wait_seconds: f64,
    /// By how much first events exceed what was expected.
    pub error: ExpectationError,
    /// What outputs suffer from reading beside them.
    pub pauses: ReadingPauses,
    /// How many requests could not be in time.
    pub turned_away: TurnedAway,
}

impl PoolSpeeds {
    /// Begins with the assumed speed of an engine that reads prompts, in tokens per second, and the assumed pace of
    /// one that runs outputs, relative to it.
    pub fn assumed(tokens_per_second: f64, decode_pace: f64) -> Self {
        Self {
            prefill: ReadingSpeed::assumed(tokens_per_second),
            decode: ReadingSpeed::assumed(tokens_per_second * decode_pace),
            late: ReadingSpeed::assumed(tokens_per_second * ASSUMED_LATE_PACE),
            hand_over_seconds: ASSUMED_HAND_OVER_SECONDS,
            place_wait_seconds: ASSUMED_PLACE_WAIT_SECONDS,
            error: ExpectationError::default(),
            pauses: ReadingPauses::default(),
            turned_away: TurnedAway::default(),
        }
    }

    /// Takes how long a hand-over took, and whether a place was free for it.
    pub fn observe_hand_over(&mut self, took: Duration, had_place: bool) {
        if had_place {
            follow(&mut self.hand_over_seconds, took.as_secs_f64());
        } else {
            let wait = (took.as_secs_f64() - self.hand_over_seconds).max(0.0);
            follow(&mut self.place_wait_seconds, wait);
        }
    }

    /// Seconds that an output waits before it begins, at an engine with or without a free place.
    pub fn place_wait(&self, has_place: bool) -> f64 {
        if has_place { 0.0 } else { self.place_wait_seconds }
    }
}
