//! Hands a request to another region where its home region does not serve it in time ([`shelfjunction_core::spill`]).

use super::admitting::Judged;
use super::driver::Driver;
use super::routing;
use crate::context::Context;
use crate::peers::Placing;
use crate::placing::{self, PlacedAt};
use crate::spill::AskedRegion;
use shelfjunction_core::identity::{EngineId, RegionId};
use shelfjunction_core::placing::question::{DispatchProgress, PlacementAnswer, PlacementKind};
use shelfjunction_core::request::specification::Placement;
use shelfjunction_core::routing::pool::{PoolQuery, PoolRoute, RequestTiming};
use shelfjunction_core::spill::asking::MAX_REGIONS_ASKED;
use shelfjunction_core::spill::question::{RequestKind, SpillReason};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// What a request's course knows of other regions.
#[derive(Default)]
pub(super) struct SpillCourse {
    /// Whether other regions may be asked at all.
    pub(super) is_allowed: bool,
    /// Region that accepted the request; its placers choose all further engines.
    pub(super) accepted_by: Option<RegionId>,
    /// Whether other regions were asked about the present decision.
    was_asked: bool,
    /// Regions that accepted the request and then had no engine for it.
    left: Vec<RegionId>,
    /// First reason for which the home region did not serve the request in time.
    home_verdict: Option<SpillReason>,
    was_counted: bool,
    /// Whether any other region was known when the request was to be handed over.
    pub(super) knew_regions: bool,
}

impl SpillCourse {
    /// The course of a request for which other regions may be asked if `is_allowed`.
    pub(super) fn new(is_allowed: bool) -> Self {
        Self {
            is_allowed,
            ..Self::default()
        }
    }

    /// A new decision about the request begins.
    pub(super) fn begin_decision(&mut self) {
        self.was_asked = false;
    }
}

