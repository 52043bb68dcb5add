//! The pool router and the engines that it knows.

use super::beliefs::PrefixUpdate;
use super::cordons::ActiveCordon;
use super::distant_prefixes::DistantPrefixes;
use super::engine::{
    DELISTED_RETENTION, Delisted, EngineLoad, EngineStage, EngineState, PoolEngine, ReportedLoad,
};
use super::limits::SentRate;
use super::pace::{PaceChange, PoolPace};
use super::paths::Paths;
use super::pool_speeds::PoolSpeeds;
use super::prompt_demand::PromptDemand;
use super::query::PoolQuery;
use super::silences::{EngineAvailabilityChange, PendingUnansweredRequest};
use super::weights::PoolWeights;
use super::working_set::WorkingSet;
use crate::engine_signals::SignalRegister;
use crate::forwarding::{ForwardingConfig, ModelTraits, PoolId};
use crate::identity::{EngineId, EngineStart, NodeId, RegionId};
use crate::membership::subject::SubjectHandle;
use crate::sharing::UseLedger;
use crate::time::MonotonicTime;
use crate::topology::Topology;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// KV cache capacity of an engine whose pool configures none, in tokens.
const DEFAULT_CACHE_TOKENS: u64 = 400_000;

/// Selects engines for forwarded requests. Does no I/O; callers pass the current time.
#[derive(Clone, Debug)]
pub struct PoolRouter {
    pub(super) weights: PoolWeights,
    pub(super) engines: BTreeMap<EngineId, EngineState>,
    pub(super) engine_ids: HashMap<SubjectHandle, EngineId>,
    /// Engines for which each peer last reported load.
    pub(super) engines_reported_by: BTreeMap<NodeId, Vec<SubjectHandle>>,
    pub(super) speeds: BTreeMap<PoolId, PoolSpeeds>,
    pub(super) paces: BTreeMap<PoolId, PoolPace>,
    pub(super) traits: BTreeMap<PoolId, ModelTraits>,
    pub(super) prefix_updates: Vec<PrefixUpdate>,
    /// Zones and regions.
    pub(super) topology: Topology,
    /// Measured round trips to other regions, in seconds.
    pub(super) region_round_trips: BTreeMap<RegionId, f64>,
    /// Prefixes that engines of other regions hold.
    pub(super) distant_prefixes: DistantPrefixes,
    /// When a request was last late or refused for lack of capacity.
    pub(super) last_rejection: Option<MonotonicTime>,
    /// State of the network paths between zones.
    pub(super) paths: Paths,
    pub(super) pending_unanswered_requests: Vec<PendingUnansweredRequest>,
    pub(super) availability_changes: Vec<EngineAvailabilityChange>,
    /// Engines whose momentary pace has not been sent to peers yet.
    pub(super) unsent_paces: Vec<SubjectHandle>,
    /// Last engine whose long-term pace was sent to peers.
    pub(super) long_term_pace_cursor: Option<EngineId>,
    /// Changes of long-term paces that have not been taken yet.
    pub(super) pace_changes: Vec<PaceChange>,
    pub(super) demand: PromptDemand,
    /// Rate of requests sent by this node, by pool and stage.
    pub(super) sent_rates: BTreeMap<(PoolId, EngineStage), SentRate>,
    pub(super) last_ticket_number: u64,
    /// Active cordons.
    pub(super) cordons: Vec<ActiveCordon>,
    pub(super) sharing: UseLedger,
    /// Signals that engines sent in their answers.
    pub(super) signals: SignalRegister,
    /// Listed engines that are in use.
    pub(super) working_set: WorkingSet,
}

impl PoolRouter {
    /// Creates a router without engines.
    pub fn new(weights: PoolWeights) -> Self {
        Self {
            weights,
            engines: BTreeMap::new(),
            engine_ids: HashMap::new(),
            engines_reported_by: BTreeMap::new(),
            speeds: BTreeMap::new(),
            paces: BTreeMap::new(),
            traits: BTreeMap::new(),
            prefix_updates: Vec::new(),
            topology: Topology::default(),
            region_round_trips: BTreeMap::new(),
            distant_prefixes: DistantPrefixes::default(),
            last_rejection: None,
            paths: Paths::default(),
            pending_unanswered_requests: Vec::new(),
            availability_changes: Vec::new(),
            unsent_paces: Vec::new(),
            long_term_pace_cursor: None,
            pace_changes: Vec::new(),
            demand: PromptDemand::default(),
            sent_rates: BTreeMap::new(),
            last_ticket_number: 0,
            cordons: Vec::new(),
            sharing: UseLedger::default(),
            signals: SignalRegister::default(),
            working_set: WorkingSet::default(),
        }
    }

