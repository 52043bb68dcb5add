//! Decides whether a placer accepts a request of another region. The formula stands at [`super`].

use super::config::SpillSettings;
use super::question::{Decline, DeclineReason};
use crate::placing::question::RequestKey;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Backoff where other regions occupy their share: about the time after which an accepted prompt has been prefilled.
const SHARE_BACKOFF: Duration = Duration::from_millis(50);

/// Backoff where a request would not be in time, about the time in which a queue that is too long drains.
const TIME_BACKOFF: Duration = Duration::from_millis(100);

/// Backoff where no engine can take the request or the node is not ready.
const ENGINE_BACKOFF: Duration = Duration::from_millis(500);

/// Time for which a decline or the end of a request is remembered, so that a duplicate question changes nothing; longer than a datagram
/// is under way.
const RETENTION: Duration = Duration::from_secs(1);

/// Maximum number of declines, and of ended requests, that are remembered.
const MAX_REMEMBERED: usize = 4_096;

/// Time for which the prefill of an accepted request is counted at most. Without a report by then, the node's messages were lost.
const MAX_PREFILL_TIME: Duration = Duration::from_secs(1);

/// Time for which an accepted request is counted after its deadline.
const LATE_REPORT_GRACE: Duration = Duration::from_millis(500);

/// Free capacity of a region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionRoom {
    /// Prefill time that its engines can still queue up to the queue limit, in seconds.
    pub prefill_seconds: f64,
    /// Free slots of its engines that run decode.
    pub slots: f64,
}

/// A request of another region, as the placer judges it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillOffer {
    /// Identifies the request.
    pub key: RequestKey,
    /// Whether engines can take it that are not avoided for now.
    pub has_engine: bool,
    /// Whether it would be served in time.
    pub is_in_time: bool,
    /// Prefill time that it takes of an engine, in seconds.
    pub prefill_seconds: f64,
    /// Time until its deadline.
    pub remaining: Duration,
}

/// State of the placer's region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegionState {
    /// Free capacity.
    pub room: RegionRoom,
    /// When a request of the region was last served late or refused for lack of capacity.
    pub last_rejection: Option<MonotonicTime>,
    /// Number of placers of the region, each of which accepts requests on its own.
    pub placers: usize,
}

#[derive(Clone, Copy, Debug)]
struct AcceptedLoad {
    prefill_seconds: f64,
    prefill_until: MonotonicTime,
    expires_at: MonotonicTime,
}

/// Requests of other regions at one placer: those that it has accepted and that have not ended, and those that it declined lately.
#[derive(Clone, Debug, Default)]
pub struct SpillGate {
    accepted: BTreeMap<RequestKey, AcceptedLoad>,
    declined: BTreeMap<(RequestKey, u32), (Decline, MonotonicTime)>,
    ended: BTreeMap<RequestKey, (u32, MonotonicTime)>,
}

impl SpillGate {
    /// Decides about a request and counts it if it is accepted.
    pub fn decide(
        &mut self,
        offer: &SpillOffer,
        region: &RegionState,
        settings: &SpillSettings,
        now: MonotonicTime,
    ) -> Result<(), Decline> {
        self.sweep(now);
        if let Some(decline) = self.objection(offer, region, settings, now) {
            return Err(decline);
        }
        let load = AcceptedLoad {
            prefill_seconds: offer.prefill_seconds,
            prefill_until: now + MAX_PREFILL_TIME.min(offer.remaining),
            expires_at: now + offer.remaining + LATE_REPORT_GRACE,
        };
        self.accepted.insert(offer.key, load);
        Ok(())
    }

    fn objection(
        &self,
        offer: &SpillOffer,
        region: &RegionState,
        settings: &SpillSettings,
        now: MonotonicTime,
    ) -> Option<Decline> {
        let decline = |reason, backoff| Some(Decline { reason, backoff });
        if !offer.has_engine {
            return decline(DeclineReason::NoEngine, ENGINE_BACKOFF);
        }
        let calm_for = region.last_rejection.map(|at| now.since(at));
        if let Some(calm_for) = calm_for.filter(|calm_for| *calm_for < settings.calm()) {
            return decline(DeclineReason::RegionBusy, settings.calm() - calm_for);
        }
        if !self.has_share(region, settings) {
            return decline(DeclineReason::ShareInUse, SHARE_BACKOFF);
        }
        if !offer.is_in_time {
            return decline(DeclineReason::NotInTime, TIME_BACKOFF);
        }
        None
    }

    /// Whether the accepted requests leave some of this placer's share of the free capacity, of prefill and of slots.
    fn has_share(&self, region: &RegionState, settings: &SpillSettings) -> bool {
        let share = settings.share / region.placers.max(1) as f64;
        let is_below = |accepted: f64, free: f64| accepted < share * (free + accepted);
        let prefill: f64 = self.accepted.values().map(|load| load.prefill_seconds).sum();
        is_below(prefill, region.room.prefill_seconds)
            && is_below(self.accepted.len() as f64, region.room.slots)
    }

    /// The decline that a question got before, if it is a duplicate.
    pub fn earlier_decline(&self, key: RequestKey, step: u32) -> Option<Decline> {
        self.declined.get(&(key, step)).map(|(decline, _)| *decline)
    }

    /// Remembers a decline.
    pub fn remember_decline(&mut self, key: RequestKey, step: u32, decline: Decline, now: MonotonicTime) {
        if self.declined.len() < MAX_REMEMBERED {
            self.declined.insert((key, step), (decline, now));
        }
    }

    /// Whether a request has been accepted and has not ended.
    pub fn has_accepted(&self, key: RequestKey) -> bool {
        self.accepted.contains_key(&key)
    }

    /// An accepted prompt has been prefilled.
    pub fn on_prefilled(&mut self, key: RequestKey) {
        if let Some(load) = self.accepted.get_mut(&key) {
            load.prefill_seconds = 0.0;
        }
    }

    /// An accepted request has ended, by a report about the given step.
    pub fn on_ended(&mut self, key: RequestKey, step: u32, now: MonotonicTime) {
        if self.accepted.remove(&key).is_some() && self.ended.len() < MAX_REMEMBERED {
            self.ended.insert(key, (step, now));
        }
    }

    /// Whether a question is about a request that has ended since.
    pub fn has_ended(&self, key: RequestKey, step: u32) -> bool {
        self.ended.get(&key).is_some_and(|(ended, _)| step <= *ended)
    }

    /// Number of accepted requests that have not ended.
    pub fn in_flight(&self) -> usize {
        self.accepted.len()
    }

    /// Removes what has expired.
    pub fn sweep(&mut self, now: MonotonicTime) {
        self.accepted.retain(|_, load| load.expires_at > now);
        for load in self.accepted.values_mut() {
            if load.prefill_until <= now {
                load.prefill_seconds = 0.0;
            }
        }
        self.declined.retain(|_, (_, at)| now.since(*at) < RETENTION);
        self.ended.retain(|_, (_, at)| now.since(*at) < RETENTION);
    }
}