impl Driver<'_> {
    /// Asks other regions whether one accepts the request, before the home verdict takes effect; the engines there if one does.
    /// `home` is the placer that gave the verdict. Does nothing if they were asked about this decision already.
    pub(super) fn spill(&mut self, reason: SpillReason, home: Option<PlacedAt>) -> Option<Placement> {
        if !self.spill.is_allowed || std::mem::replace(&mut self.spill.was_asked, true) {
            return None;
        }
        self.spill.home_verdict.get_or_insert(reason);
        let mut asked = self.spill.left.clone();
        for _ in 0..MAX_REGIONS_ASKED {
            let placement = self.ask_next_region(reason, &mut asked)?;
            if placement.is_some() {
                if let Some(home) = home {
                    placing::tell(self.context, &home, DispatchProgress::Abandoned);
                }
                return placement;
            }
        }
        None
    }

    /// Asks the next region; absent if none is left, and `Some(None)` if it does not serve the request.
    fn ask_next_region(
        &mut self,
        reason: SpillReason,
        asked: &mut Vec<RegionId>,
    ) -> Option<Option<Placement>> {
        let context = self.context;
        let target_left = self.target_left();
        let kind = RequestKind::of(&self.summary(context.now())?);
        let subject = self.subject();
        let (next, knows_any) = context
            .spill
            .next_region(context, asked, &kind, subject, target_left);
        self.spill.knew_regions |= knows_any;
        let Some(view) = next else {
            self.log_spill(reason, None, ("none_left", ""), asked.len());
            return None;
        };
        let timing = RequestTiming {
            target: view.target_after_answer(target_left),
            remaining: routing::left(self.deadline, context.now()),
            is_retry: false,
        };
        let question = self.question(PlacementKind::Admission(timing))?;
        asked.push(view.region.clone());
        let answered = context.spill.ask(context, &view, question, reason, subject);
        self.log_spill(reason, Some(&view.region), answered.names(), asked.len());
        let AskedRegion::Accepted { answer, at } = answered else {
            return Some(None);
        };
        Some(self.adopt_elsewhere(&answer, at, view.region, timing))
    }

    fn adopt_elsewhere(
        &mut self,
        answer: &PlacementAnswer,
        at: PlacedAt,
        region: RegionId,
        timing: RequestTiming,
    ) -> Option<Placement> {
        let placement = self.adopt(answer, at)?;
        if let Some(verdict) = answer.verdict {
            self.overuse_factor = f64::from(verdict.standing.shortened);
            self.log_admission(Judged::of(&verdict), timing);
        }
        self.late = false;
        self.placer = Some(at.placer);
        self.home_region = Some(region.clone());
        self.spill.accepted_by = Some(region);
        Some(placement)
    }

    /// Lets the home region choose again, after the region that accepted the request has found no engine.
    pub(super) fn return_home(&mut self, at: Option<PlacedAt>) {
        let Some(region) = self.spill.accepted_by.take() else {
            return;
        };
        log::info!(request = self.call.request.as_str(), region = region.as_str(); "spill_returned_home");
        if let Some(at) = at {
            placing::tell(self.context, &at, DispatchProgress::Abandoned);
        }
        self.spill.left.push(region);
        self.placer = None;
        self.home_region = home_region(self.context, self.prompt.is_some());
    }

    /// Whether this node knows engines for the request in other regions and none at home, so that asking at home only costs time.
    pub(super) fn lacks_home_engines(&self, now: MonotonicTime) -> bool {
        if !self.spill.is_allowed {
            return false;
        }
        let router = lock(&self.context.router);
        let query = self.query(&[], now);
        let anywhere = PoolQuery {
            region: None,
            ..query.clone()
        };
        !router.has_engine_in_region(&query, now) && router.has_engine_in_region(&anywhere, now)
    }

    /// Reason to ask other regions where this node's own router has chosen `route` at home.
    pub(super) fn objection_to(
        &self,
        route: &PoolRoute,
        excluded: &[EngineId],
        now: MonotonicTime,
    ) -> Option<SpillReason> {
        if !self.spill.is_allowed {
            return None;
        }
        let is_none = *route == PoolRoute::Nowhere
            || lock(&self.context.router).is_last_resort(route, &self.query(excluded, now), now);
        is_none.then_some(SpillReason::NoEngine)
    }

    /// Time after which another region may be asked again, for a request that no region takes.
    pub(super) fn time_until_spill(&self) -> Option<Duration> {
        if !self.spill.is_allowed {
            return None;
        }
        let request = self.summary(self.context.now())?;
        let kind = RequestKind::of(&request);
        self.context.spill.time_until_asked(self.context, &kind)
    }

    /// Counts the request once, by the region that serves it.
    pub(super) fn count_region(&mut self) {
        if !self.spill.is_allowed || std::mem::replace(&mut self.spill.was_counted, true) {
            return;
        }
        let place = if self.spill.accepted_by.is_some() {
            "away"
        } else {
            "home"
        };
        let verdict = self.spill.home_verdict.map_or("in_time", SpillReason::name);
        self.context.metrics.spill.served(place, verdict);
    }

    /// What is left of the target time until the first event.
    fn target_left(&self) -> Duration {
        let elapsed = self.context.now().since(self.arrived);
        self.route.target_latency.saturating_sub(elapsed)
    }

    fn log_spill(
        &self,
        reason: SpillReason,
        region: Option<&RegionId>,
        (result, decline_reason): (&str, &str),
        asked: usize,
    ) {
        log::info!(
            request = self.call.request.as_str(),
            number = self.draw,
            step = self.step,
            home_verdict = reason.name(),
            region = region.map_or("", RegionId::as_str),
            result,
            reason = decline_reason,
            asked,
            target_left_millis = self.target_left().as_millis() as u64;
            "spill_decided"
        );
    }
}

/// The home region of a request whose engines are chosen by placers: the router of a node knows the load of engines elsewhere only in
/// a fleet without placers.
pub(super) fn home_region(context: &Context, has_prompt: bool) -> Option<RegionId> {
    let has_placers = context.peers.placing(context.now()) != Placing::Each;
    let topology = context.peers.topology();
    topology
        .own_region()
        .filter(|_| has_prompt && has_placers)
        .cloned()
}
