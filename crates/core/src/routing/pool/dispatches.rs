//! Lifecycle of dispatches: updates in-flight work, speeds, health and prefix estimates from their outcomes.

use super::admission::LATE_RANK;
use super::beliefs::PrefixUpdate;
use super::cost::{PrefillWork, shared_prefixes};
use super::engine::{EngineState, InFlightWork};
use super::pace::{ObservedWork, PaceObservation};
use super::pool_speeds::PoolSpeeds;
use super::query::{PoolQuery, PrefixBlock, PromptShape};
use super::router::PoolRouter;
use super::speed::PrefillSpeed;
use crate::engine::EngineRefusalReason;
use crate::identity::{EngineId, ZoneId};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Maximum number of prefix updates queued for peers.
const MAX_PENDING_UPDATES: usize = 64;

/// Weight of a new observation in the moving average of an engine's slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// Minimum and maximum slowness of an engine.
const SLOWNESS_BOUNDS: (f64, f64) = (1.0, 20.0);

/// How an engine obtains the KV cache of the prompt before it generates the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvCacheSource {
    /// It prefills the prompt itself.
    Prefill,
    /// It fetches the KV cache from the engine that prefilled the prompt.
    Transfer,
}

/// Identifies one dispatch; passed to the router again with each event of the dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolTicket {
    engine: EngineId,
    /// Zone of the node that sent the dispatch.
    sender_zone: ZoneId,
    number: u64,
}

impl PoolTicket {
    /// Engine that the dispatch was sent to.
    pub fn engine(&self) -> &EngineId {
        &self.engine
    }

    pub(super) fn sender_zone(&self) -> &ZoneId {
        &self.sender_zone
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }
}

