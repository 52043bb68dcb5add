//! State that a placer keeps for the requests that it has placed.
//!
//! When a placer answers a query, it records the chosen dispatch in the [`PoolRouter`]; the node that sent the query then
//! reports the progress of the dispatch. Datagrams may be lost, delayed or duplicated: a duplicate query gets the same
//! answer, a new query for a request ends its previous dispatch, and requests without further reports expire.

use super::prediction::LatencyPrediction;
use super::question::{
    AdmissionVerdict, ChosenEngine, DispatchProgress, Placement, PlacementAnswer, PlacementKind,
    PlacementQuery, ProgressReport, RequestKey, RequestSummary,
};
use crate::identity::{EngineId, RegionId};
use crate::membership::subject::SubjectHandle;
use crate::rate_limit::max_wait::WaitFactors;
use crate::routing::pool::{
    Admission, KvCacheSource, LATE_RANK, PoolAdmission, PoolEngine, PoolQuery, PoolRoute, PoolRouter,
    PoolTicket, PrefixBlock, RequestTiming,
};
use crate::sharing::Charge;
use crate::spill::accepting::RegionRoom;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a request is kept after its deadline, so that late reports are still accepted.
const LATE_REPORT_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of requests in the table, about ten seconds of load of the busiest placer in a fleet of the target
/// size. If it is full, queries for other requests get no answer.
const MAX_PLACED_REQUESTS: usize = 20_000;

/// Interval between removals of expired requests.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Fraction of the maximum event gap that one unit of a reported pause represents.
const REPORTED_PAUSE_UNIT: f64 = 0.01;

/// Dispatch of a request that is currently recorded in the router.
#[derive(Clone, Debug)]
enum ActiveDispatch {
    Prefill(PoolTicket),
    Decode(PoolTicket),
    Inactive,
}

#[derive(Clone, Debug)]
struct PlacedRequest {
    request: RequestSummary,
    /// Region of this placer, whose engines the request may use; absent in a deployment that is not regional.
    region: Option<RegionId>,
    /// Whether the node that sends the queries is in another region, so that its reports arrive much later than the events.
    is_distant: bool,
    prefixes: Vec<PrefixBlock>,
    dispatch: ActiveDispatch,
    prediction: Option<LatencyPrediction>,
    /// Charge to the tenant's budget that is refunded if the placement is not used; `None` once the request has started.
    charge: Option<Charge>,
    /// Prompt tokens that the last answer counted as demand, and when; taken back if the request is served elsewhere. Recorded in
    /// a regional deployment only.
    counted_demand: Option<(f64, MonotonicTime)>,
    last_answer: PlacementAnswer,
    expires_at: MonotonicTime,
}

/// A request as a placer judges it without placing it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JudgedRequest {
    /// Whether it would be admitted, and whether in time.
    pub admission: Admission,
    /// Whether engines can take it that are not avoided for now.
    pub has_engine: bool,
    /// Prefill time that it takes of an engine, in seconds.
    pub prefill_seconds: f64,
    /// Free capacity of the region for requests of its pool and model.
    pub room: RegionRoom,
}

/// Table of the requests for which a placer has answered a query.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    requests: BTreeMap<RequestKey, PlacedRequest>,
    swept_at: MonotonicTime,
}

