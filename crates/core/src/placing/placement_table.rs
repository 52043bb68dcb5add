//! What a placer keeps of the requests that it has placed.
//!
//! Each answer counts the dispatch that it names in the [`PoolRouter`] at once, and the node that asked tells how the
//! dispatch went on. Datagrams may be lost, late or doubled: a doubled question gets the same answer again, a new
//! question about a request ends what was counted for it before, and what nobody speaks of any more is forgotten when
//! the request's time is over.

use super::promise::Promise;
use super::question::{
    AdmissionVerdict, ChosenEngine, DispatchProgress, Placement, PlacementAnswer, PlacementKind,
    PlacementQuery, ProgressReport, RequestKey, RequestSummary,
};
use crate::identity::EngineId;
use crate::membership::subject::SubjectHandle;
use crate::rate_limit::max_wait::WaitFactors;
use crate::routing::pool::{
    Admission, KvCacheSource, LATE_RANK, PoolAdmission, PoolEngine, PoolQuery, PoolRoute, PoolRouter,
    PoolTicket, PrefixBlock, RequestTiming,
};
use crate::sharing::Charge;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a request's end for which it is kept, for a report that is late.
const KEPT_AFTER_END: Duration = Duration::from_millis(500);

/// Most requests that are kept; about ten seconds of the busiest placer of the target size.
const MOST_KEPT: usize = 20_000;

/// Time between two looks for requests whose time is over.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// Part of a pause that one unit of a report stands for.
const PAUSE_UNIT: f64 = 0.01;

/// What is counted for a request now.
#[derive(Clone, Debug)]
enum Counted {
    Prompt(PoolTicket),
    Output(PoolTicket),
    Nothing,
}

#[derive(Clone, Debug)]
struct Kept {
    request: RequestSummary,
    prefixes: Vec<PrefixBlock>,
    counted: Counted,
    promise: Option<Promise>,
    /// What its tenant was charged, as long as nobody has shown that the answer was followed.
    charge: Option<Charge>,
    last_answer: PlacementAnswer,
    until: MonotonicTime,
}

/// The requests that a placer has placed; holds no socket, thread or clock.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    kept: BTreeMap<RequestKey, Kept>,
    swept_at: MonotonicTime,
}

