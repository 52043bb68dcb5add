//! Decides whether a request is taken, and keeps what was expected of it.

use super::driver::Driver;
use super::routing;
use crate::placing::PlacedAt;
use shelfjunction_core::forwarding::RepeatRule;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::outcome::{Refusal, RefusalReason};
use shelfjunction_core::placing::question::{
    AdmissionVerdict, Placement as Placed, PlacementAnswer, PlacementKind,
};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::routing::pool::{
    Admission, AdmissionDecision, LATE_RANK, PoolRoute, RequestConstraints, RequestTiming, rank_for_priority,
};
use shelfjunction_core::sharing::Standing;
use shelfjunction_core::spill::question::SpillReason;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Rank at engines of what can't be in time, behind every other; engines know ranks from 0, served first, to 9.
const LATE_URGENCY: u8 = 9;

/// What was expected of a request that was taken to be in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promise {
    /// When it was taken.
    pub(super) made_at: MonotonicTime,
    /// Expected time until its first event.
    pub(super) expected: Duration,
    /// Time within which it is worth most.
    target: Duration,
}

impl Driver<'_> {
    /// The first choice of engines for a request, which also decides whether it is taken.
    pub(super) fn admit(&mut self, now: MonotonicTime) {
        if self.lacks_home_engines(now) {
            let placement = self.spill(SpillReason::NoEngine, None);
            if placement.is_some() {
                return self.placed(placement);
            }
        }
        let timing = RequestTiming {
            target: self.route.target_latency,
            remaining: routing::left(self.deadline, now),
            is_retry: self.returned,
        };
        if let Some((answer, at)) = self.ask(|| PlacementKind::Admission(timing))
            && let Some(verdict) = answer.verdict
        {
            self.overuse_factor = f64::from(verdict.standing.shortened);
            self.log_admission(Judged::of(&verdict), timing);
            let reason = SpillReason::of_verdict(verdict.admission, answer.placement != Placed::Nowhere);
            let elsewhere = reason.and_then(|reason| self.spill(reason, Some(at)));
            if elsewhere.is_some() {
                return self.placed(elsewhere);
            }
            return self.follow(verdict.admission, &answer, at);
        }
        let settings = &self.context.config.admission;
        let decision = lock(&self.context.router).admit_or_grow(&self.query(&[], now), timing, settings, now);
        self.overuse_factor = f64::from(decision.standing.shortened);
        self.log_admission(Judged::by(&decision), timing);
        if !decision.expected.is_zero() {
            let query = self.query(&[], now);
            lock(&self.context.router).on_admission(&query, &decision, timing, settings, now);
        }
        let reason = SpillReason::of_verdict(decision.admission, decision.route != PoolRoute::Nowhere)
            .or_else(|| self.objection_to(&decision.route, &[], now));
        let elsewhere = reason.and_then(|reason| self.spill(reason, None));
        if elsewhere.is_some() {
            return self.placed(elsewhere);
        }
        match decision.admission {
            Admission::InTime => {
                self.promise = (!decision.expected.is_zero()).then_some(Promise {
                    made_at: now,
                    expected: decision.expected,
                    target: timing.target,
                });
            }
            Admission::Late => self.late = true,
            Admission::Refused { retry_after } => return self.refuse(retry_after),
        }
        if decision.route == PoolRoute::Nowhere {
            return self.choose_alone(&[], now);
        }
        self.placed(routing::placement(decision.route));
    }

    /// Does what a placer has decided.
    fn follow(&mut self, admission: Admission, answer: &PlacementAnswer, at: PlacedAt) {
        match admission {
            Admission::InTime => {}
            Admission::Late => self.late = true,
            Admission::Refused { retry_after } => return self.refuse(retry_after),
        }
        let placement = self.adopt(answer, at);
        if placement.is_some() {
            return self.placed(placement);
        }
        let now = self.context.now();
        if answer.placement != Placed::Nowhere {
            // The placer did not know what this node knows of the engine, and chooses again without it.
            return self.choose_anew(&[], now);
        }
        self.choose_alone(&[], now);
    }

    fn refuse(&mut self, retry_after: Duration) {
        self.take(Event::Nowhere(Refusal {
            reason: RefusalReason::Overloaded,
            retry_after: Some(retry_after),
        }));
    }

    /// What the request is owed beside its answer.
    pub(super) fn constraints(&self) -> RequestConstraints {
        let tenant = self.access.tenant.as_ref();
        RequestConstraints {
            tenant: tenant.map(|tenant| SubjectHandle::of_text("tenant", tenant.as_str())),
            max_event_gap: self.route.event_gap,
            single_try: self.route.repeat == RepeatRule::Never || self.route.maximum_runs <= 1,
            kind_rank: self.route.priority,
        }
    }

    /// Rank under which the request's work is counted and told to other nodes.
    pub(super) fn rank(&self) -> usize {
        if self.late {
            LATE_RANK
        } else {
            rank_for_priority(self.access.priority)
        }
    }

    /// Rank of the request among those at an engine.
    pub(super) fn urgency(&self) -> u8 {
        if self.late {
            LATE_URGENCY
        } else {
            self.access.urgency
        }
    }

    /// The first event came: what was expected of it is compared with the time it took.
    pub(super) fn judge_promise(&mut self, now: MonotonicTime) {
        if let Some(promise) = self.promise.take() {
            let took = now.since(promise.made_at);
            let mut router = lock(&self.context.router);
            router.on_first_event(&self.query(&[], now), promise.expected, took);
            let sharing = &self.context.config.admission.sharing;
            if sharing.kinds {
                let (kind, in_time) = (usize::from(self.route.priority), took <= promise.target);
                let window = sharing.window();
                router
                    .sharing_mut()
                    .on_outcome(&self.pool, kind, in_time, window, now);
            }
        }
    }

    pub(super) fn log_admission(&self, judged: Judged, timing: RequestTiming) {
        if judged.expected.is_zero() {
            return;
        }
        self.context.metrics.admission(judged.result());
        log::info!(
            request = self.call.request.as_str(),
            admission:? = judged.admission,
            expected_millis = judged.expected.as_millis() as u64,
            error_percent = (judged.error * 100.0) as u64,
            turned_away_percent = (judged.turned_away * 100.0) as u64,
            target_millis = timing.target.as_millis() as u64,
            left_millis = timing.remaining.as_millis() as u64,
            returned = timing.is_retry,
            tenant = self.access.tenant_name(),
            contended = judged.standing.contended,
            tenant_tokens = judged.standing.tenant_use,
            tenant_share_tokens = judged.standing.tenant_share,
            kind_lead_percent = judged.standing.kind_lead,
            shortened_percent = (judged.standing.shortened * 100.0) as u64;
            "admission_decided"
        );
    }
}

/// How a request was judged, here or by a placer.
pub(super) struct Judged {
    admission: Admission,
    expected: Duration,
    error: f64,
    turned_away: f64,
    standing: Standing,
}

impl Judged {
    /// Name of the outcome for metrics.
    fn result(&self) -> &'static str {
        let is_kept_short = self.standing.shortened > 1.0;
        match (self.admission, is_kept_short) {
            (Admission::InTime, _) => "in_time",
            (Admission::Late, false) => "late",
            (Admission::Late, true) => "late_beyond_share",
            (Admission::Refused { .. }, false) => "refused",
            (Admission::Refused { .. }, true) => "refused_beyond_share",
        }
    }

    fn by(decision: &AdmissionDecision) -> Self {
        Self {
            admission: decision.admission,
            expected: decision.expected,
            error: decision.error_factor,
            turned_away: decision.late_or_refused_share,
            standing: decision.standing,
        }
    }

    pub(super) fn of(verdict: &AdmissionVerdict) -> Self {
        Self {
            admission: verdict.admission,
            expected: verdict.expected,
            error: f64::from(verdict.error),
            turned_away: f64::from(verdict.late_or_refused_share),
            standing: verdict.standing,
        }
    }
}