impl PlacementTable {
    /// Answers a query and records the chosen dispatch. Returns `None` if the table is full or a later query for the request has
    /// been answered.
    pub fn answer(
        &mut self,
        router: &mut PoolRouter,
        query: &PlacementQuery,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> Option<PlacementAnswer> {
        self.sweep(router, now);
        let previous = self.requests.remove(&query.key);
        if let Some(previous) = previous {
            if previous.last_answer.step >= query.step {
                let answer = previous.last_answer;
                self.requests.insert(query.key, previous);
                return (answer.step == query.step).then_some(answer);
            }
            return Some(self.answer_next(router, previous, query, settings, now));
        }
        if self.requests.len() >= MAX_PLACED_REQUESTS {
            return None;
        }
        let placed = PlacedRequest::new(router, query, now);
        Some(self.answer_next(router, placed, query, settings, now))
    }

    /// Step of the last query for a request that was answered; absent if the request is not in the table.
    pub fn answered_step(&self, key: RequestKey) -> Option<u32> {
        self.requests.get(&key).map(|placed| placed.last_answer.step)
    }

    /// What the answer to a query for admission would be, without recording it. Engines that are avoided for now do not count.
    pub fn judge(
        &self,
        router: &mut PoolRouter,
        query: &PlacementQuery,
        timing: RequestTiming,
        settings: &PoolAdmission,
        queue_limit: Duration,
        now: MonotonicTime,
    ) -> JudgedRequest {
        let placed = PlacedRequest::new(router, query, now);
        let pool_query = placed.pool_query(query.key, &[]);
        let decision = router.admit_or_grow(&pool_query, timing, settings, now);
        let speed = router.speeds(&query.request.pool).prefill;
        let output = f64::from(query.request.prompt.expected_output_tokens());
        JudgedRequest {
            admission: decision.admission,
            has_engine: decision.route != PoolRoute::Nowhere
                && !router.is_last_resort(&decision.route, &pool_query, now),
            prefill_seconds: speed.seconds((decision.tokens - output).max(0.0)),
            room: router.region_room(&pool_query, queue_limit, now),
        }
    }

    fn answer_next(
        &mut self,
        router: &mut PoolRouter,
        mut placed: PlacedRequest,
        query: &PlacementQuery,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> PlacementAnswer {
        placed.request = query.request.clone();
        placed.expires_at = now + query.request.remaining + LATE_REPORT_GRACE;
        placed.end_previous_dispatch(router, &query.kind, now);
        let counted_before = router.counted_demand_tokens(now);
        let (verdict, placement) = match &query.kind {
            PlacementKind::Admission(timing) => {
                let (verdict, placement) = placed.admit(router, query.key, *timing, settings, now);
                (Some(verdict), placement)
            }
            PlacementKind::Retry { excluded } => (None, placed.choose(router, query.key, excluded, now)),
            PlacementKind::Decode { source, excluded, .. } => {
                let placement = placed.choose_decode(router, query.key, *source, excluded, now);
                (None, placement)
            }
        };
        if placed.region.is_some() {
            let counted = router.counted_demand_tokens(now) - counted_before;
            placed.counted_demand = Some((counted, now));
        }
        placed.last_answer = PlacementAnswer {
            key: query.key,
            step: query.step,
            verdict,
            placement,
        };
        let answer = placed.last_answer;
        self.requests.insert(query.key, placed);
        answer
    }

    /// Processes a progress report; reports that don't refer to the last answer for the request are ignored.
    pub fn on_progress(&mut self, router: &mut PoolRouter, report: &ProgressReport, now: MonotonicTime) {
        let Some(placed) = self.requests.get_mut(&report.key) else {
            return;
        };
        if placed.last_answer.step != report.step {
            return;
        }
        let ended = placed.on_progress(router, &report.progress, now);
        if ended {
            self.requests.remove(&report.key);
        }
    }

    /// Engine of a request's current dispatch; `None` if there is no dispatch.
    pub fn engine_of(&self, key: &RequestKey) -> Option<&EngineId> {
        match &self.requests.get(key)?.dispatch {
            ActiveDispatch::Prefill(ticket) | ActiveDispatch::Decode(ticket) => Some(ticket.engine()),
            ActiveDispatch::Inactive => None,
        }
    }

    /// Number of requests in the table.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the table holds no requests.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Removes expired requests, at most once per sweep interval.
    pub fn sweep(&mut self, router: &mut PoolRouter, now: MonotonicTime) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.requests.retain(|_, placed| {
            let is_current = placed.expires_at > now;
            if !is_current {
                placed.abandon(router, now);
            }
            is_current
        });
    }
}

impl PlacedRequest {
    /// A request without an answer.
    fn new(router: &PoolRouter, query: &PlacementQuery, now: MonotonicTime) -> Self {
        let region = router.topology().own_region().cloned();
        Self {
            request: query.request.clone(),
            is_distant: region
                .as_ref()
                .is_some_and(|region| !router.topology().contains(region, &query.request.zone)),
            region,
            prefixes: query.request.prompt.prefixes(),
            dispatch: ActiveDispatch::Inactive,
            prediction: None,
            charge: None,
            counted_demand: None,
            last_answer: PlacementAnswer {
                key: query.key,
                step: 0,
                verdict: None,
                placement: Placement::Nowhere,
            },
            expires_at: now,
        }
    }

