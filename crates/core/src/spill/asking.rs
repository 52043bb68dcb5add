//! Decides whether a node asks another region about a request, and which one. The formula stands at [`super`].

use super::config::SpillSettings;
use super::question::{Decline, RequestKind};
use crate::identity::RegionId;
use crate::membership::rendezvous;
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of regions that are asked about one decision; each that does not accept costs the request a round trip.
pub const MAX_REGIONS_ASKED: usize = 2;

/// Least difference of round trips that orders two regions; smaller ones are within the noise of measurements.
const ROUND_TRIP_RESOLUTION: Duration = Duration::from_millis(5);

/// The same as a divisor of the least round trip.
const ROUND_TRIP_RESOLUTION_DIVISOR: u32 = 4;

/// Maximum number of doublings of the backoff after declines. The placer names the time after which it may accept again, so a much longer
/// one would leave free capacity unused.
const MAX_DECLINE_DOUBLINGS: u32 = 2;

/// Maximum number of doublings of the backoff after questions without an answer.
const MAX_SILENCE_DOUBLINGS: u32 = 10;

/// Another region as the asking node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionView {
    /// The region.
    pub region: RegionId,
    /// Measured round trip; absent before the first measurement.
    pub round_trip: Option<Duration>,
    /// Time to wait for an answer from there.
    pub wait: Duration,
}

impl RegionView {
    /// Whether a request with so much of its target left can still be served there in time. A region whose distance is not known is
    /// asked.
    fn is_near_enough(&self, target_left: Duration) -> bool {
        target_left > self.round_trip.unwrap_or_default() * 2
    }

    /// Time to wait for an answer about a request with so much of its target left. Of a region whose distance is not known it is at
    /// most half, so that the request can still be served elsewhere.
    pub fn wait_for(&self, target_left: Duration) -> Duration {
        match self.round_trip {
            Some(_) => self.wait,
            None => self.wait.min(target_left / 2),
        }
    }

    /// What is left of the target when the answer comes.
    pub fn target_after_answer(&self, target_left: Duration) -> Duration {
        target_left.saturating_sub(self.round_trip.unwrap_or_default())
    }
}

/// What became of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpillOutcome {
    /// The region accepted the request.
    Accepted,
    /// It declined.
    Declined(Decline),
    /// No answer came in time.
    Silent,
}

#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    failures: u32,
    failed_at: MonotonicTime,
    until: MonotonicTime,
}

/// Backoffs of a node towards other regions.
#[derive(Clone, Debug, Default)]
pub struct SpillBackoffs {
    regions: BTreeMap<RegionId, Backoff>,
    kinds: BTreeMap<(RegionId, RequestKind), Backoff>,
}

impl SpillBackoffs {
    /// The region to ask next about a request; absent if none is left. `subject` is the hash of the request's shared prefix.
    ///
    /// After a failure only one question at a time is under way: asking renews the backoff by the wait for the answer, so that the
    /// other requests of the node do not wait for a region that may still be silent.
    pub fn next_region<'v>(
        &mut self,
        views: &'v [RegionView],
        asked: &[RegionId],
        kind: &RequestKind,
        subject: u64,
        target_left: Duration,
        now: MonotonicTime,
    ) -> Option<&'v RegionView> {
        let eligible = views.iter().filter(|view| {
            !asked.contains(&view.region)
                && view.is_near_enough(target_left)
                && self.backoff_end(&view.region, kind) <= now
        });
        let chosen = nearest(eligible.collect(), subject)?;
        let kind_key = (chosen.region.clone(), kind.clone());
        let failed = [
            self.regions.get_mut(&chosen.region),
            self.kinds.get_mut(&kind_key),
        ];
        for backoff in failed.into_iter().flatten() {
            backoff.until = now + chosen.wait_for(target_left);
        }
        Some(chosen)
    }

    /// Records what became of a question that was asked at `asked_at`. An acceptance ends the backoffs of the region. Questions that
    /// were under way together and fail count as one failure.
    pub fn on_outcome(
        &mut self,
        region: &RegionId,
        kind: &RequestKind,
        outcome: SpillOutcome,
        asked_at: MonotonicTime,
        settings: &SpillSettings,
        now: MonotonicTime,
    ) {
        let kind_key = || (region.clone(), kind.clone());
        let (backoff, first, longest) = match outcome {
            SpillOutcome::Accepted => {
                self.regions.remove(region);
                self.kinds.remove(&kind_key());
                return;
            }
            SpillOutcome::Declined(decline) if decline.reason.is_of_kind() => {
                // The region answers, whatever it says of this kind.
                self.regions.remove(region);
                let backoff = self.kinds.entry(kind_key()).or_default();
                (backoff, decline.backoff, settings.max_declined_backoff())
            }
            SpillOutcome::Declined(decline) => {
                let backoff = self.regions.entry(region.clone()).or_default();
                (backoff, decline.backoff, settings.max_declined_backoff())
            }
            SpillOutcome::Silent => {
                let backoff = self.regions.entry(region.clone()).or_default();
                (backoff, settings.backoff(), settings.max_silence_backoff())
            }
        };
        if backoff.failures == 0 || asked_at > backoff.failed_at {
            backoff.failures += 1;
        }
        backoff.failed_at = now;
        let max_doublings = match outcome {
            SpillOutcome::Silent => MAX_SILENCE_DOUBLINGS,
            _ => MAX_DECLINE_DOUBLINGS,
        };
        let doublings = (backoff.failures - 1).min(max_doublings);
        backoff.until = now + first.saturating_mul(1 << doublings).min(longest);
    }

    /// Time until some region may be asked about a kind of request again; zero if one may be asked now, absent if there is no region.
    pub fn time_until_asked(
        &self,
        views: &[RegionView],
        kind: &RequestKind,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let ends = views.iter().map(|view| self.backoff_end(&view.region, kind));
        ends.min().map(|end| end.since(now))
    }

    fn backoff_end(&self, region: &RegionId, kind: &RequestKind) -> MonotonicTime {
        let of_region = self.regions.get(region).copied().unwrap_or_default();
        let of_kind = self.kinds.get(&(region.clone(), kind.clone()));
        of_region.until.max(of_kind.copied().unwrap_or_default().until)
    }
}

/// The nearest region; of those at about the same distance the one with the highest hash. A region whose distance is not known counts
/// as farther than any other.
fn nearest(views: Vec<&RegionView>, subject: u64) -> Option<&RegionView> {
    let distance = |view: &RegionView| view.round_trip.unwrap_or(Duration::MAX);
    let least = views.iter().map(|view| distance(view)).min()?;
    let resolution = ROUND_TRIP_RESOLUTION.max(least / ROUND_TRIP_RESOLUTION_DIVISOR);
    let near = views
        .into_iter()
        .filter(|view| distance(view) <= least.saturating_add(resolution));
    near.max_by_key(|view| {
        let region = SubjectHandle::of_text("region", view.region.as_str());
        (
            rendezvous::weight(SubjectHandle::of_number(subject), region),
            &view.region,
        )
    })
}
