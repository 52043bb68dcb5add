//! Which engines a request goes to, and why.

use super::cost::{CostContext, PrefillSite, shared_prefixes};
use super::engine::{EngineStage, EngineState, PoolEngine};
use super::query::PoolQuery;
use super::router::PoolRouter;
use crate::identity::{EngineId, ZoneId};
use crate::membership::rendezvous;
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Fewest tokens that are fetched from another engine rather than read.
const MIN_FETCH_TOKENS: u32 = 64;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolRoute {
    /// One engine serves all of it.
    Whole(PoolEngine),
    /// One engine reads the prompt; another fetches its KV cache and runs the output.
    Split {
        /// Reads the prompt.
        prefill: PoolEngine,
        /// Runs the output.
        decode: PoolEngine,
    },
    /// No engine can take it now.
    Nowhere,
}

/// What decided for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Its cost, in seconds.
    pub cost: f64,
    /// The cheapest of the others and its cost.
    pub runner_up: Option<(EngineId, f64)>,
    /// What is believed of the engine.
    pub estimate: EngineEstimate,
}

/// What is believed of one engine in respect of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineEstimate {
    /// Prompt tokens believed to be read there first.
    pub prompt_tokens_ahead: u64,
    /// Requests believed to be there.
    pub requests: u32,
    /// Prompt tokens that it is believed to hold.
    pub held_tokens: u32,
    /// Age of the oldest word of another node that counts.
    pub oldest_report_age: Duration,
    /// How much longer work takes there now, in hundredths of what is usual in its pool.
    pub work_factor_percent: u16,
    /// Age of the momentary figure in that; absent where none counts.
    pub reported_pace_age: Option<Duration>,
}