    /// Ends the current dispatch before a new query for the request is answered.
    fn end_previous_dispatch(&mut self, router: &mut PoolRouter, kind: &PlacementKind, now: MonotonicTime) {
        match (
            std::mem::replace(&mut self.dispatch, ActiveDispatch::Inactive),
            kind,
        ) {
            (ActiveDispatch::Prefill(ticket), PlacementKind::Decode { reported_load, .. }) => {
                self.charge = None;
                if let Some(reported_load) = reported_load {
                    router.on_reported_load(ticket.engine(), *reported_load, now);
                }
                router.on_prompt_prefilled(&ticket, &self.prefixes, now);
            }
            (ActiveDispatch::Prefill(ticket) | ActiveDispatch::Decode(ticket), _) => {
                router.on_abandoned(&ticket)
            }
            (ActiveDispatch::Inactive, _) => {}
        }
    }

    fn abandon(&mut self, router: &mut PoolRouter, now: MonotonicTime) {
        self.refund_charge(router, now);
        if let ActiveDispatch::Prefill(ticket) | ActiveDispatch::Decode(ticket) =
            std::mem::replace(&mut self.dispatch, ActiveDispatch::Inactive)
        {
            router.on_abandoned(&ticket);
        }
    }

    /// Refunds the charge of an answer that was not used because the node asked another placer or the caller disconnected.
    fn refund_charge(&mut self, router: &mut PoolRouter, now: MonotonicTime) {
        if let Some(charge) = self.charge.take() {
            router.sharing_mut().take_back(&self.request.pool, charge, now);
        }
    }

