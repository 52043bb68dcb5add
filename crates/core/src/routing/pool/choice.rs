//! Selection of the engines that serve a request, by lowest cost.

use super::cost::{CostContext, PrefillSite, shared_prefixes};
use super::engine::{EngineStage, EngineState, PoolEngine};
use super::query::{PoolQuery, PrefixBlock};
use super::router::PoolRouter;
use crate::identity::{EngineId, ZoneId};
use crate::membership::rendezvous;
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Fewest additional tokens for which a KV cache transfer from another engine is used instead of prefill.
const MIN_FETCH_TOKENS: u32 = 64;

/// Engines selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolRoute {
    /// One engine serves the whole request.
    Whole(PoolEngine),
    /// One engine runs prefill; another receives the KV cache and runs decode.
    Split {
        /// Runs prefill.
        prefill: PoolEngine,
        /// Runs decode.
        decode: PoolEngine,
    },
    /// No engine can take the request now.
    Nowhere,
}

/// Why an engine was selected, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Cost of the selected engine, in seconds.
    pub cost: f64,
    /// The cheapest other candidate and its cost in seconds; absent when there was no other candidate.
    pub runner_up: Option<(EngineId, f64)>,
    /// Estimated state of the selected engine.
    pub estimate: EngineEstimate,
}

/// Estimated state of one engine as seen by one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineEstimate {
    /// Prompt tokens that the engine prefills before those of the request.
    pub prompt_tokens_ahead: u64,
    /// Requests in flight at the engine.
    pub requests: u32,
    /// Tokens of the prompt whose KV cache the engine holds.
    pub held_tokens: u32,
    /// Age of the oldest peer report that is part of the estimate; zero if there is none.
    pub oldest_report_age: Duration,
    /// Current execution time in percent of the pool's usual time.
    pub work_factor_percent: u16,
    /// Age of the momentary pace in `work_factor_percent`; absent if none applies.
    pub reported_pace_age: Option<Duration>,
}