impl PoolRouter {
    /// Records the dispatch of a prompt to an engine that prefills it.
    pub fn on_prompt_sent(
        &mut self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> PoolTicket {
        let prefill = self.prefill_work_at(engine, query, now);
        let memory_tokens = query.prompt.map_or(0, |prompt| prompt.tokens);
        self.record_dispatch(engine, query, prefill, f64::from(memory_tokens), None, now)
    }

    /// Records the dispatch of a request to the engine that generates its output.
    pub fn on_output_sent(
        &mut self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        kv_source: KvCacheSource,
        now: MonotonicTime,
    ) -> PoolTicket {
        let prompt_tokens = query.prompt.map_or(0, |prompt| prompt.tokens);
        let prefill = match kv_source {
            KvCacheSource::Prefill => self.prefill_work_at(engine, query, now),
            KvCacheSource::Transfer => PrefillWork {
                computed: 0.0,
                fetched: f64::from(prompt_tokens),
                is_distant: false,
            },
        };
        let memory_tokens = query.prompt.map_or(0, PromptShape::memory_tokens);
        self.record_dispatch(
            engine,
            query,
            prefill,
            f64::from(memory_tokens),
            Some(kv_source),
            now,
        )
    }

    fn prefill_work_at(&self, engine: &EngineId, query: &PoolQuery<'_>, now: MonotonicTime) -> PrefillWork {
        let context = self.context(query, now);
        let state = self.engines.get(engine);
        state.map_or(PrefillWork::default(), |state| context.prefill_work(state, query))
    }

    /// Records that an engine has finished prefilling a prompt and now holds its prefix blocks.
    pub fn on_prompt_prefilled(&mut self, ticket: &PoolTicket, prefixes: &[PrefixBlock], now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        state.health.on_success();
        state.failure_rate.record_success();
        let (handle, held_since) = (
            state.handle,
            state.prefixes.last_use_of_all(shared_prefixes(prefixes)),
        );
        record_prefixes(state, prefixes, &mut self.prefix_updates, now);
        self.paths
            .record_answer(&ticket.sender_zone, &state.engine.zone, now);
        let work = state.in_flight.remove(&ticket.number);
        if let Some(work) = work {
            self.observe_prefill(&ticket.engine, &work, |speeds| &mut speeds.prefill, now);
        }
        self.announce_prefix(handle, held_since, prefixes, now);
    }

    /// Records that an engine holds prefix blocks that it fetched from another engine.
    pub fn on_prefixes_held(&mut self, engine: &EngineId, prefixes: &[PrefixBlock], now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(engine) {
            record_prefixes(state, prefixes, &mut self.prefix_updates, now);
        }
    }

    /// Records the first output event of a dispatch, after which the engine has no prefill or transfer left for it.
    pub fn on_output_started(&mut self, ticket: &PoolTicket, prefixes: &[PrefixBlock], now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        record_prefixes(state, prefixes, &mut self.prefix_updates, now);
        self.paths
            .record_answer(&ticket.sender_zone, &state.engine.zone, now);
        let Some(work) = state.in_flight.get_mut(&ticket.number) else {
            return;
        };
        let before = *work;
        work.prompt_tokens = 0.0;
        work.transfer_tokens = 0.0;
        work.first_event_at = Some(now);
        work.momentary_pace = state.pace.momentary_factor(now);
        if before.prompt_tokens > 0.0 {
            self.observe_prefill(&ticket.engine, &before, |speeds| &mut speeds.decode, now);
        } else if before.kv_source == Some(KvCacheSource::Transfer) {
            let pool = state.engine.pool.clone();
            let initial_speeds = self.default_speeds();
            let speeds = self.speeds.entry(pool).or_insert(initial_speeds);
            if before.rank != LATE_RANK && before.is_measured {
                speeds.observe_handoff(now.since(before.sent_at), before.had_free_slot);
            }
        }
    }

    /// Records the gap between two events of an output, as a fraction of the maximum tolerated gap.
    pub fn on_pause(&mut self, ticket: &PoolTicket, fraction: f64, now: MonotonicTime) {
        let initial_speeds = self.default_speeds();
        let Some(state) = self.engines.get(&ticket.engine) else {
            return;
        };
        let speeds = self
            .speeds
            .entry(state.engine.pool.clone())
            .or_insert(initial_speeds);
        if state.load(now).all_prompt_tokens() > 0.0 {
            speeds.pauses.observe(fraction);
        } else if let Some(limit) = state
            .in_flight
            .get(&ticket.number)
            .and_then(|work| work.max_event_gap)
        {
            let seconds = fraction * limit.as_secs_f64();
            speeds.event_interval.observe(seconds / state.work_factor(now));
        }
    }

    /// Records that a gap exceeded the maximum. The output already counts as late, so later gaps are no longer
    /// considered.
    pub fn on_event_gap_exceeded(&mut self, ticket: &PoolTicket) {
        let state = self.engines.get_mut(&ticket.engine);
        if let Some(work) = state.and_then(|state| state.in_flight.get_mut(&ticket.number)) {
            work.max_event_gap = None;
        }
    }

    /// Updates the engine's pace from an output that has completed.
    pub fn on_output_ended(&mut self, ticket: &PoolTicket, now: MonotonicTime) {
        let state = self.engines.get(&ticket.engine);
        if let Some(work) = state
            .and_then(|state| state.in_flight.get(&ticket.number))
            .copied()
        {
            self.observe_output(&ticket.engine, &work, now);
        }
    }

    /// Records that a dispatch succeeded.
    pub fn on_completed(&mut self, ticket: &PoolTicket) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            let work = state.in_flight.remove(&ticket.number);
            state.health.on_success();
            state.failure_rate.record_success();
            // The time of the answer is not known here, so the dispatch time is used as its lower bound.
            if let Some(work) = work {
                self.paths
                    .record_answer(&ticket.sender_zone, &state.engine.zone, work.sent_at);
            }
        }
    }

    /// Keeps the duration of a dispatch from the learned speeds and paces, because reports about it arrive late.
    pub fn exclude_from_measurements(&mut self, ticket: &PoolTicket) {
        let state = self.engines.get_mut(&ticket.engine);
        if let Some(work) = state.and_then(|state| state.in_flight.get_mut(&ticket.number)) {
            work.is_measured = false;
        }
    }

    /// Records that a dispatch ended for a reason other than a fault of the engine.
    pub fn on_abandoned(&mut self, ticket: &PoolTicket) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            state.in_flight.remove(&ticket.number);
        }
    }

    /// Records that an engine refused a dispatch before running it.
    pub fn on_refused(&mut self, ticket: &PoolTicket, reason: EngineRefusalReason, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            state.in_flight.remove(&ticket.number);
            state.record_answer(now);
            state.health.on_refusal(reason, now);
            self.paths
                .record_answer(&ticket.sender_zone, &state.engine.zone, now);
        }
    }

    /// Records that a connection to an engine failed or was refused.
    pub fn on_connection_failed(&mut self, ticket: &PoolTicket, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            state.in_flight.remove(&ticket.number);
            state.health.on_connection_failure(now);
            state.failure_rate.record_failure(now);
        }
    }

    /// Updates the pool's prefill speed and the engine's pace or slowness from a completed prefill.
    fn observe_prefill(
        &mut self,
        engine: &EngineId,
        work: &InFlightWork,
        speed_of: fn(&mut PoolSpeeds) -> &mut PrefillSpeed,
        now: MonotonicTime,
    ) {
        let initial_speeds = self.default_speeds();
        let Some(state) = self.engines.get_mut(engine).filter(|_| work.is_measured) else {
            return;
        };
        let took = now.since(work.sent_at);
        let pool = state.engine.pool.clone();
        let speeds = self.speeds.entry(pool).or_insert(initial_speeds);
        if work.rank == LATE_RANK {
            // Requests of the lowest rank wait behind all others, so their duration says nothing about the engine.
            speeds.late.observe(work.tokens_until_prefilled, took);
            return;
        }
        let speed = speed_of(speeds);
        let expected = speed.seconds(work.tokens_until_prefilled);
        // Excludes requests that were queued at a full engine: their duration includes the queueing time.
        if work.kv_source.is_none() || work.had_free_slot {
            if state.pace.is_enabled {
                let momentary_pace = (work.momentary_pace + state.pace.momentary_factor(now)) / 2.0;
                let factor = momentary_pace * state.pace.long_term.factor();
                let fixed = speed.fixed_seconds();
                speed.observe(work.tokens_until_prefilled * factor, took);
                let kind = if work.kv_source.is_none() {
                    ObservedWork::Prefill
                } else {
                    ObservedWork::PrefillDuringDecode
                };
                let observation = PaceObservation {
                    kind,
                    expected_seconds: expected - fixed,
                    measured_seconds: (took.as_secs_f64() - fixed).max(0.0),
                    momentary_pace,
                };
                self.observe_pace(engine, observation, now);
            } else {
                speed.observe(work.tokens_until_prefilled, took.div_f64(state.slowness));
                observe_slowness(state, took, expected);
            }
        }
    }

    fn record_dispatch(
        &mut self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        prefill: PrefillWork,
        memory_tokens: f64,
        kv_source: Option<KvCacheSource>,
        now: MonotonicTime,
    ) -> PoolTicket {
        self.last_ticket_number += 1;
        let rank = query.rank;
        if let Some(state) = self.engines.get(engine) {
            let (pool, stage) = (state.engine.pool.clone(), state.engine.stage);
            self.record_sent_request(&pool, stage, now);
        }
        self.demand.on_sent(prefill.computed, now);
        let in_progress = self.in_progress_weight();
        let transfer_slowdown = if prefill.is_distant {
            self.weights.region_transfer_factor
        } else {
            1.0
        };
        if let Some(state) = self.engines.get_mut(engine) {
            let load = state.load(now);
            let before =
                load.prompt_tokens_ahead(rank) + in_progress * load.prompt_tokens_in_progress_behind(rank);
            let work = InFlightWork {
                rank,
                prompt_tokens: prefill.computed,
                memory_tokens,
                transfer_tokens: prefill.fetched * transfer_slowdown,
                fetches_from_other_region: prefill.is_distant,
                sent_at: now,
                is_measured: true,
                kv_source,
                had_free_slot: state.has_free_slot(now),
                tokens_until_prefilled: before + prefill.computed,
                max_event_gap: query.constraints.max_event_gap.filter(|_| kv_source.is_some()),
                output_tokens: query.prompt.map_or(0, PromptShape::expected_output_tokens),
                first_event_at: None,
                momentary_pace: state.pace.momentary_factor(now),
            };
            state.in_flight.insert(self.last_ticket_number, work);
            state
                .recent_prefill
                .observe(state.load(now).all_prompt_tokens(), now);
            self.paths.record_request(query.zone, &state.engine.zone, now);
        }
        PoolTicket {
            engine: engine.clone(),
            sender_zone: query.zone.clone(),
            number: self.last_ticket_number,
        }
    }
}

fn record_prefixes(
    state: &mut EngineState,
    prefixes: &[PrefixBlock],
    updates: &mut Vec<PrefixUpdate>,
    now: MonotonicTime,
) {
    state.record_answer(now);
    state.prefixes.record_prefill(prefixes, now);
    // The update includes the block of this request alone: it cannot be shared, but displaces shared blocks from the
    // cache.
    if !shared_prefixes(prefixes).is_empty() && updates.len() < MAX_PENDING_UPDATES {
        updates.push(PrefixUpdate {
            engine: state.handle,
            prefixes: prefixes.to_vec(),
            just_answered: true,
        });
    }
}

/// Updates the slowness of an engine from the actual and the expected duration of a prefill, in seconds.
fn observe_slowness(state: &mut EngineState, took: Duration, expected: f64) {
    const OFFSET_SECONDS: f64 = 0.1;
    let ratio = (took.as_secs_f64() + OFFSET_SECONDS) / (expected + OFFSET_SECONDS);
    let (min, max) = SLOWNESS_BOUNDS;
    state.slowness = (state.slowness + SLOWNESS_WEIGHT * (ratio - state.slowness)).clamp(min, max);
}