impl PlacementTable {
    /// Answers a question and counts the dispatch that the answer names; no answer where too many requests are kept.
    pub fn answer(
        &mut self,
        router: &mut PoolRouter,
        question: &PlacementQuery,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> Option<PlacementAnswer> {
        self.sweep(router, now);
        let before = self.kept.remove(&question.key);
        if let Some(before) = before {
            if before.last_answer.step >= question.step {
                let answer = before.last_answer;
                self.kept.insert(question.key, before);
                return (answer.step == question.step).then_some(answer);
            }
            return Some(self.answer_next(router, before, question, settings, now));
        }
        if self.kept.len() >= MOST_KEPT {
            return None;
        }
        let fresh = Kept {
            request: question.request.clone(),
            prefixes: question.request.prompt.prefixes(),
            counted: Counted::Nothing,
            promise: None,
            charge: None,
            last_answer: PlacementAnswer {
                key: question.key,
                step: 0,
                verdict: None,
                placement: Placement::Nowhere,
            },
            until: now,
        };
        Some(self.answer_next(router, fresh, question, settings, now))
    }

    fn answer_next(
        &mut self,
        router: &mut PoolRouter,
        mut kept: Kept,
        question: &PlacementQuery,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> PlacementAnswer {
        kept.request = question.request.clone();
        kept.until = now + question.request.remaining + KEPT_AFTER_END;
        kept.close(router, &question.kind, now);
        let (verdict, placement) = match &question.kind {
            PlacementKind::Admission(timing) => {
                let (verdict, placement) = kept.admit(router, question.key, *timing, settings, now);
                (Some(verdict), placement)
            }
            PlacementKind::Retry { excluded } => (None, kept.choose(router, question.key, excluded, now)),
            PlacementKind::Decode { source, excluded, .. } => {
                let placement = kept.choose_output(router, question.key, *source, excluded, now);
                (None, placement)
            }
        };
        kept.last_answer = PlacementAnswer {
            key: question.key,
            step: question.step,
            verdict,
            placement,
        };
        let answer = kept.last_answer;
        self.kept.insert(question.key, kept);
        answer
    }

    /// Takes what became of a dispatch; reports about anything else than the last answer are passed over.
    pub fn on_progress(&mut self, router: &mut PoolRouter, report: &ProgressReport, now: MonotonicTime) {
        let Some(kept) = self.kept.get_mut(&report.key) else {
            return;
        };
        if kept.last_answer.step != report.step {
            return;
        }
        let ended = kept.on_progress(router, &report.progress, now);
        if ended {
            self.kept.remove(&report.key);
        }
    }

    /// The engine at which a request is counted now.
    pub fn engine_of(&self, key: &RequestKey) -> Option<&EngineId> {
        match &self.kept.get(key)?.counted {
            Counted::Prompt(ticket) | Counted::Output(ticket) => Some(ticket.engine()),
            Counted::Nothing => None,
        }
    }

    /// Requests that are kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Forgets requests whose time is over.
    pub fn sweep(&mut self, router: &mut PoolRouter, now: MonotonicTime) {
        if now.since(self.swept_at) < SWEEP_EVERY {
            return;
        }
        self.swept_at = now;
        self.kept.retain(|_, kept| {
            let stays = kept.until > now;
            if !stays {
                kept.abandon(router, now);
            }
            stays
        });
    }
}

impl Kept {
    /// Ends what was counted before a further question, which says how that went.
    fn close(&mut self, router: &mut PoolRouter, kind: &PlacementKind, now: MonotonicTime) {
        match (std::mem::replace(&mut self.counted, Counted::Nothing), kind) {
            (Counted::Prompt(ticket), PlacementKind::Decode { reported_load, .. }) => {
                self.charge = None;
                if let Some(reported_load) = reported_load {
                    router.on_reported_load(ticket.engine(), *reported_load, now);
                }
                router.on_prompt_prefilled(&ticket, &self.prefixes, now);
            }
            (Counted::Prompt(ticket) | Counted::Output(ticket), _) => router.on_abandoned(&ticket),
            (Counted::Nothing, _) => {}
        }
    }

    fn abandon(&mut self, router: &mut PoolRouter, now: MonotonicTime) {
        self.take_back_charge(router, now);
        if let Counted::Prompt(ticket) | Counted::Output(ticket) =
            std::mem::replace(&mut self.counted, Counted::Nothing)
        {
            router.on_abandoned(&ticket);
        }
    }

    /// Takes back what an answer that nobody followed has charged: the node has asked another placer, or its caller left.
    fn take_back_charge(&mut self, router: &mut PoolRouter, now: MonotonicTime) {
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
        let decision = router.admit_or_grow(&self.query(key, &[]), timing, settings, now);
        if !decision.expected.is_zero() {
            self.take_back_charge(router, now);
            let query = self.query(key, &[]);
            self.charge = router.on_admission(&query, &decision, timing, settings, now);
        }
        let in_time = decision.admission == Admission::InTime && !decision.expected.is_zero();
        self.promise = in_time.then_some(Promise {
            made_at: now,
            expected: decision.expected,
            target: timing.target,
            kinds_window: settings.sharing.kinds.then(|| settings.sharing.window()),
        });
        if decision.admission == Admission::Late {
            self.request.rank = LATE_RANK as u8;
        }
        let verdict = AdmissionVerdict {
            admission: decision.admission,
            expected: decision.expected,
            error: decision.error_factor as f32,
            turned_away: decision.late_or_refused_share as f32,
            standing: decision.standing,
        };
        (verdict, self.place(router, key, decision.route, now))
    }

    fn choose(
        &mut self,
        router: &mut PoolRouter,
        key: RequestKey,
        excluded: &[SubjectHandle],
        now: MonotonicTime,
    ) -> Placement {
        let excluded = router.engines_by_handle(excluded);
        let route = router.choose_or_grow(&self.query(key, &excluded), now);
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
                let chosen = self.chosen(router, key, &engine, now);
                let ticket =
                    router.on_output_sent(&engine.id, &self.query(key, &[]), KvCacheSource::Prefill, now);
                self.counted = Counted::Output(ticket);
                Placement::One(chosen)
            }
            PoolRoute::Split { prefill, decode } => {
                let chosen = self.chosen(router, key, &prefill, now);
                let query = self.query(key, &[]);
                let expected = router.prefill_delay(&prefill.id, &query, now).unwrap_or_default();
                let ticket = router.on_prompt_sent(&prefill.id, &query, now);
                self.counted = Counted::Prompt(ticket);
                Placement::Split {
                    prefill: chosen,
                    decode: router.handle_of(&decode.id),
                    expected,
                }
            }
            PoolRoute::Nowhere => Placement::Nowhere,
        }
    }