    /// Sets the zones and regions of the deployment. Without a call, the deployment is not regional.
    pub fn set_topology(&mut self, topology: Topology) {
        self.topology = topology;
        self.combine_all_cordons();
    }

    /// Zones and regions of the deployment.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Records the mean round trip to a region, which is part of the cost of its engines.
    pub fn on_region_round_trip(&mut self, region: &RegionId, mean: Duration) {
        self.region_round_trips.insert(region.clone(), mean.as_secs_f64());
    }

    /// Weight of a less urgent prompt that an engine has begun.
    pub(super) fn in_progress_weight(&self) -> f64 {
        if self.topology.is_regional() {
            self.weights.in_progress
        } else {
            0.0
        }
    }

    /// Prompt tokens that an engine with the given load prefills before a new request of the given rank.
    pub(super) fn tokens_before(&self, load: &EngineLoad, rank: usize) -> f64 {
        load.prompt_tokens_ahead(rank)
            + self.in_progress_weight() * load.prompt_tokens_in_progress_behind(rank)
    }

    /// Whether any engine of the pool that is not about to leave may continue the stream of the request, whatever keeps it from
    /// taking the request now.
    pub fn has_continuing_engine(&self, query: &PoolQuery<'_>) -> bool {
        let used = self.engines.values().filter(|state| state.is_active());
        let listed = used.map(|state| &state.engine).chain(self.reserve());
        listed.into_iter().any(|engine| {
            engine.pool == *query.pool
                && engine.stage != EngineStage::Prefill
                && !query.excluded.contains(&engine.id)
                && query.origin.is_none_or(|origin| origin.allows_engine(engine))
        })
    }

    /// Whether the engines of a query's region include the given state.
    pub(super) fn is_in_query_region(&self, region: Option<&RegionId>, state: &EngineState) -> bool {
        region.is_none_or(|region| self.topology.contains(region, &state.engine.zone))
    }

    /// Applies the pool settings of a configuration.
    pub fn on_config(&mut self, config: &ForwardingConfig) {
        let paid = config.pools.iter().filter(|pool| pool.scaling.is_some());
        self.working_set.billed_pools = paid.map(|pool| pool.id.clone()).collect();
        for pool in &config.pools {
            if let Some(model) = &pool.model {
                self.traits.insert(pool.id.clone(), model.clone());
            }
        }
    }

    /// Adds an engine, or updates it from its new listing.
    pub(super) fn upsert_engine(&mut self, engine: PoolEngine) {
        let id = engine.id.clone();
        match self.engines.get_mut(&id) {
            Some(state) => state.update(engine),
            None => {
                let traits = self.traits.get(&engine.pool);
                let tokens = traits.map_or(DEFAULT_CACHE_TOKENS, |traits| traits.cache_tokens);
                let mut state = EngineState::new(engine, tokens);
                self.inherit_backoff(&state);
                state.backoff_end = self.signals.backoff_end(state.handle);
                self.init_pace(&mut state);
                self.engine_ids.insert(state.handle, id.clone());
                self.engines.insert(id.clone(), state);
            }
        }
        self.apply_cordons_to(&id);
    }

    /// Applies the backoffs of delisted starts to a later start that may have asked for them.
    fn inherit_backoff(&mut self, later: &EngineState) {
        let id = &later.engine.id;
        let earlier = self.engines.range(EngineId::new(id.as_str())..id.clone());
        for (_, state) in earlier.filter(|(_, state)| state.engine.address == later.engine.address) {
            if let Some(delisted) = state.delisted {
                self.signals
                    .inherit_backoff(state.handle, delisted.since, later.handle);
            }
        }
    }

