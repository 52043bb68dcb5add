//! The router: what is known of the engines in, one choice out.

use super::beliefs::{PeerWork, PrefixNews, SpeedEstimate};
use super::cost::{CostContext, ReadingWork, shared_prefixes};
use super::demand::PromptDemand;
use super::engine::{EngineStage, EngineState, FORGET_AFTER, Gone, PoolEngine, SentWork, ToldLoad};
use super::query::{PoolQuery, PrefixBlock};
use super::weights::PoolWeights;
use crate::engine::EngineRefusalReason;
use crate::forwarding::{ForwardingConfig, ModelTraits, PoolId};
use crate::identity::{EngineId, NodeId};
use crate::membership::rendezvous;
use crate::membership::subject::SubjectHandle;
use crate::roles::pool::{PoolDemand, PoolEngineView};
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Memory assumed of an engine whose pool does not tell, in tokens.
const ASSUMED_CACHE_TOKENS: u64 = 400_000;

/// Fewest tokens that are fetched from another engine rather than read.
const LEAST_FETCH: u32 = 64;

/// Blocks in one piece of news, so that it fits into a datagram.
const BLOCKS_IN_NEWS: usize = 16;

/// Most news of prefixes that wait to be told to other nodes.
const MOST_NEWS: usize = 64;

/// Share of an observation in an engine's slowness.
const SLOWNESS_SHARE: f64 = 0.3;

/// Bounds of an engine's slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (1.0, 20.0);

/// Chooses engines for forwarded requests; holds no socket, thread or clock.
#[derive(Clone, Debug)]
pub struct PoolRouter {
    weights: PoolWeights,
    engines: BTreeMap<EngineId, EngineState>,
    speeds: BTreeMap<PoolId, SpeedEstimate>,
    traits: BTreeMap<PoolId, ModelTraits>,
    news: Vec<PrefixNews>,
    demand: PromptDemand,
    nodes_per_word: f64,
    tickets: u64,
}

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
    /// Prompt tokens believed to be read there first.
    pub prompt_tokens_ahead: u64,
    /// Requests believed to be there.
    pub requests: u32,
    /// Prompt tokens that it is believed to hold.
    pub held_tokens: u32,
    /// Age of the oldest word of another node that counts.
    pub oldest_word: Duration,
}

/// How an engine that answers comes by the prompt's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputWay {
    /// It reads the prompt itself.
    Reads,
    /// It fetches what another engine has read.
    Fetches,
}

/// Receipt of one dispatch, to be handed back when it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolTicket {
    engine: EngineId,
    number: u64,
}

impl PoolTicket {
    /// The engine it was sent to.
    pub fn engine(&self) -> &EngineId {
        &self.engine
    }
}

impl PoolRouter {
    /// A router that knows no engine yet.
    pub fn new(weights: PoolWeights) -> Self {
        Self {
            weights,
            engines: BTreeMap::new(),
            speeds: BTreeMap::new(),
            traits: BTreeMap::new(),
            news: Vec::new(),
            demand: PromptDemand::default(),
            nodes_per_word: 1.0,
            tickets: 0,
        }
    }

    /// Takes what a configuration tells of the pools.
    pub fn on_config(&mut self, config: &ForwardingConfig) {
        for pool in &config.pools {
            if let Some(model) = &pool.model {
                self.traits.insert(pool.id.clone(), model.clone());
            }
        }
    }

    /// Takes the listing of one engine.
    pub fn on_engine(&mut self, engine: PoolEngine) {
        match self.engines.get_mut(&engine.id) {
            Some(state) => state.update(engine),
            None => {
                let traits = self.traits.get(&engine.pool);
                let tokens = traits.map_or(ASSUMED_CACHE_TOKENS, |traits| traits.cache_tokens);
                let mut state = EngineState::new(engine, tokens);
                state.nodes_per_word = self.nodes_per_word;
                self.engines.insert(state.engine.id.clone(), state);
            }
        }
    }