    fn admit(
        &mut self,
        router: &mut PoolRouter,
        key: RequestKey,
        timing: RequestTiming,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> (AdmissionVerdict, Placement) {
        let decision = router.admit_or_grow(&self.pool_query(key, &[]), timing, settings, now);
        if !decision.expected.is_zero() {
            self.refund_charge(router, now);
            let query = self.pool_query(key, &[]);
            self.charge = router.on_admission(&query, &decision, timing, settings, now);
        }
        let admitted_in_time = decision.admission == Admission::InTime && !decision.expected.is_zero();
        self.prediction = (admitted_in_time && !self.is_distant).then_some(LatencyPrediction {
            made_at: now,
            expected: decision.expected,
            target: timing.target,
            outcome_window: settings.sharing.kinds.then(|| settings.sharing.window()),
        });
        if decision.admission == Admission::Late {
            self.request.rank = LATE_RANK as u8;
        }
        let verdict = AdmissionVerdict {
            admission: decision.admission,
            expected: decision.expected,
            error: decision.error_factor as f32,
            late_or_refused_share: decision.late_or_refused_share as f32,
            standing: decision.standing,
        };
        let route = self.without_last_resort(router, key, decision.route, &[], now);
        (verdict, self.place(router, key, route, now))
    }

    /// In a regional deployment, a placer names no engines that are avoided for now: the node asks other regions before it falls back
    /// to them by itself.
    fn without_last_resort(
        &self,
        router: &PoolRouter,
        key: RequestKey,
        route: PoolRoute,
        excluded: &[EngineId],
        now: MonotonicTime,
    ) -> PoolRoute {
        let is_last_resort =
            self.region.is_some() && router.is_last_resort(&route, &self.pool_query(key, excluded), now);
        if is_last_resort { PoolRoute::Nowhere } else { route }
    }

    fn choose(
        &mut self,
        router: &mut PoolRouter,
        key: RequestKey,
        excluded: &[SubjectHandle],
        now: MonotonicTime,
    ) -> Placement {
        let excluded = router.engines_by_handle(excluded);
        let route = router.choose_or_grow(&self.pool_query(key, &excluded), now);
        let route = self.without_last_resort(router, key, route, &excluded, now);
        self.place(router, key, route, now)
    }

    fn place(
        &mut self,
        router: &mut PoolRouter,
        key: RequestKey,
        route: PoolRoute,
        now: MonotonicTime,
    ) -> Placement {
        match route {
            PoolRoute::Whole(engine) => {
                let chosen = self.describe_engine(router, key, &engine, now);
                let ticket = router.on_output_sent(
                    &engine.id,
                    &self.pool_query(key, &[]),
                    KvCacheSource::Prefill,
                    now,
                );
                self.note_dispatch(router, ActiveDispatch::Decode(ticket));
                Placement::One(chosen)
            }
            PoolRoute::Split { prefill, decode } => {
                let chosen = self.describe_engine(router, key, &prefill, now);
                let query = self.pool_query(key, &[]);
                let expected = router.prefill_delay(&prefill.id, &query, now).unwrap_or_default();
                let ticket = router.on_prompt_sent(&prefill.id, &query, now);
                self.note_dispatch(router, ActiveDispatch::Prefill(ticket));
                Placement::Split {
                    prefill: chosen,
                    decode: router.handle_of(&decode.id),
                    expected,
                }
            }
            PoolRoute::Nowhere => Placement::Nowhere,
        }
    }

    fn choose_decode(
        &mut self,
        router: &mut PoolRouter,
        key: RequestKey,
        source: SubjectHandle,
        excluded: &[SubjectHandle],
        now: MonotonicTime,
    ) -> Placement {
        let excluded = router.engines_by_handle(excluded);
        // Another placer may have chosen the engine that ran prefill.
        let Some(source) = router.bring_into_use(source) else {
            return Placement::Nowhere;
        };
        let Some(engine) = router.choose_decode_or_grow(&self.pool_query(key, &excluded), &source, now)
        else {
            return Placement::Nowhere;
        };
        let mut chosen = self.describe_engine(router, key, &engine, now);
        chosen.fetch_from = None;
        let ticket = router.on_output_sent(
            &engine.id,
            &self.pool_query(key, &[]),
            KvCacheSource::Transfer,
            now,
        );
        self.note_dispatch(router, ActiveDispatch::Decode(ticket));
        Placement::One(chosen)
    }

    fn note_dispatch(&mut self, router: &mut PoolRouter, dispatch: ActiveDispatch) {
        if let ActiveDispatch::Prefill(ticket) | ActiveDispatch::Decode(ticket) = &dispatch
            && self.is_distant
        {
            router.exclude_from_measurements(ticket);
        }
        self.dispatch = dispatch;
    }

    /// Describes the load and cache state of an engine before the dispatch to it is recorded.
    fn describe_engine(
        &self,
        router: &PoolRouter,
        key: RequestKey,
        engine: &PoolEngine,
        now: MonotonicTime,
    ) -> ChosenEngine {
        let query = self.pool_query(key, &[]);
        let estimate = router.estimate(&engine.id, &query, now);
        ChosenEngine {
            engine: router.handle_of(&engine.id),
            fetch_from: router.fetch_source(&engine.id, &query, now),
            prompt_tokens_ahead: estimate.prompt_tokens_ahead,
            requests: estimate.requests,
            held_tokens: estimate.held_tokens,
            oldest_report_age: estimate.oldest_report_age,
            work_factor_percent: estimate.work_factor_percent,
            reported_pace_age: estimate.reported_pace_age,
        }
    }

    /// Maximum wait for a slot at a rate-limited engine. Assumes a first attempt, because only the node that sent the query
    /// knows about earlier ones; that node also requests the slot.
    fn slot_max_wait(&self) -> Duration {
        let factors = WaitFactors {
            rank: usize::from(self.request.rank),
            remaining: self.request.remaining,
            is_retry_or_prefilled: false,
            overuse_factor: 1.0,
        };
        factors.max_wait()
    }

    fn pool_query<'q>(&'q self, key: RequestKey, excluded: &'q [EngineId]) -> PoolQuery<'q> {
        PoolQuery {
            from_this_node: false,
            pool: &self.request.pool,
            prompt: Some(&self.request.prompt),
            prefixes: &self.prefixes,
            zone: &self.request.zone,
            region: self.region.as_ref(),
            excluded,
            last_resort: false,
            constraints: self.request.constraints,
            rank: usize::from(self.request.rank),
            remaining: self.request.remaining,
            slot_max_wait: self.slot_max_wait(),
            draw: key.number,
            origin: self.request.origin.as_ref(),
        }
    }

    /// Processes the progress of the current dispatch. Returns whether the request can be removed from the table.
    fn on_progress(
        &mut self,
        router: &mut PoolRouter,
        progress: &DispatchProgress,
        now: MonotonicTime,
    ) -> bool {
        if *progress == DispatchProgress::Abandoned
            && let Some((tokens, counted_at)) = self.counted_demand.take()
        {
            // Demand counts where it is served, so that each region plans its engines for what it serves.
            router.withdraw_demand(tokens, counted_at, now);
        }
        let ticket = match &self.dispatch {
            ActiveDispatch::Prefill(ticket) | ActiveDispatch::Decode(ticket) => ticket.clone(),
            ActiveDispatch::Inactive => {
                // Another region serves a request for which there was no engine here.
                if self.region.is_some() && *progress == DispatchProgress::Abandoned {
                    self.refund_charge(router, now);
                }
                return true;
            }
        };
        // Nodes of this region reach the engine, so the path between the regions is at fault.
        let is_path_fault = self.is_distant
            && router
                .engine(ticket.engine())
                .is_some_and(|state| state.answered_recently(now));
        match progress {
            DispatchProgress::ConnectionFailed | DispatchProgress::Unresponsive if is_path_fault => {
                router.on_abandoned(&ticket);
            }
            DispatchProgress::Started { reported_load } => {
                self.charge = None;
                if let Some(reported_load) = reported_load {
                    router.on_reported_load(ticket.engine(), *reported_load, now);
                }
                router.on_output_started(&ticket, &self.prefixes, now);
                if let Some(prediction) = self.prediction.take() {
                    let key = self.last_answer.key;
                    prediction.record_outcome(router, &self.pool_query(key, &[]), now);
                }
                return false;
            }
            DispatchProgress::Paused { .. } => {
                router.on_event_gap_exceeded(&ticket);
                return false;
            }
            DispatchProgress::Answered { pauses } => {
                for pause in pauses {
                    router.on_pause(&ticket, f64::from(*pause) * REPORTED_PAUSE_UNIT, now);
                }
                router.on_output_ended(&ticket, now);
                router.on_completed(&ticket);
            }
            DispatchProgress::Refused {
                reason,
                reported_load,
            } => {
                if let Some(reported_load) = reported_load {
                    router.on_reported_load(ticket.engine(), *reported_load, now);
                }
                router.on_refused(&ticket, *reason, now);
            }
            DispatchProgress::ConnectionFailed => router.on_connection_failed(&ticket, now),
            DispatchProgress::Unresponsive => router.on_unanswered_request(&ticket, now),
            DispatchProgress::Abandoned => {
                self.refund_charge(router, now);
                router.on_abandoned(&ticket);
            }
        }
        self.dispatch = ActiveDispatch::Inactive;
        // After a failure the node sends a new query, and a duplicate of the last one must still be recognised.
        matches!(
            progress,
            DispatchProgress::Answered { .. } | DispatchProgress::Abandoned
        )
    }
}