    /// Handles the removal of an engine from the platform's list. `doubtful` means that the store has just had
    /// problems, so the engine may be alive and only have failed to renew its entry.
    pub fn on_engine_delisted(&mut self, engine: &EngineId, doubtful: bool, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.delisted = Some(Delisted { since: now, doubtful });
        }
        self.engines.retain(|_, state| {
            state
                .delisted
                .is_none_or(|removal| now.since(removal.since) < DELISTED_RETENTION)
        });
        let engines = &self.engines;
        self.engine_ids.retain(|_, engine| engines.contains_key(engine));
        self.remove_delisted_engine(engine);
    }

    /// Handles an unreadable entry: all starts of the engine with that name are no longer used. Returns the known
    /// starts.
    pub fn on_entry_unreadable(&mut self, entry: &EngineId, now: MonotonicTime) -> Vec<EngineId> {
        let starts = self.starts_of(entry.as_str()).map(|state| {
            let since = state.delisted.map_or(now, |removal| removal.since);
            state.delisted = Some(Delisted {
                since,
                doubtful: false,
            });
            state.engine.id.clone()
        });
        let starts: Vec<EngineId> = starts.collect();
        starts
            .iter()
            .chain([entry])
            .for_each(|start| self.remove_delisted_engine(start));
        starts
    }

    /// All known starts of the engine with the given name.
    pub(super) fn starts_of(&mut self, name: &str) -> impl Iterator<Item = &mut EngineState> {
        let first = EngineId::new(name);
        let last = EngineId::started(name, EngineStart(u64::MAX));
        self.engines.range_mut(first..=last).map(|(_, state)| state)
    }

    /// Learned speeds of a pool; the configured defaults before anything was observed.
    pub fn speeds(&self, pool: &PoolId) -> PoolSpeeds {
        self.speeds
            .get(pool)
            .copied()
            .unwrap_or_else(|| self.default_speeds())
    }

    pub(super) fn default_speeds(&self) -> PoolSpeeds {
        PoolSpeeds::with_initial_speed(
            self.weights.assumed_prompt_tokens_per_second,
            self.weights.decode_reading_pace,
        )
    }

    /// State of the engine with the given handle; absent if it is unknown.
    pub(super) fn state_of(&mut self, handle: SubjectHandle) -> Option<&mut EngineState> {
        self.engines.get_mut(self.engine_ids.get(&handle)?)
    }

    /// Handle of an engine, which is the same at every node.
    pub fn handle_of(&self, engine: &EngineId) -> SubjectHandle {
        self.engines
            .get(engine)
            .map_or_else(|| SubjectHandle::of_engine(engine), |state| state.handle)
    }

    /// Name of the engine with the given handle; absent if it is unknown.
    pub fn engine_by_handle(&self, handle: SubjectHandle) -> Option<EngineId> {
        self.engine_ids.get(&handle).cloned()
    }

    /// Names of the engines with the given handles; unknown ones are left out.
    pub fn engines_by_handle(&self, handles: &[SubjectHandle]) -> Vec<EngineId> {
        handles
            .iter()
            .filter_map(|handle| self.engine_by_handle(*handle))
            .collect()
    }

    /// Records the load that an engine reported in an answer.
    pub fn on_reported_load(&mut self, engine: &EngineId, reported: ReportedLoad, now: MonotonicTime) {
        let state = self.engines.get_mut(engine);
        // A report of an earlier start applies neither to the current start nor to the pool's pace.
        let Some(state) = state.filter(|state| !state.has_later_start()) else {
            return;
        };
        state.record_answer(now);
        state.reported_load = Some((reported, now));
        self.on_reported_pace(engine, &reported, now);
    }

    /// All known engines, ordered by name.
    pub fn engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// State of an engine; absent if it is unknown.
    pub fn engine(&self, engine: &EngineId) -> Option<&EngineState> {
        self.engines.get(engine)
    }

    /// Number of engines that accept new requests now, in all pools.
    pub fn available_engine_count(&self, now: MonotonicTime) -> usize {
        self.engines
            .values()
            .filter(|state| state.takes_work(now, false))
            .count()
    }

    /// Number of engines of a pool that can run decode now, including temporarily avoided ones.
    pub fn decode_engine_count(&self, pool: &PoolId, now: MonotonicTime) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|state| state.engine.pool == *pool && state.engine.stage != EngineStage::Prefill)
            .filter(|state| state.takes_work(now, true))
            .count()
    }

    /// Usage of the pools by tenants and kinds of requests.
    pub fn sharing(&self) -> &UseLedger {
        &self.sharing
    }

    /// Mutable access to record usage.
    pub fn sharing_mut(&mut self) -> &mut UseLedger {
        &mut self.sharing
    }

    /// Pools that serve a model.
    pub fn model_pools(&self) -> Vec<PoolId> {
        self.traits.keys().cloned().collect()
    }
}