impl PoolRouter {
    /// Selects engines for a request. Engines that are leaving or lack the model are never selected; engines that are
    /// avoided temporarily are selected only when no other engine is available.
    pub fn choose(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> PoolRoute {
        for attempt in with_fallback(query) {
            let route = self.choose_among(&attempt, now);
            if route != PoolRoute::Nowhere {
                return route;
            }
        }
        PoolRoute::Nowhere
    }

    fn choose_among(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> PoolRoute {
        let context = CostContext {
            min_prefill_wait: self.min_prefill_wait(query, now),
            ..self.context(query, now)
        };
        if query.prompt.is_none() {
            return cheapest(self.candidates(query, EngineStage::Whole, now), |state| {
                context.decode_cost(state, PrefillSite::in_zone(query.zone), query)
            })
            .map_or(PoolRoute::Nowhere, |(_, state)| {
                PoolRoute::Whole(state.engine.clone())
            });
        }
        let split = self.choose_split(query, &context);
        let combined = self.choose_combined(query, &context);
        match (split, combined) {
            (Some((split_cost, _, _)), Some((cost, state))) if cost < split_cost => {
                PoolRoute::Whole(state.engine.clone())
            }
            (Some((_, prefill, decode)), _) => PoolRoute::Split {
                prefill: prefill.engine.clone(),
                decode: decode.engine.clone(),
            },
            (None, Some((_, state))) => PoolRoute::Whole(state.engine.clone()),
            (None, None) => PoolRoute::Nowhere,
        }
    }

    /// Selects the engine that runs decode after `source` has prefilled the prompt; absent when none is available.
    pub fn choose_decode(
        &self,
        query: &PoolQuery<'_>,
        source: &EngineId,
        now: MonotonicTime,
    ) -> Option<PoolEngine> {
        with_fallback(query)
            .iter()
            .find_map(|attempt| self.choose_decode_among(attempt, source, now))
    }

    fn choose_decode_among(
        &self,
        query: &PoolQuery<'_>,
        source: &EngineId,
        now: MonotonicTime,
    ) -> Option<PoolEngine> {
        let context = self.context(query, now);
        let source = self
            .engines
            .get(source)
            .map_or(PrefillSite::in_zone(query.zone), |state| {
                self.prefill_site(state, query, now)
            });
        cheapest(self.decode_candidates(query, source.zone, now), |state| {
            context.decode_cost(state, source, query)
        })
        .map(|(_, state)| state.engine.clone())
    }

    /// Explains the selection of an engine for the log. `stage` is the stage that it was selected for, `runs_prefill`
    /// whether it also prefills the prompt.
    pub fn explain(
        &self,
        engine: &EngineId,
        stage: EngineStage,
        runs_prefill: bool,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> Explanation {
        let context = CostContext {
            min_prefill_wait: self.min_prefill_wait(query, now),
            ..self.context(query, now)
        };
        let home = self.home(query, now);
        let cost = |state: &EngineState| match (stage, runs_prefill) {
            (EngineStage::Prefill, _) => {
                context.prefill_cost(state, query, home.as_ref() == Some(&state.engine.id))
            }
            (EngineStage::Decode, true) => context.combined_cost(state, query),
            _ => context.decode_cost(state, PrefillSite::in_zone(query.zone), query),
        };
        let others = self
            .candidates(query, stage, now)
            .filter(|state| state.engine.id != *engine);
        let runner_up = cheapest(others, cost).map(|(cost, state)| (state.engine.id.clone(), cost));
        Explanation {
            cost: self.engines.get(engine).map_or(0.0, cost),
            runner_up,
            estimate: self.estimate(engine, query, now),
        }
    }

    /// Estimated state of an engine; all zero for an unknown engine.
    pub fn estimate(&self, engine: &EngineId, query: &PoolQuery<'_>, now: MonotonicTime) -> EngineEstimate {
        let Some(state) = self.engines.get(engine) else {
            return EngineEstimate::default();
        };
        let load = state.load(now);
        EngineEstimate {
            prompt_tokens_ahead: self.tokens_before(&load, query.rank) as u64,
            requests: load.requests as u32,
            held_tokens: state.prefixes.held_tokens(query.prefixes),
            oldest_report_age: state.oldest_report_age(now),
            work_factor_percent: (state.work_factor(now) * 100.0) as u16,
            reported_pace_age: state.pace().momentary_age(now),
        }
    }

    /// Expected time until the engine has prefilled a prompt that is sent now; absent for an unknown engine.
    pub fn prefill_delay(
        &self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let context = self.context(query, now);
        let state = self.engines.get(engine)?;
        let tokens =
            self.tokens_before(&state.load(now), query.rank) + context.prefill_work(state, query).computed;
        let seconds = state.prefill_seconds(&context.speeds.prefill, tokens, now);
        Some(Duration::from_secs_f64(seconds))
    }

    /// Address from which the engine fetches the part of the KV cache that it lacks. Absent when no other reachable
    /// engine holds at least [`MIN_FETCH_TOKENS`] more, or when the pool does not support transfers.
    pub fn fetch_source(
        &self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> Option<SocketAddr> {
        let context = self.context(query, now);
        context.move_seconds?;
        let prefill_engine = self.engines.get(engine)?;
        let held = prefill_engine.prefixes.held_tokens(query.prefixes);
        if let Some(distant) = context.distant
            && context.prefill_work(prefill_engine, query).is_distant
        {
            return Some(distant.state.engine.address);
        }
        let (tokens, holder) = self.best_holder(query, now)?;
        let is_worthwhile = tokens >= held + MIN_FETCH_TOKENS
            && holder.engine.id != *engine
            && self
                .paths
                .allows_transfer(&prefill_engine.engine.zone, &holder.engine.zone);
        is_worthwhile.then_some(holder.engine.address)
    }

    pub(super) fn context(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> CostContext<'_> {
        let traits = self.traits.get(query.pool);
        let max_held_tokens = self.best_holder(query, now).map_or(0, |(tokens, _)| tokens);
        CostContext {
            weights: &self.weights,
            in_progress: self.in_progress_weight(),
            topology: &self.topology,
            region_round_trips: &self.region_round_trips,
            speeds: self.speeds(query.pool),
            move_seconds: traits.and_then(|traits| traits.move_seconds),
            max_held_tokens,
            distant: self.distant_holder(query, max_held_tokens, now),
            min_prefill_wait: None,
            decode_seconds: self.decode_seconds(query),
            draw: query.draw,
            now,
        }
    }

    /// The engine that holds the longest prefix of the prompt. Of several the most recent user is taken, because engines
    /// evict unused blocks without reporting it.
    fn best_holder(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> Option<(u32, &EngineState)> {
        let holders = self.engines.values().filter(|state| {
            state.engine.pool == *query.pool
                && state.engine.stage != EngineStage::Whole
                && state.can_be_fetched_from(now)
                && self.is_in_query_region(query.region, state)
                && self.paths.allows_transfer(query.zone, &state.engine.zone)
                && may_continue(query, state)
        });
        best_of(holders, query.prefixes)
    }

    pub(super) fn candidates<'a>(
        &'a self,
        query: &'a PoolQuery<'_>,
        stage: EngineStage,
        now: MonotonicTime,
    ) -> impl Iterator<Item = &'a EngineState> {
        self.engines.values().filter(move |state| {
            state.engine.stage == stage
                && state.engine.pool == *query.pool
                && state.takes_work(now, query.last_resort)
                && state.has_rate_limit_slot(query.slot_max_wait, now)
                && state.backoff_admits(query, now)
                && (query.last_resort || state.health.admits(query.draw ^ state.handle.number(), now))
                && self.is_in_query_region(query.region, state)
                && self.may_send_to_zone(query, &state.engine.zone, now)
                && !query.excluded.contains(&state.engine.id)
                && may_continue(query, state)
                && query
                    .prompt
                    .is_none_or(|prompt| has_model(&state.engine, &prompt.model))
        })
    }

    fn choose_split<'a>(
        &'a self,
        query: &'a PoolQuery<'_>,
        context: &CostContext<'_>,
    ) -> Option<(f64, &'a EngineState, &'a EngineState)> {
        let (prompt_cost, prefill) = self.choose_prefill(query, context)?;
        let source = self.prefill_site(prefill, query, context.now);
        let decode_engines = self.decode_candidates(query, source.zone, context.now);
        let (cost, decode) = cheapest(decode_engines, |state| context.decode_cost(state, source, query))?;
        Some((prompt_cost + cost + context.handoff_cost(query), prefill, decode))
    }

    fn choose_prefill<'a>(
        &'a self,
        query: &'a PoolQuery<'_>,
        context: &CostContext<'_>,
    ) -> Option<(f64, &'a EngineState)> {
        let home = self.home(query, context.now);
        cheapest(
            self.candidates(query, EngineStage::Prefill, context.now),
            |state| {
                let is_home = home.as_ref() == Some(&state.engine.id);
                context.prefill_cost(state, query, is_home)
            },
        )
    }

    /// The prefill site of a prompt that the given engine prefills.
    fn prefill_site<'a>(
        &self,
        prefill: &'a EngineState,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> PrefillSite<'a> {
        let zone = &prefill.engine.zone;
        PrefillSite {
            zone,
            is_sole_cache_zone: prefill.engine.spot && self.is_sole_cache_zone(zone, query, now),
        }
    }

    /// Whether no engine outside the zone holds the whole shared prefix of the prompt.
    fn is_sole_cache_zone(&self, zone: &ZoneId, query: &PoolQuery<'_>, now: MonotonicTime) -> bool {
        let shared = shared_prefixes(query.prefixes);
        let tokens: u32 = shared.iter().map(|block| block.tokens).sum();
        let others = self.engines.values().filter(|state| {
            state.engine.zone != *zone
                && state.engine.pool == *query.pool
                && self.is_in_query_region(query.region, state)
                && state.can_be_fetched_from(now)
        });
        tokens > 0
            && others
                .into_iter()
                .all(|state| state.prefixes.held_tokens(shared) < tokens)
    }

    /// Selects a decode engine that also prefills the prompt itself.
    fn choose_combined<'a>(
        &'a self,
        query: &'a PoolQuery<'_>,
        context: &CostContext<'_>,
    ) -> Option<(f64, &'a EngineState)> {
        let decode_engines = self.candidates(query, EngineStage::Decode, context.now);
        cheapest(decode_engines, |state| context.combined_cost(state, query))
    }

