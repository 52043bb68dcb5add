//! The fate of what was sent: work under kv_source, speeds, health and what engines come to hold.

use super::admission::LATE_RANK;
use super::cost::{PrefillWork, shared_prefixes};
use super::engine::{EngineState, InFlightWork};
use super::pace::{ObservedWork, PaceObservation};
use super::peer_reports::PrefixUpdate;
use super::pool_speeds::PoolSpeeds;
use super::prefill_speed::PrefillSpeed;
use super::query::{PoolQuery, PrefixBlock, PromptShape};
use super::router::PoolRouter;
use crate::engine::EngineRefusalReason;
use crate::identity::{EngineId, ZoneId};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Most news of prefixes that wait to be told to other nodes.
const MAX_PENDING_UPDATES: usize = 64;

/// Share of an observation in an engine's slowness.
const SLOWNESS_SHARE: f64 = 0.3;

/// Bounds of an engine's slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (1.0, 20.0);

/// How an engine that answers comes by the prompt's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvCacheSource {
    /// It reads the prompt itself.
    Prefill,
    /// It fetches what another engine has read.
    Transfer,
}

/// Receipt of one dispatch, to be handed back when it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolTicket {
    engine: EngineId,
    /// Zone of the node that sent it.
    from: ZoneId,
    number: u64,
}

impl PoolTicket {
    /// The engine it was sent to.
    pub fn engine(&self) -> &EngineId {
        &self.engine
    }

    pub(super) fn from(&self) -> &ZoneId {
        &self.from
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }
}