    fn choose_output(
        &mut self,
        router: &mut PoolRouter,
        key: RequestKey,
        source: SubjectHandle,
        excluded: &[SubjectHandle],
        now: MonotonicTime,
    ) -> Placement {
        let excluded = router.engines_by_handle(excluded);
        // The node that asks may have had the prompt read by an engine that another placer chose.
        let Some(source) = router.bring_into_use(source) else {
            return Placement::Nowhere;
        };
        let Some(engine) = router.choose_output_or_grow(&self.query(key, &excluded), &source, now) else {
            return Placement::Nowhere;
        };
        let mut chosen = self.chosen(router, key, &engine, now);
        chosen.fetch_from = None;
        let ticket = router.on_output_sent(&engine.id, &self.query(key, &[]), KvCacheSource::Transfer, now);
        self.counted = Counted::Output(ticket);
        Placement::One(chosen)
    }

    /// What speaks for an engine before the request is counted there.
    fn chosen(
        &self,
        router: &PoolRouter,
        key: RequestKey,
        engine: &PoolEngine,
        now: MonotonicTime,
    ) -> ChosenEngine {
        let query = self.query(key, &[]);
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

    /// How long the request waits at an engine that names a rate limit. The node that asks takes the slot, and knows better
    /// what it has put into the request.
    fn slot_max_wait(&self) -> Duration {
        let waiting = WaitFactors {
            rank: usize::from(self.request.rank),
            remaining: self.request.remaining,
            is_retry_or_prefilled: false,
            overuse_factor: 1.0,
        };
        waiting.max_wait()
    }

    fn query<'q>(&'q self, key: RequestKey, excluded: &'q [EngineId]) -> PoolQuery<'q> {
        PoolQuery {
            from_this_node: false,
            pool: &self.request.pool,
            prompt: Some(&self.request.prompt),
            prefixes: &self.prefixes,
            zone: &self.request.zone,
            excluded,
            last_resort: false,
            constraints: self.request.constraints,
            rank: usize::from(self.request.rank),
            remaining: self.request.remaining,
            slot_max_wait: self.slot_max_wait(),
            draw: key.number,
        }
    }

    /// Takes what became of the dispatch; true where nothing is counted any more.
    fn on_progress(
        &mut self,
        router: &mut PoolRouter,
        progress: &DispatchProgress,
        now: MonotonicTime,
    ) -> bool {
        let ticket = match &self.counted {
            Counted::Prompt(ticket) | Counted::Output(ticket) => ticket.clone(),
            Counted::Nothing => return true,
        };
        match progress {
            DispatchProgress::Started { reported_load } => {
                self.charge = None;
                if let Some(reported_load) = reported_load {
                    router.on_reported_load(ticket.engine(), *reported_load, now);
                }
                router.on_output_started(&ticket, &self.prefixes, now);
                if let Some(promise) = self.promise.take() {
                    let key = self.last_answer.key;
                    promise.judge(router, &self.query(key, &[]), now);
                }
                return false;
            }
            DispatchProgress::Paused { .. } => {
                router.on_event_gap_exceeded(&ticket);
                return false;
            }
            DispatchProgress::Answered { pauses } => {
                for pause in pauses {
                    router.on_pause(&ticket, f64::from(*pause) * PAUSE_UNIT, now);
                }
                router.on_output_ended(&ticket, now);
                router.on_answered(&ticket);
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
            DispatchProgress::ConnectionFailed => router.on_broken(&ticket, now),
            DispatchProgress::Unresponsive => router.on_silence(&ticket, now),
            DispatchProgress::Abandoned => {
                self.take_back_charge(router, now);
                router.on_abandoned(&ticket);
            }
        }
        self.counted = Counted::Nothing;
        // Whoever was refused or let down asks again: the last answer must not be given for a new question.
        matches!(
            progress,
            DispatchProgress::Answered { .. } | DispatchProgress::Abandoned
        )
    }
}