    /// Notes that the platform lists an engine no longer; `doubtful` where the store was in trouble just before, so
    /// that the engine may live and only its entry have lapsed.
    pub fn on_engine_gone(&mut self, engine: &EngineId, doubtful: bool, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.gone = Some(Gone { since: now, doubtful });
        }
        self.engines
            .retain(|_, state| state.gone.is_none_or(|gone| now.since(gone.since) < FORGET_AFTER));
    }

    /// Takes another node's word of its work at engines.
    ///
    /// `works` replaces everything that the node said before.
    pub fn on_peer_work(&mut self, peer: &NodeId, works: &[(SubjectHandle, PeerWork)], now: MonotonicTime) {
        for state in self.engines.values_mut() {
            match works.iter().find(|(handle, _)| *handle == state.handle) {
                Some((_, work)) => {
                    state.peers.insert(peer.clone(), (*work, now));
                }
                None => {
                    state.peers.remove(peer);
                }
            }
        }
    }

    /// Sets for how many nodes one other node's word stands, where only some of them are heard.
    pub fn set_nodes_per_word(&mut self, nodes: f64) {
        self.nodes_per_word = nodes.max(1.0);
        for state in self.engines.values_mut() {
            state.nodes_per_word = self.nodes_per_word;
        }
    }

    /// This node's own work, as it is told to other nodes; engines without any are left out.
    pub fn own_work(&self) -> Vec<(SubjectHandle, PeerWork)> {
        self.engines
            .values()
            .filter(|state| !state.sent.is_empty())
            .map(|state| (state.handle, state.own_work().told_to_peers()))
            .collect()
    }

    /// Notes that engines have been ordered to change their stage, here or by another node.
    pub fn on_ordered(&mut self, orders: &[(SubjectHandle, EngineStage)], now: MonotonicTime) {
        for state in self.engines.values_mut() {
            let order = orders.iter().find(|(handle, _)| *handle == state.handle);
            if let Some((_, stage)) = order
                && state.engine.stage != *stage
                && state.ordered.is_none_or(|(known, _)| known != *stage)
            {
                state.ordered = Some((*stage, now));
            }
        }
    }

    /// Notes that this node has ordered an engine to change its stage.
    pub fn note_order(&mut self, engine: &EngineId, stage: EngineStage, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.ordered = Some((stage, now));
        }
    }

    /// Notes that an engine is not about to change its stage after all.
    pub fn forget_order(&mut self, engine: &EngineId) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.ordered = None;
        }
    }

    /// Changes of stage that are under way.
    pub fn orders_under_way(&self, now: MonotonicTime) -> Vec<(SubjectHandle, EngineStage)> {
        self.engines
            .values()
            .filter_map(|state| Some((state.handle, state.ordered_stage(now)?)))
            .collect()
    }

    /// Pools whose engines run models.
    pub fn model_pools(&self) -> Vec<PoolId> {
        self.traits.keys().cloned().collect()
    }

    /// What the planner of roles is told of a pool, with the demand that every node told of.
    pub fn role_input(&self, pool: &PoolId, now: MonotonicTime) -> (Vec<PoolEngineView>, PoolDemand) {
        let engines = self
            .engines
            .values()
            .filter(|state| state.engine.pool == *pool && state.stays());
        let views = engines.map(|state| {
            let work = state.work(now);
            PoolEngineView {
                engine: state.engine.id.clone(),
                zone: state.engine.zone.clone(),
                stage: state.ordered_stage(now).unwrap_or(state.engine.stage),
                requests: work.requests,
                memory_tokens: work.memory_tokens,
                places: f64::from(state.engine.places),
                capacity_tokens: state.prefixes.capacity_tokens(),
            }
        });
        let assumed = self.weights.assumed_prompt_tokens_per_second;
        let speed = self.speeds.get(pool);
        let demand = PoolDemand {
            prompt_tokens_per_second: self.demand.prompt_tokens_per_second(self.nodes_per_word, now),
            engine_tokens_per_second: speed.map_or(assumed, SpeedEstimate::tokens_per_second),
        };
        (views.collect(), demand)
    }

    /// This node's own demand, as it is told to other nodes.
    pub fn own_demand(&self, now: MonotonicTime) -> u32 {
        self.demand.own(now) as u32
    }

    /// Takes another node's word of its demand.
    pub fn on_peer_demand(&mut self, peer: &NodeId, tokens_per_second: u32, now: MonotonicTime) {
        self.demand.on_peer(peer, tokens_per_second, now);
    }

    /// Takes the load that an engine told in an answer.
    pub fn on_told(&mut self, engine: &EngineId, told: ToldLoad, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.heard(now);
            state.told = Some((told, now));
        }
    }

    /// All engines known, by name.
    pub fn engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// One engine.
    pub fn engine(&self, engine: &EngineId) -> Option<&EngineState> {
        self.engines.get(engine)
    }

    /// Chooses where a request goes; nothing that leaves or lacks the model is chosen, and an engine that is left
    /// alone for a while only where there is no other.
    pub fn choose(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> PoolRoute {
        match self.choose_among(query, now) {
            PoolRoute::Nowhere if !query.paused_too => {
                let query = PoolQuery {
                    paused_too: true,
                    ..query.clone()
                };
                self.choose_among(&query, now)
            }
            route => route,
        }
    }

    fn choose_among(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> PoolRoute {
        let context = self.context(query, now);
        if query.prompt.is_none() {
            return cheapest(self.candidates(query, EngineStage::Whole, now), |state| {
                context.output(state, query.zone)
            })
            .map_or(PoolRoute::Nowhere, |(_, state)| {
                PoolRoute::Whole(state.engine.clone())
            });
        }
        let split = self.choose_split(query, &context);
        let whole = self.choose_reading_decode(query, &context);
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
        let paused_too = PoolQuery {
            paused_too: true,
            ..query.clone()
        };
        self.choose_output_among(query, source, now)
            .or_else(|| self.choose_output_among(&paused_too, source, now))
    }

    fn choose_output_among(
        &self,
        query: &PoolQuery<'_>,
        source: &EngineId,
        now: MonotonicTime,
    ) -> Option<PoolEngine> {
        let context = self.context(query, now);
        let zone = self
            .engines
            .get(source)
            .map_or(query.zone, |state| &state.engine.zone);
        cheapest(self.candidates(query, EngineStage::Decode, now), |state| {
            context.output(state, zone)
        })
        .map(|(_, state)| state.engine.clone())
    }

    /// Engines that take work now.
    pub fn taking_work(&self, now: MonotonicTime) -> usize {
        self.engines
            .values()
            .filter(|state| state.takes_work(now, false))
            .count()
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
        let context = self.context(query, now);
        let home = self.home(query);
        let cost = |state: &EngineState| match (stage, reads) {
            (EngineStage::Prefill, _) => {
                context.prompt(state, query, home.as_ref() == Some(&state.engine.id))
            }
            (EngineStage::Decode, true) => context.both(state, query),
            _ => context.output(state, query.zone),
        };
        let others = self
            .candidates(query, stage, now)
            .filter(|state| state.engine.id != *engine);
        let runner_up = cheapest(others, cost).map(|(cost, state)| (state.engine.id.clone(), cost));
        let chosen = self.engines.get(engine);
        let work = chosen.map(|state| state.work(now)).unwrap_or_default();
        Explanation {
            cost: chosen.map_or(0.0, cost),
            runner_up,
            prompt_tokens_ahead: work.prompt_tokens_ahead(query.rank) as u64,
            requests: work.requests as u32,
            held_tokens: chosen.map_or(0, |state| state.prefixes.held_tokens(query.prefixes)),
            oldest_word: chosen.map_or(Duration::ZERO, |state| state.oldest_word(now)),
        }
    }

    /// Seconds until a prompt sent now would have been read, at the best engine; absent where none reads prompts.
    pub fn prompt_delay(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> Option<Duration> {
        let context = self.context(query, now);
        let (_, state) = self.choose_prefill(query, &context)?;
        let tokens = state.work(now).prompt_tokens_ahead(query.rank) + context.reading(state, query).computed;
        Some(Duration::from_secs_f64(state.slowness * tokens / context.speed))
    }

    /// Notes that a prompt is sent to an engine that reads it.
    pub fn on_prompt_sent(
        &mut self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> PoolTicket {
        let reading = self.reading_at(engine, query, now);
        let memory = query.prompt.map_or(0, |prompt| prompt.tokens);
        self.sent(engine, query.rank, reading, f64::from(memory), now)
    }

    /// Notes that a request is sent to an engine that answers it.
    pub fn on_output_sent(
        &mut self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        way: OutputWay,
        now: MonotonicTime,
    ) -> PoolTicket {
        let prompt_tokens = query.prompt.map_or(0, |prompt| prompt.tokens);
        let reading = match way {
            OutputWay::Reads => self.reading_at(engine, query, now),
            OutputWay::Fetches => ReadingWork {
                computed: 0.0,
                fetched: f64::from(prompt_tokens),
            },
        };
        let memory = query
            .prompt
            .map_or(0, |prompt| prompt.tokens + prompt.output_tokens);
        self.sent(engine, query.rank, reading, f64::from(memory), now)
    }

    fn reading_at(&self, engine: &EngineId, query: &PoolQuery<'_>, now: MonotonicTime) -> ReadingWork {
        let context = self.context(query, now);
        let state = self.engines.get(engine);
        state.map_or(ReadingWork::default(), |state| context.reading(state, query))
    }

    /// Notes that an engine has read a prompt, whose parts it holds from now on.
    pub fn on_prompt_read(&mut self, ticket: &PoolTicket, prefixes: &[PrefixBlock], now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        state.health.succeeded();
        note_held(state, prefixes, &mut self.news, now);
        if let Some(work) = state.sent.remove(&ticket.number)
            && work.alone
        {
            let took = now.since(work.sent_at);
            let pool = state.engine.pool.clone();
            let speed = speed_of(&mut self.speeds, &pool, &self.weights);
            let expected = work.prompt_tokens / speed.tokens_per_second();
            observe_slowness(state, took, expected);
            speed.observe(work.prompt_tokens, took);
        }
    }

    /// Notes that parts of a prompt came to be held by an engine that fetched them.
    pub fn on_prefixes_held(&mut self, engine: &EngineId, prefixes: &[PrefixBlock], now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(engine) {
            note_held(state, prefixes, &mut self.news, now);
        }
    }

    /// Takes another node's news of shared prefixes that engines hold.
    pub fn on_peer_news(&mut self, news: &[PrefixNews], now: MonotonicTime) {
        for one in news {
            let state = self.engines.values_mut().find(|state| state.handle == one.engine);
            if let Some(state) = state {
                if one.just_answered {
                    state.heard(now);
                }
                state.prefixes.note_read(&one.prefixes, now);
            }
        }
    }

    /// Takes what an engine says that it holds, and tells other nodes.
    pub fn on_held_list(&mut self, engine: &EngineId, held: &[PrefixBlock], now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        state.prefixes.note_read(held, now);
        let news = held.chunks(BLOCKS_IN_NEWS).map(|prefixes| PrefixNews {
            engine: state.handle,
            prefixes: prefixes.to_vec(),
            just_answered: false,
        });
        self.news.extend(news);
    }

    /// Everything that engines are believed to hold, for a node that has just started.
    pub fn held(&self) -> Vec<PrefixNews> {
        self.engines
            .values()
            .filter(|state| !state.prefixes.is_empty())
            .map(|state| PrefixNews {
                engine: state.handle,
                prefixes: state.prefixes.blocks(),
                just_answered: false,
            })
            .collect()
    }

    /// News of shared prefixes since the last call, for other nodes.
    ///
    /// At most `most` of them; the rest follows at the next call.
    pub fn take_news(&mut self, most: usize) -> Vec<PrefixNews> {
        let rest = self.news.split_off(most.min(self.news.len()));
        std::mem::replace(&mut self.news, rest)
    }

    /// Notes that an engine that reads a prompt and runs its output has come to the output.
    pub fn on_output_begun(&mut self, ticket: &PoolTicket, prefixes: &[PrefixBlock], now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(&ticket.engine) else {
            return;
        };
        if let Some(work) = state.sent.get_mut(&ticket.number) {
            work.prompt_tokens = 0.0;
            work.moving_tokens = 0.0;
        }
        note_held(state, prefixes, &mut self.news, now);
    }

    /// Notes that a dispatch ended well.
    pub fn on_answered(&mut self, ticket: &PoolTicket) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            state.sent.remove(&ticket.number);
            state.health.succeeded();
        }
    }

    /// Notes that a dispatch ended for a cause that is not the engine's.
    pub fn on_abandoned(&mut self, ticket: &PoolTicket) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            state.sent.remove(&ticket.number);
        }
    }

    /// Notes that an engine refused a dispatch before running it.
    pub fn on_refused(&mut self, ticket: &PoolTicket, reason: EngineRefusalReason, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            state.sent.remove(&ticket.number);
            state.heard(now);
            state.health.refused(reason, now);
        }
    }

    /// Notes that a connection to an engine broke, stayed silent or could not be made.
    pub fn on_broken(&mut self, ticket: &PoolTicket, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(&ticket.engine) {
            state.sent.remove(&ticket.number);
            state.health.broke(now);
        }
    }

    fn sent(
        &mut self,
        engine: &EngineId,
        rank: usize,
        reading: ReadingWork,
        memory_tokens: f64,
        now: MonotonicTime,
    ) -> PoolTicket {
        self.tickets += 1;
        self.demand.on_sent(reading.computed, now);
        if let Some(state) = self.engines.get_mut(engine) {
            let work = SentWork {
                rank,
                prompt_tokens: reading.computed,
                memory_tokens,
                moving_tokens: reading.fetched,
                sent_at: now,
                alone: state.work(now).requests < 0.5,
            };
            state.sent.insert(self.tickets, work);
        }
        PoolTicket {
            engine: engine.clone(),
            number: self.tickets,
        }
    }

    fn context(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> CostContext<'_> {
        let assumed = self.weights.assumed_prompt_tokens_per_second;
        let speed = self.speeds.get(query.pool);
        let traits = self.traits.get(query.pool);
        CostContext {
            weights: &self.weights,
            speed: speed.map_or(assumed, SpeedEstimate::tokens_per_second),
            move_seconds: traits.and_then(|traits| traits.move_seconds),
            most_held: self.best_holder(query, now).map_or(0, |(tokens, _)| tokens),
            now,
        }
    }

    /// The engine that holds most of a prompt's beginning.
    fn best_holder(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> Option<(u32, &EngineState)> {
        let holders = self.engines.values().filter(|state| {
            state.engine.pool == *query.pool
                && state.engine.stage != EngineStage::Whole
                && state.can_be_fetched_from(now)
        });
        holders
            .map(|state| (state.prefixes.held_tokens(query.prefixes), state))
            .filter(|(tokens, _)| *tokens > 0)
            .max_by_key(|(tokens, state)| (*tokens, state.engine.zone == *query.zone))
    }

    /// From where an engine that reads a prompt fetches what it does not hold; absent where nobody holds more.
    pub fn fetch_source(
        &self,
        engine: &EngineId,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> Option<SocketAddr> {
        let context = self.context(query, now);
        context.move_seconds?;
        let held = self.engines.get(engine)?.prefixes.held_tokens(query.prefixes);
        let (tokens, holder) = self.best_holder(query, now)?;
        let worth_it = tokens >= held + LEAST_FETCH && holder.engine.id != *engine;
        worth_it.then_some(holder.engine.address)
    }

    fn candidates<'a>(
        &'a self,
        query: &'a PoolQuery<'_>,
        stage: EngineStage,
        now: MonotonicTime,
    ) -> impl Iterator<Item = &'a EngineState> {
        self.engines.values().filter(move |state| {
            state.engine.pool == *query.pool
                && state.engine.stage == stage
                && state.takes_work(now, query.paused_too)
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
        let decodes = self.candidates(query, EngineStage::Decode, context.now);
        let (cost, decode) = cheapest(decodes, |state| context.output(state, &prefill.engine.zone))?;
        Some((prompt_cost + cost + context.hand_over(query), prefill, decode))
    }

    fn choose_prefill<'a>(
        &'a self,
        query: &'a PoolQuery<'_>,
        context: &CostContext<'_>,
    ) -> Option<(f64, &'a EngineState)> {
        let home = self.home(query);
        cheapest(
            self.candidates(query, EngineStage::Prefill, context.now),
            |state| {
                let is_home = home.as_ref() == Some(&state.engine.id);
                context.prompt(state, query, is_home)
            },
        )
    }

    /// An engine that runs outputs and reads this prompt itself.
    fn choose_reading_decode<'a>(
        &'a self,
        query: &'a PoolQuery<'_>,
        context: &CostContext<'_>,
    ) -> Option<(f64, &'a EngineState)> {
        let decodes = self.candidates(query, EngineStage::Decode, context.now);
        cheapest(decodes, |state| context.both(state, query))
    }

    /// The engine at which the shared part of a prompt is kept, by rendezvous hashing over those that read prompts.
    fn home(&self, query: &PoolQuery<'_>) -> Option<EngineId> {
        let shared = shared_prefixes(query.prefixes);
        let last = shared.last().or(query.prefixes.last())?;
        let task = SubjectHandle::of_number(last.hash);
        // An engine that is left alone for a moment stays the home: moving its parts costs more than the moment.
        let homes = self.engines.values().filter(|state| {
            state.engine.pool == *query.pool
                && state.engine.stage == EngineStage::Prefill
                && state.stays()
                && !query.excluded.contains(&state.engine.id)
        });
        homes
            .max_by_key(|state| (rendezvous::weight(task, state.handle), &state.engine.id))
            .map(|state| state.engine.id.clone())
    }
}

