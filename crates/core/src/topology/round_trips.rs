//! Measured round trips to the nodes of each region, and the time to wait for an answer from there.
//!
//! ```text
//! mean      = moving average of the round trips
//! deviation = moving average of |round trip - mean|
//! wait      = clamp((mean + 4 * deviation + 10 ms) * 2^timeouts, configured wait, 4 * configured wait)
//! timeouts  = questions without an answer since the last answer
//! ```
//!
//! The estimator is that of TCP's retransmission timeout (RFC 6298). Timeouts lengthen the wait, so that a path that became slower than
//! it is measured again. They do not change the mean: after a link was cut, the distance is the same as before.

use crate::identity::RegionId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the latest round trip in the mean.
const MEAN_WEIGHT: f64 = 0.125;

/// Weight of the latest round trip in the deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations above the mean after which an answer is no longer expected.
const DEVIATIONS: f64 = 4.0;

/// Time for a busy node to answer, in addition to the round trip.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// Longest wait for an answer from a distant region, as a multiple of the configured wait. It bounds the delay of a request whose
/// question is lost.
pub const DISTANT_WAIT_FACTOR: u32 = 4;

/// Timeouts in a row that lengthen the wait; more would exceed the longest wait anyway.
const MAX_TIMEOUTS: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Estimate {
    mean_seconds: f64,
    deviation_seconds: f64,
    timeouts: u32,
}

/// Round trips by region.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    regions: BTreeMap<RegionId, Estimate>,
}

impl RoundTrips {
    /// Records the round trip of an answered question.
    pub fn on_answer(&mut self, region: &RegionId, round_trip: Duration) {
        let seconds = round_trip.as_secs_f64();
        match self.regions.get_mut(region) {
            Some(estimate) => {
                let error = (seconds - estimate.mean_seconds).abs();
                estimate.deviation_seconds += DEVIATION_WEIGHT * (error - estimate.deviation_seconds);
                estimate.mean_seconds += MEAN_WEIGHT * (seconds - estimate.mean_seconds);
                estimate.timeouts = 0;
            }
            None => {
                let estimate = Estimate {
                    mean_seconds: seconds,
                    deviation_seconds: seconds / 2.0,
                    timeouts: 0,
                };
                self.regions.insert(region.clone(), estimate);
            }
        }
    }

    /// Records a question that was not answered in time.
    pub fn on_timeout(&mut self, region: &RegionId) {
        if let Some(estimate) = self.regions.get_mut(region) {
            estimate.timeouts = (estimate.timeouts + 1).min(MAX_TIMEOUTS);
        }
    }

    /// Mean round trip to a region; absent before the first question.
    pub fn mean(&self, region: &RegionId) -> Option<Duration> {
        let estimate = self.regions.get(region)?;
        Some(Duration::from_secs_f64(estimate.mean_seconds))
    }

    /// Time within which nodes of all `regions` have heard of something: the longest wait among them.
    pub fn longest_wait<'r>(
        &self,
        regions: impl Iterator<Item = &'r RegionId>,
        configured: Duration,
    ) -> Duration {
        let waits = regions.map(|region| self.answer_wait(region, configured));
        waits.max().unwrap_or(configured)
    }

    /// Time to wait for an answer from a node whose region may not be known; then it is the longest, as before the first question.
    pub fn answer_wait_of(&self, region: Option<&RegionId>, configured: Duration) -> Duration {
        region.map_or(configured * DISTANT_WAIT_FACTOR, |region| {
            self.answer_wait(region, configured)
        })
    }

    /// Time to wait for an answer from a region. Before the first question it is the longest, since the distance is not known.
    pub fn answer_wait(&self, region: &RegionId, configured: Duration) -> Duration {
        let longest = configured * DISTANT_WAIT_FACTOR;
        let Some(estimate) = self.regions.get(region) else {
            return longest;
        };
        let seconds = estimate.mean_seconds + DEVIATIONS * estimate.deviation_seconds;
        let wait = Duration::from_secs_f64(seconds) + ANSWER_MARGIN;
        wait.saturating_mul(1 << estimate.timeouts)
            .clamp(configured, longest)
    }
}