impl PoolRouter {
    /// Notes that a prompt is sent to an engine that reads it.
    pub fn on_prompt_sent(
        &mut self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> PoolTicket {
        let reading = self.prefill_work_at(engine, query, now);
        let memory = query.prompt.map_or(0, |prompt| prompt.tokens);
        self.note_dispatch(engine, query, reading, f64::from(memory), None, now)
    }

    /// Notes that a request is sent to an engine that answers it.
    pub fn on_output_sent(
        &mut self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        kv_source: KvCacheSource,
        now: MonotonicTime,
    ) -> PoolTicket {
        let prompt_tokens = query.prompt.map_or(0, |prompt| prompt.tokens);
        let reading = match kv_source {
            KvCacheSource::Prefill => self.prefill_work_at(engine, query, now),
            KvCacheSource::Transfer => PrefillWork {
                computed: 0.0,
                fetched: f64::from(prompt_tokens),
            },
        };
        let memory = query.prompt.map_or(0, PromptShape::memory_tokens);
        self.note_dispatch(engine, query, reading, f64::from(memory), Some(kv_source), now)
    }

    fn prefill_work_at(&self, engine: &EngineId, query: &PoolQuery<'_>, now: MonotonicTime) -> PrefillWork {
        let context = self.context(query, now);
        let state = self.engines.get(engine);
        state.map_or(PrefillWork::default(), |state| context.prefill_work(state, query))
    }

    /// Notes that an engine has read a prompt, whose parts it holds from now on.
    pub fn on_prompt_prefilled(&mut self, ticket: &PoolTicket, prefixes: &[PrefixBlock], now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        state.health.on_success();
        state.breaks.record_success();
        note_held(state, prefixes, &mut self.prefix_updates, now);
        self.paths.record_answer(&ticket.from, &state.engine.zone, now);
        let work = state.in_flight.remove(&ticket.number);
        if let Some(work) = work {
            self.observe_prefill(&ticket.engine, &work, |speeds| &mut speeds.prefill, now);
        }
    }

    /// Notes that parts of a prompt came to be held by an engine that fetched them.
    pub fn on_prefixes_held(&mut self, engine: &EngineId, prefixes: &[PrefixBlock], now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(engine) {
            note_held(state, prefixes, &mut self.prefix_updates, now);
        }
    }

    /// Notes that an engine that reads a prompt and runs its output has come to the output.
    pub fn on_output_started(&mut self, ticket: &PoolTicket, prefixes: &[PrefixBlock], now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        note_held(state, prefixes, &mut self.prefix_updates, now);
        self.paths.record_answer(&ticket.from, &state.engine.zone, now);
        let Some(work) = state.in_flight.get_mut(&ticket.number) else {
            return;
        };
        let before = *work;
        work.prompt_tokens = 0.0;
        work.moving_tokens = 0.0;
        work.begun_at = Some(now);
        work.momentary = state.pace.momentary_factor(now);
        if before.prompt_tokens > 0.0 {
            self.observe_prefill(&ticket.engine, &before, |speeds| &mut speeds.decode, now);
        } else if before.kv_source == Some(KvCacheSource::Transfer) {
            let pool = state.engine.pool.clone();
            let assumed = self.assumed_speeds();
            let speeds = self.speeds.entry(pool).or_insert(assumed);
            if before.rank != LATE_RANK {
                speeds.observe_handoff(now.since(before.sent_at), before.had_free_slot);
            }
        }
    }

    /// Takes a pause between two events of an output, as part of the longest that is harmless.
    pub fn on_pause(&mut self, ticket: &PoolTicket, part: f64, now: MonotonicTime) {
        let assumed = self.assumed_speeds();
        let Some(state) = self.engines.get(&ticket.engine) else {
            return;
        };
        let speeds = self.speeds.entry(state.engine.pool.clone()).or_insert(assumed);
        if state.load(now).all_prompt_tokens() > 0.0 {
            speeds.pauses.observe(part);
        } else if let Some(bound) = state
            .in_flight
            .get(&ticket.number)
            .and_then(|work| work.max_event_gap)
        {
            let seconds = part * bound.as_secs_f64();
            speeds.pace.observe(seconds / state.work_factor(now));
        }
    }

    /// Notes that an output paused for longer than is harmless: it is late, and no other pause makes it later.
    pub fn on_event_gap_exceeded(&mut self, ticket: &PoolTicket) {
        let state = self.engines.get_mut(&ticket.engine);
        if let Some(work) = state.and_then(|state| state.in_flight.get_mut(&ticket.number)) {
            work.max_event_gap = None;
        }
    }

    /// Learns from an output whose last event has come.
    pub fn on_output_ended(&mut self, ticket: &PoolTicket, now: MonotonicTime) {
        let state = self.engines.get(&ticket.engine);
        if let Some(work) = state
            .and_then(|state| state.in_flight.get(&ticket.number))
            .copied()
        {
            self.observe_output(&ticket.engine, &work, now);
        }
    }

    /// Notes that a dispatch ended well.
    pub fn on_answered(&mut self, ticket: &PoolTicket) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            let work = state.in_flight.remove(&ticket.number);
            state.health.on_success();
            state.breaks.record_success();
            // Its answer came after it was sent; when, only a series of events has told before.
            if let Some(work) = work {
                self.paths
                    .record_answer(&ticket.from, &state.engine.zone, work.sent_at);
            }
        }
    }

    /// Notes that a dispatch ended for a cause that is not the engine's.
    pub fn on_abandoned(&mut self, ticket: &PoolTicket) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            state.in_flight.remove(&ticket.number);
        }
    }

    /// Notes that an engine refused a dispatch before running it.
    pub fn on_refused(&mut self, ticket: &PoolTicket, reason: EngineRefusalReason, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            state.in_flight.remove(&ticket.number);
            state.record_answer(now);
            state.health.on_refusal(reason, now);
            self.paths.record_answer(&ticket.from, &state.engine.zone, now);
        }
    }

    /// Notes that a connection to an engine broke or was refused.
    pub fn on_broken(&mut self, ticket: &PoolTicket, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            state.in_flight.remove(&ticket.number);
            state.health.on_connection_failure(now);
            state.breaks.record_failure(now);
        }
    }

    /// Learns from a reading that is done: the pool's speed, and how much slower than it the engine is.
    fn observe_prefill(
        &mut self,
        engine: &EngineId,
        work: &InFlightWork,
        line: fn(&mut PoolSpeeds) -> &mut PrefillSpeed,
        now: MonotonicTime,
    ) {
        let assumed = self.assumed_speeds();
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let took = now.since(work.sent_at);
        let pool = state.engine.pool.clone();
        let speeds = self.speeds.entry(pool).or_insert(assumed);
        if work.rank == LATE_RANK {
            // What waits behind everything else tells nothing of the engine.
            speeds.late.observe(work.tokens_until_prefilled, took);
            return;
        }
        let speed = line(speeds);
        let expected = speed.seconds(work.tokens_until_prefilled);
        // Who waited for a place, or met a slow engine, tells nothing of the pool's speed.
        if work.kv_source.is_none() || work.had_free_slot {
            if state.pace.in_use {
                let momentary = (work.momentary + state.pace.momentary_factor(now)) / 2.0;
                let factor = momentary * state.pace.lasting.factor();
                let fixed = speed.fixed_seconds();
                speed.observe(work.tokens_until_prefilled * factor, took);
                let kind = if work.kv_source.is_none() {
                    ObservedWork::Prefill
                } else {
                    ObservedWork::PrefillDuringDecode
                };
                let seen = PaceObservation {
                    kind,
                    expected: expected - fixed,
                    took: (took.as_secs_f64() - fixed).max(0.0),
                    momentary,
                };
                self.observe_pace(engine, seen, now);
            } else {
                speed.observe(work.tokens_until_prefilled, took.div_f64(state.slowness));
                observe_slowness(state, took, expected);
            }
        }
    }

    fn note_dispatch(
        &mut self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        reading: PrefillWork,
        memory_tokens: f64,
        kv_source: Option<KvCacheSource>,
        now: MonotonicTime,
    ) -> PoolTicket {
        self.last_ticket_number += 1;
        let rank = query.rank;
        if let Some(state) = self.engines.get(engine) {
            let (pool, stage) = (state.engine.pool.clone(), state.engine.stage);
            self.count_sent(&pool, stage, now);
        }
        self.demand.on_sent(reading.computed, now);
        if let Some(state) = self.engines.get_mut(engine) {
            let work = InFlightWork {
                rank,
                prompt_tokens: reading.computed,
                memory_tokens,
                moving_tokens: reading.fetched,
                sent_at: now,
                kv_source,
                had_free_slot: state.has_free_slot(now),
                tokens_until_prefilled: state.load(now).prompt_tokens_ahead(rank) + reading.computed,
                max_event_gap: query.constraints.max_event_gap.filter(|_| kv_source.is_some()),
                output_tokens: query.prompt.map_or(0, PromptShape::expected_output_tokens),
                begun_at: None,
                momentary: state.pace.momentary_factor(now),
            };
            state.in_flight.insert(self.last_ticket_number, work);
            state
                .recent_prefill
                .observe(state.load(now).all_prompt_tokens(), now);
            self.paths.record_request(query.zone, &state.engine.zone, now);
        }
        PoolTicket {
            engine: engine.clone(),
            from: query.zone.clone(),
            number: self.last_ticket_number,
        }
    }
}

fn note_held(
    state: &mut EngineState,
    prefixes: &[PrefixBlock],
    news: &mut Vec<PrefixUpdate>,
    now: MonotonicTime,
) {
    state.record_answer(now);
    state.prefixes.record_prefill(prefixes, now);
    // A request's own part is told too: no other request needs it, but it takes the place of parts that others do.
    if !shared_prefixes(prefixes).is_empty() && news.len() < MAX_PENDING_UPDATES {
        news.push(PrefixUpdate {
            engine: state.handle,
            prefixes: prefixes.to_vec(),
            just_answered: true,
        });
    }
}

/// Takes how long a reading took beside what the engine's pool leads to expect.
fn observe_slowness(state: &mut EngineState, took: Duration, expected: f64) {
    const FLOOR_SECONDS: f64 = 0.1;
    let factor = (took.as_secs_f64() + FLOOR_SECONDS) / (expected + FLOOR_SECONDS);
    let (least, most) = SLOWNESS_BOUNDS;
    state.slowness = (state.slowness + SLOWNESS_SHARE * (factor - state.slowness)).clamp(least, most);
}