fn note_held(
    state: &mut EngineState,
    prefixes: &[PrefixBlock],
    news: &mut Vec<PrefixNews>,
    now: MonotonicTime,
) {
    state.heard(now);
    state.prefixes.note_read(prefixes, now);
    let shared = shared_prefixes(prefixes);
    if !shared.is_empty() && news.len() < MOST_NEWS {
        news.push(PrefixNews {
            engine: state.handle,
            prefixes: shared.to_vec(),
            just_answered: true,
        });
    }
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

fn speed_of<'a>(
    speeds: &'a mut BTreeMap<PoolId, SpeedEstimate>,
    pool: &PoolId,
    weights: &PoolWeights,
) -> &'a mut SpeedEstimate {
    speeds
        .entry(pool.clone())
        .or_insert(SpeedEstimate::assumed(weights.assumed_prompt_tokens_per_second))
}

fn observe_slowness(state: &mut EngineState, took: Duration, expected: f64) {
    const FLOOR_SECONDS: f64 = 0.1;
    let factor = (took.as_secs_f64() + FLOOR_SECONDS) / (expected + FLOOR_SECONDS);
    let (least, most) = SLOWNESS_BOUNDS;
    state.slowness = (state.slowness + SLOWNESS_SHARE * (factor - state.slowness)).clamp(least, most);
}