impl PoolRouter {
    /// Chooses where a request goes; nothing that leaves or lacks the model is chosen, and an engine that is left
    /// alone for a while only where there is no other.
    pub fn choose(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> PoolRoute {
        for wider in widened(query) {
            let route = self.choose_among(&wider, now);
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
                context.output(state, PrefillSite::in_zone(query.zone), query)
            })
            .map_or(PoolRoute::Nowhere, |(_, state)| {
                PoolRoute::Whole(state.engine.clone())
            });
        }
        let split = self.choose_split(query, &context);
        let whole = self.choose_combined(query, &context);
        match (split, whole) {
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

    /// Chooses the engine that runs the output of a prompt that `source` has read.
    pub fn choose_output(
        &self,
        query: &PoolQuery<'_>,
        source: &EngineId,
        now: MonotonicTime,
    ) -> Option<PoolEngine> {
        widened(query)
            .iter()
            .find_map(|wider| self.choose_output_among(wider, source, now))
    }

    fn choose_output_among(
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
                self.output_source(state, query, now)
            });
        cheapest(self.output_candidates(query, source.zone, now), |state| {
            context.output(state, source, query)
        })
        .map(|(_, state)| state.engine.clone())
    }

    /// What decided for an engine, for the log; `stage` is the part that it was chosen for.
    pub fn explain(
        &self,
        engine: &EngineId,
        stage: EngineStage,
        reads: bool,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> Explanation {
        let context = CostContext {
            min_prefill_wait: self.min_prefill_wait(query, now),
            ..self.context(query, now)
        };
        let home = self.home(query, now);
        let cost = |state: &EngineState| match (stage, reads) {
            (EngineStage::Prefill, _) => {
                context.prompt(state, query, home.as_ref() == Some(&state.engine.id))
            }
            (EngineStage::Decode, true) => context.both(state, query),
            _ => context.output(state, PrefillSite::in_zone(query.zone), query),
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

    /// What is believed of an engine; nothing where it is not known.
    pub fn estimate(&self, engine: &EngineId, query: &PoolQuery<'_>, now: MonotonicTime) -> EngineEstimate {
        let Some(state) = self.engines.get(engine) else {
            return EngineEstimate::default();
        };
        let work = state.load(now);
        EngineEstimate {
            prompt_tokens_ahead: work.prompt_tokens_ahead(query.rank) as u64,
            requests: work.requests as u32,
            held_tokens: state.prefixes.held_tokens(query.prefixes),
            oldest_report_age: state.oldest_report_age(now),
            work_factor_percent: (state.work_factor(now) * 100.0) as u16,
            reported_pace_age: state.pace().momentary_age(now),
        }
    }

    /// Time until a prompt sent now to an engine would have been read there; absent where the engine is not known.
    pub fn prefill_delay(
        &self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let context = self.context(query, now);
        let state = self.engines.get(engine)?;
        let tokens =
            state.load(now).prompt_tokens_ahead(query.rank) + context.prefill_work(state, query).computed;
        let seconds = state.prefill_seconds(&context.speeds.prefill, tokens, now);
        Some(Duration::from_secs_f64(seconds))
    }

    /// From where an engine that reads a prompt fetches what it does not hold; absent where nobody holds more, or only
    /// beyond a suspected path.
    pub fn fetch_source(
        &self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> Option<SocketAddr> {
        let context = self.context(query, now);
        context.move_seconds?;
        let reader = self.engines.get(engine)?;
        let held = reader.prefixes.held_tokens(query.prefixes);
        let (tokens, holder) = self.best_holder(query, now)?;
        let worth_it = tokens >= held + MIN_FETCH_TOKENS
            && holder.engine.id != *engine
            && self
                .paths
                .allows_transfer(&reader.engine.zone, &holder.engine.zone);
        worth_it.then_some(holder.engine.address)
    }

    pub(super) fn context(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> CostContext<'_> {
        let traits = self.traits.get(query.pool);
        CostContext {
            weights: &self.weights,
            speeds: self.speeds(query.pool),
            move_seconds: traits.and_then(|traits| traits.move_seconds),
            max_held_tokens: self.best_holder(query, now).map_or(0, |(tokens, _)| tokens),
            min_prefill_wait: None,
            output_seconds: self.output_seconds(query),
            draw: query.draw,
            now,
        }
    }

    /// The engine that holds most of a prompt's beginning, and of several the one that used it last: engines drop what
    /// was not used for long, and nobody tells.
    fn best_holder(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> Option<(u32, &EngineState)> {
        let holders = self.engines.values().filter(|state| {
            state.engine.pool == *query.pool
                && state.engine.stage != EngineStage::Whole
                && state.can_be_fetched_from(now)
                && self.paths.allows_transfer(query.zone, &state.engine.zone)
        });
        holders
            .map(|state| (state.prefixes.held_tokens(query.prefixes), state))
            .filter(|(tokens, _)| *tokens > 0)
            .max_by_key(|(tokens, state)| (*tokens, state.prefixes.last_use(query.prefixes)))
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
                && self.reaches(query, &state.engine.zone, now)
                && !query.excluded.contains(&state.engine.id)
                && query
                    .prompt
                    .is_none_or(|prompt| holds(&state.engine, &prompt.model))
        })
    }

    fn choose_split<'a>(
        &'a self,
        query: &'a PoolQuery<'_>,
        context: &CostContext<'_>,
    ) -> Option<(f64, &'a EngineState, &'a EngineState)> {
        let (prompt_cost, prefill) = self.choose_prefill(query, context)?;
        let source = self.output_source(prefill, query, context.now);
        let decodes = self.output_candidates(query, source.zone, context.now);
        let (cost, decode) = cheapest(decodes, |state| context.output(state, source, query))?;
        Some((prompt_cost + cost + context.hand_over(query), prefill, decode))
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
                context.prompt(state, query, is_home)
            },
        )
    }

    /// Where the output of a prompt that an engine reads comes from.
    fn output_source<'a>(
        &self,
        reads: &'a EngineState,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> PrefillSite<'a> {
        let zone = &reads.engine.zone;
        PrefillSite {
            zone,
            is_sole_cache_zone: reads.engine.spot && self.is_sole_cache_zone(zone, query, now),
        }
    }

    /// Whether no zone but this one keeps the shared part of a prompt.
    fn is_sole_cache_zone(&self, zone: &ZoneId, query: &PoolQuery<'_>, now: MonotonicTime) -> bool {
        let shared = shared_prefixes(query.prefixes);
        let tokens: u32 = shared.iter().map(|block| block.tokens).sum();
        let elsewhere = self.engines.values().filter(|state| {
            state.engine.zone != *zone && state.engine.pool == *query.pool && state.can_be_fetched_from(now)
        });
        tokens > 0
            && elsewhere
                .into_iter()
                .all(|state| state.prefixes.held_tokens(shared) < tokens)
    }

    /// An engine that runs outputs and reads this prompt itself.
    fn choose_combined<'a>(
        &'a self,
        query: &'a PoolQuery<'_>,
        context: &CostContext<'_>,
    ) -> Option<(f64, &'a EngineState)> {
        let decodes = self.candidates(query, EngineStage::Decode, context.now);
        cheapest(decodes, |state| context.both(state, query))
    }

    /// The engine at which the shared part of a prompt is kept, by rendezvous hashing over those that read prompts.
    pub(super) fn home(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> Option<EngineId> {
        let shared = shared_prefixes(query.prefixes);
        let last = shared.last().or(query.prefixes.last())?;
        let task = SubjectHandle::of_number(last.hash);
        // An engine that is left alone for a moment stays the home: moving its parts costs more than the moment.
        let homes = self.engines.values().filter(|state| {
            state.engine.pool == *query.pool
                && state.engine.stage == EngineStage::Prefill
                && state.is_active()
                && state.cordon_allows(now, false)
                && !query.excluded.contains(&state.engine.id)
        });
        homes
            .max_by_key(|state| (rendezvous::weight(task, state.handle), &state.engine.id))
            .map(|state| state.engine.id.clone())
    }
}

/// The query itself, then with engines that are left alone for a while.
fn widened<'a>(query: &PoolQuery<'a>) -> [PoolQuery<'a>; 2] {
    let last_resort = PoolQuery {
        last_resort: true,
        ..query.clone()
    };
    [query.clone(), last_resort]
}

fn holds(engine: &PoolEngine, model: &str) -> bool {
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