    /// The engine that prefills the shared prefix when no engine holds it yet, by rendezvous hashing over the prefill
    /// engines, so that nodes agree without communication.
    pub(super) fn home(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> Option<EngineId> {
        let shared = shared_prefixes(query.prefixes);
        let last = shared.last().or(query.prefixes.last())?;
        let task = SubjectHandle::of_number(last.hash);
        // An engine in backoff remains the home: computing its prefixes again elsewhere costs more than a short wait.
        let homes = self.engines.values().filter(|state| {
            state.engine.pool == *query.pool
                && state.engine.stage == EngineStage::Prefill
                && state.is_active()
                && state.cordon_allows(now, false)
                && self.is_in_query_region(query.region, state)
                && !query.excluded.contains(&state.engine.id)
                && may_continue(query, state)
        });
        homes
            .max_by_key(|state| (rendezvous::weight(task, state.handle), &state.engine.id))
            .map(|state| state.engine.id.clone())
    }
}

/// The engine that holds the longest prefix of the prompt, with the number of tokens; of several the most recent user.
pub(super) fn best_of<'a>(
    holders: impl Iterator<Item = &'a EngineState>,
    prefixes: &[PrefixBlock],
) -> Option<(u32, &'a EngineState)> {
    holders
        .map(|state| (state.prefixes.held_tokens(prefixes), state))
        .filter(|(tokens, _)| *tokens > 0)
        .max_by_key(|(tokens, state)| (*tokens, state.prefixes.last_use(prefixes)))
}

/// The query itself, then the same query with temporarily avoided engines allowed.
fn with_fallback<'a>(query: &PoolQuery<'a>) -> [PoolQuery<'a>; 2] {
    let last_resort = PoolQuery {
        last_resort: true,
        ..query.clone()
    };
    [query.clone(), last_resort]
}

/// Whether the engine's software version may continue the stream of the request, if there is one.
pub(super) fn may_continue(query: &PoolQuery<'_>, state: &EngineState) -> bool {
    query
        .origin
        .is_none_or(|origin| origin.allows(state.handle, state.engine.software_version.as_ref()))
}

pub(super) fn has_model(engine: &PoolEngine, model: &str) -> bool {
    engine.models.iter().any(|held| held == model)
}

fn cheapest<'a>(
    candidates: impl Iterator<Item = &'a EngineState>,
    cost: impl Fn(&EngineState) -> f64,
) -> Option<(f64, &'a EngineState)> {
    candidates
        .map(|state| (cost(state), state))
        .min_by(|left, right| left.0.total_cmp(&right.0))
}
