//! Answers the question of another region from the router and the placements of a placer.

use super::accepting::{RegionState, SpillGate, SpillOffer};
use super::config::SpillSettings;
use super::question::{Decline, DeclineReason, SpillAnswer, SpillQuestion};
use crate::placing::placement_table::PlacementTable;
use crate::placing::question::{Placement, PlacementKind, PlacementQuery};
use crate::routing::pool::{Admission, PoolAdmission, PoolRouter, RequestTiming};
use crate::time::MonotonicTime;
use std::time::Duration;

/// What a placer answers from.
pub struct SpillServer<'a> {
    /// Requests of other regions at this placer.
    pub gate: &'a mut SpillGate,
    /// Its placements.
    pub table: &'a mut PlacementTable,
    /// Its router.
    pub router: &'a mut PoolRouter,
    /// Settings of admission.
    pub admission: &'a PoolAdmission,
    /// Settings of spillover.
    pub settings: &'a SpillSettings,
    /// Number of placers of its region.
    pub placers: usize,
    /// Round trip to the asking region as this placer measured it; absent before its first measurement.
    pub round_trip: Option<Duration>,
}

impl SpillServer<'_> {
    /// Answers a question. A duplicate gets the answer that the first got. Absent if the question does not ask for admission, if a
    /// later query for the request has been answered, or if the request has ended.
    pub fn answer(&mut self, question: &SpillQuestion, now: MonotonicTime) -> Option<SpillAnswer> {
        let PlacementKind::Admission(timing) = question.query.kind else {
            return None;
        };
        let (key, step) = (question.query.key, question.query.step);
        if let Some(decline) = self.gate.earlier_decline(key, step) {
            return Some(SpillAnswer::Declined(decline));
        }
        let round_trip = self.round_trip_to(question);
        let timing = RequestTiming {
            target: timing.target.saturating_sub(round_trip),
            ..timing
        };
        let query = PlacementQuery {
            kind: PlacementKind::Admission(timing),
            ..question.query.clone()
        };
        let answered = self.table.answered_step(key);
        if answered.is_some_and(|answered| answered > step) || self.gate.has_ended(key, step) {
            return None;
        }
        if answered != Some(step)
            && let Err(decline) = self.decide(&query, timing, round_trip, now)
        {
            self.gate.remember_decline(key, step, decline, now);
            return Some(SpillAnswer::Declined(decline));
        }
        let answer = self.table.answer(self.router, &query, self.admission, now);
        let Some(answer) = answer.filter(|answer| answer.placement != Placement::Nowhere) else {
            // The table is full.
            let decline = Decline {
                reason: DeclineReason::NotReady,
                backoff: self.settings.backoff(),
            };
            self.gate.on_ended(key, step, now);
            self.gate.remember_decline(key, step, decline, now);
            return Some(SpillAnswer::Declined(decline));
        };
        Some(SpillAnswer::Accepted(Box::new(answer)))
    }

    /// The longer of the two measurements; the asking node's own may be old.
    fn round_trip_to(&self, question: &SpillQuestion) -> Duration {
        question
            .round_trip
            .unwrap_or_default()
            .max(self.round_trip.unwrap_or_default())
    }

    fn decide(
        &mut self,
        query: &PlacementQuery,
        timing: RequestTiming,
        round_trip: Duration,
        now: MonotonicTime,
    ) -> Result<(), Decline> {
        // An accepted prompt is under way for a round trip, in which it counts and occupies no engine.
        let queue_limit = self.settings.queue_limit() + round_trip;
        let judged = self
            .table
            .judge(self.router, query, timing, self.admission, queue_limit, now);
        let offer = SpillOffer {
            key: query.key,
            has_engine: judged.has_engine,
            is_in_time: judged.admission == Admission::InTime,
            prefill_seconds: judged.prefill_seconds,
            remaining: query.request.remaining,
        };
        let region = RegionState {
            room: judged.room,
            last_rejection: self.router.last_rejection(),
            placers: self.placers,
        };
        self.gate.decide(&offer, &region, self.settings, now)
    }
}
