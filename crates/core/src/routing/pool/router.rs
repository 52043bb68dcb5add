//! The router and what it knows of each engine.

use super::cordons::ActiveCordon;
use super::engine::{DELISTED_RETENTION, Delisted, EngineStage, EngineState, PoolEngine, ReportedLoad};
use super::limits::SentRate;
use super::pace::{PaceChange, PoolPace};
use super::paths::Paths;
use super::peer_reports::PrefixUpdate;
use super::pool_speeds::PoolSpeeds;
use super::prompt_demand::PromptDemand;
use super::silences::{EngineAvailabilityChange, PendingSilence};
use super::weights::PoolWeights;
use super::working_set::WorkingSet;
use crate::engine_signals::SignalRegister;
use crate::forwarding::{ForwardingConfig, ModelTraits, PoolId};
use crate::identity::{EngineId, EngineStart, NodeId};
use crate::membership::subject::SubjectHandle;
use crate::sharing::UseLedger;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, HashMap};

/// Memory assumed of an engine whose pool does not tell, in tokens.
const DEFAULT_CACHE_TOKENS: u64 = 400_000;

/// Chooses engines for forwarded requests; holds no socket, thread or clock.
#[derive(Clone, Debug)]
pub struct PoolRouter {
    pub(super) weights: PoolWeights,
    pub(super) engines: BTreeMap<EngineId, EngineState>,
    pub(super) engine_of: HashMap<SubjectHandle, EngineId>,
    /// Engines at which each other node last told of work.
    pub(super) engines_reported_by: BTreeMap<NodeId, Vec<SubjectHandle>>,
    pub(super) speeds: BTreeMap<PoolId, PoolSpeeds>,
    pub(super) paces: BTreeMap<PoolId, PoolPace>,
    pub(super) traits: BTreeMap<PoolId, ModelTraits>,
    pub(super) prefix_updates: Vec<PrefixUpdate>,
    /// Whether what is sent from one zone reaches engines in another.
    pub(super) paths: Paths,
    pub(super) pending_silences: Vec<PendingSilence>,
    pub(super) availability_changes: Vec<EngineAvailabilityChange>,
    /// Engines whose momentary figure others are to be told.
    pub(super) unsent_paces: Vec<SubjectHandle>,
    /// The last engine whose lasting speed others were told.
    pub(super) lasting_pace_cursor: Option<EngineId>,
    /// Changes of lasting speeds that are to be reported.
    pub(super) pace_changes: Vec<PaceChange>,
    pub(super) demand: PromptDemand,
    /// Requests that this node sent, by pool and stage.
    pub(super) sent_rates: BTreeMap<(PoolId, EngineStage), SentRate>,
    pub(super) last_ticket_number: u64,
    /// Cordons in force.
    pub(super) cordons: Vec<ActiveCordon>,
    pub(super) sharing: UseLedger,
    /// What engines said of themselves in their answers.
    pub(super) signals: SignalRegister,
    /// Which of the listed engines are in use.
    pub(super) working_set: WorkingSet,
}

impl PoolRouter {
    /// A router that knows no engine yet.
    pub fn new(weights: PoolWeights) -> Self {
        Self {
            weights,
            engines: BTreeMap::new(),
            engine_of: HashMap::new(),
            engines_reported_by: BTreeMap::new(),
            speeds: BTreeMap::new(),
            paces: BTreeMap::new(),
            traits: BTreeMap::new(),
            prefix_updates: Vec::new(),
            paths: Paths::default(),
            pending_silences: Vec::new(),
            availability_changes: Vec::new(),
            unsent_paces: Vec::new(),
            lasting_pace_cursor: None,
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

    /// Takes what a configuration tells of the pools.
    pub fn on_config(&mut self, config: &ForwardingConfig) {
        let paid = config.pools.iter().filter(|pool| pool.scaling.is_some());
        self.working_set.billed_pools = paid.map(|pool| pool.id.clone()).collect();
        for pool in &config.pools {
            if let Some(model) = &pool.model {
                self.traits.insert(pool.id.clone(), model.clone());
            }
        }
    }

    /// Takes an engine into use, or its new listing where it is in use.
    pub(super) fn upsert_engine(&mut self, engine: PoolEngine) {
        let id = engine.id.clone();
        match self.engines.get_mut(&id) {
            Some(state) => state.update(engine),
            None => {
                let traits = self.traits.get(&engine.pool);
                let tokens = traits.map_or(DEFAULT_CACHE_TOKENS, |traits| traits.cache_tokens);
                let mut state = EngineState::new(engine, tokens);
                state.backoff_end = self.signals.backoff_end(state.handle);
                self.init_pace(&mut state);
                self.engine_of.insert(state.handle, id.clone());
                self.engines.insert(id.clone(), state);
            }
        }
        self.apply_cordons_to(&id);
    }

    /// Notes that the platform lists an engine no longer; `doubtful` where the store was in trouble just before, so
    /// that the engine may live and only its entry have lapsed.
    pub fn on_engine_gone(&mut self, engine: &EngineId, doubtful: bool, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.delisted = Some(Delisted { since: now, doubtful });
        }
        self.engines.retain(|_, state| {
            state
                .delisted
                .is_none_or(|removal| now.since(removal.since) < DELISTED_RETENTION)
        });
        let engines = &self.engines;
        self.engine_of.retain(|_, engine| engines.contains_key(engine));
        self.remove_delisted_engine(engine);
    }

    /// Notes that an engine's entry can't be read: no start of its name is used any more, in doubt or not. Returns those
    /// that were known.
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

    /// Every start of a name that is known.
    pub(super) fn starts_of(&mut self, name: &str) -> impl Iterator<Item = &mut EngineState> {
        let first = EngineId::new(name);
        let last = EngineId::started(name, EngineStart(u64::MAX));
        self.engines.range_mut(first..=last).map(|(_, state)| state)
    }

    /// What a pool's engines were seen to take; the assumption where none was seen yet.
    pub fn speeds(&self, pool: &PoolId) -> PoolSpeeds {
        self.speeds
            .get(pool)
            .copied()
            .unwrap_or_else(|| self.assumed_speeds())
    }

    pub(super) fn assumed_speeds(&self) -> PoolSpeeds {
        PoolSpeeds::with_initial_speed(
            self.weights.assumed_prompt_tokens_per_second,
            self.weights.decode_reading_pace,
        )
    }

    /// The engine with a handle.
    pub(super) fn state_of(&mut self, handle: SubjectHandle) -> Option<&mut EngineState> {
        self.engines.get_mut(self.engine_of.get(&handle)?)
    }

    /// The short name of an engine, the same at every node.
    pub fn handle_of(&self, engine: &EngineId) -> SubjectHandle {
        self.engines
            .get(engine)
            .map_or_else(|| SubjectHandle::of_engine(engine), |state| state.handle)
    }

    /// The engine with a short name; absent where it is not known.
    pub fn engine_by_handle(&self, handle: SubjectHandle) -> Option<EngineId> {
        self.engine_of.get(&handle).cloned()
    }

    /// The known ones of some engines.
    pub fn engines_by_handle(&self, handles: &[SubjectHandle]) -> Vec<EngineId> {
        handles
            .iter()
            .filter_map(|handle| self.engine_by_handle(*handle))
            .collect()
    }

    /// Takes the load that an engine told in an answer.
    pub fn on_reported_load(&mut self, engine: &EngineId, told: ReportedLoad, now: MonotonicTime) {
        let state = self.engines.get_mut(engine);
        // What an earlier start told says nothing of the engine as it is, nor of its pool's machines now.
        let Some(state) = state.filter(|state| !state.has_later_start()) else {
            return;
        };
        state.record_answer(now);
        state.reported_load = Some((told, now));
        self.on_reported_pace(engine, &told, now);
    }

    /// All engines known, by name.
    pub fn engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// One engine.
    pub fn engine(&self, engine: &EngineId) -> Option<&EngineState> {
        self.engines.get(engine)
    }

    /// Engines that take work now.
    pub fn engines_taking_work(&self, now: MonotonicTime) -> usize {
        self.engines
            .values()
            .filter(|state| state.takes_work(now, false))
            .count()
    }

    /// Engines of a pool that may run outputs now, those left alone for a while among them.
    pub fn decode_capable_engines(&self, pool: &PoolId, now: MonotonicTime) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|state| state.engine.pool == *pool && state.engine.stage != EngineStage::Prefill)
            .filter(|state| state.takes_work(now, true))
            .count()
    }

    /// The use of the pools by tenants and kinds.
    pub fn sharing(&self) -> &UseLedger {
        &self.sharing
    }

    /// The same, to be told what was used.
    pub fn sharing_mut(&mut self) -> &mut UseLedger {
        &mut self.sharing
    }

    /// Pools whose engines run models.
    pub fn model_pools(&self) -> Vec<PoolId> {
        self.traits.keys().cloned().collect()
    }
}
