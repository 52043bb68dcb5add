//! Exchange between peers: load, demand, stage orders and the prefix blocks that engines hold.

use super::beliefs::{PeerLoad, PeerLoadSlice, PrefixUpdate};
use super::engine::{EngineStage, EngineState};
use super::query::PrefixBlock;
use super::router::PoolRouter;
use crate::forwarding::PoolId;
use crate::identity::{EngineId, NodeId, RegionId};
use crate::membership::subject::{SubjectHandle, mix};
use crate::roles::pool::{PoolDemand, PoolEngineView};
use crate::time::MonotonicTime;
use std::collections::BTreeSet;

/// Maximum number of prefix blocks in one update, so that an update fits into a datagram.
const MAX_BLOCKS_PER_UPDATE: usize = 16;

impl PoolRouter {
    /// Applies a peer's report of its load at a slice of the engines.
    ///
    /// `loads` replaces everything that the peer reported for that slice before.
    pub fn on_peer_load(
        &mut self,
        peer: &NodeId,
        slice: PeerLoadSlice,
        loads: &[(SubjectHandle, PeerLoad)],
        now: MonotonicTime,
    ) {
        let reported: Vec<SubjectHandle> = loads.iter().map(|(handle, _)| *handle).collect();
        let before = self.engines_reported_by.entry(peer.clone()).or_default();
        let (dropped, retained): (Vec<_>, Vec<_>) = before
            .iter()
            .filter(|handle| !reported.contains(handle))
            .partition(|handle| slice.includes(**handle));
        *before = retained.into_iter().chain(reported).collect();
        for handle in dropped {
            if let Some(state) = self.state_of(handle) {
                state.peers.remove(peer);
            }
        }
        for (handle, load) in loads {
            // This node's next request may be sent to an engine that a peer uses, so it has to know the engine's load.
            self.bring_into_use(*handle);
            if let Some(state) = self.state_of(*handle) {
                state.peers.insert(peer.clone(), (*load, now));
                state
                    .recent_prefill
                    .observe(state.load(now).all_prompt_tokens(), now);
            }
        }
    }

    /// This node's own load in the form sent to peers; engines without in-flight requests of this node are omitted.
    pub fn own_load(&self) -> Vec<(SubjectHandle, PeerLoad)> {
        self.engines
            .values()
            .filter(|state| !state.in_flight.is_empty())
            .map(|state| (state.handle, state.own_load().to_peer_load()))
            .collect()
    }

    /// Records orders to change the stage of engines, given by this node or a peer.
    pub fn on_stage_orders(&mut self, orders: &[(SubjectHandle, EngineStage)], now: MonotonicTime) {
        for (handle, stage) in orders {
            if let Some(state) = self.state_of(*handle)
                && state.engine.stage != *stage
                && state.stage_order.is_none_or(|(known, _)| known != *stage)
            {
                state.stage_order = Some((*stage, now));
            }
        }
    }

    /// Records an order of this node to change the stage of an engine.
    pub fn record_stage_order(&mut self, engine: &EngineId, stage: EngineStage, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.stage_order = Some((stage, now));
        }
    }

    /// Removes the pending stage order of an engine.
    pub fn clear_stage_order(&mut self, engine: &EngineId) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.stage_order = None;
        }
    }

    /// Stage orders that are neither carried out nor expired.
    pub fn pending_stage_orders(&self, now: MonotonicTime) -> Vec<(SubjectHandle, EngineStage)> {
        self.engines
            .values()
            .filter_map(|state| Some((state.handle, state.ordered_stage(now)?)))
            .collect()
    }

    /// Input of the role planner for one pool: its engines, and the demand reported by all nodes.
    pub fn role_planner_input(&self, pool: &PoolId, now: MonotonicTime) -> (Vec<PoolEngineView>, PoolDemand) {
        let views = self.planned_engines(pool, now);
        let demand = self.demand.prompt_tokens_per_second(now);
        (
            views.map(|state| self.planner_view(state, now)).collect(),
            self.planner_demand(pool, demand),
        )
    }

    /// Input of the role planner for the engines of a pool in one region. The demand is that of this node and of the peers that
    /// are not `elsewhere`. An engine of a zone that the settings do not name belongs to no region's plan: the plans of two
    /// regions could order it to and fro.
    pub fn regional_planner_input(
        &self,
        pool: &PoolId,
        region: &RegionId,
        elsewhere: &BTreeSet<NodeId>,
        now: MonotonicTime,
    ) -> (Vec<PoolEngineView>, PoolDemand) {
        let views = self
            .planned_engines(pool, now)
            .filter(|state| self.topology.region_of(&state.engine.zone) == Some(region));
        let is_counted = |peer: &NodeId| !elsewhere.contains(peer);
        let demand = self.demand.prompt_tokens_per_second_of(is_counted, now);
        (
            views.map(|state| self.planner_view(state, now)).collect(),
            self.planner_demand(pool, demand),
        )
    }

    /// Listed engines of a pool in another region that are not in use here, as the role planner sees them. This node does not know
    /// the load that decides which engines are in use there.
    pub fn reserve_planner_views(&self, pool: &PoolId, region: &RegionId) -> Vec<PoolEngineView> {
        let reserve = self
            .reserve()
            .filter(|engine| engine.pool == *pool && self.topology.region_of(&engine.zone) == Some(region));
        let views = reserve.map(|engine| PoolEngineView {
            engine: engine.id.clone(),
            zone: engine.zone.clone(),
            spot: engine.spot,
            stage: engine.stage,
            requests: 0.0,
            memory_tokens: 0.0,
            places: f64::from(engine.places),
            capacity_tokens: 1.0,
            part: 1.0,
        });
        views.collect()
    }

    /// Digest of the list entries of a pool's engines in a region, in use or not.
    pub fn listing_digest(&self, pool: &PoolId, region: &RegionId) -> u64 {
        let used = self.engines.values().filter(|state| state.is_active());
        let listed = used.map(|state| &state.engine).chain(self.reserve());
        let of_region = listed
            .filter(|engine| engine.pool == *pool && self.topology.region_of(&engine.zone) == Some(region));
        of_region.fold(0, |digest, engine| {
            let handle = SubjectHandle::of_engine(&engine.id).number();
            digest ^ mix(handle ^ mix(engine.stage as u64))
        })
    }

    /// Engines of a pool that were ordered to another stage than the listed one.
    pub fn engines_changing_stage(&self, pool: &PoolId, now: MonotonicTime) -> BTreeSet<EngineId> {
        let changing = self.engines.values().filter(|state| {
            let ordered = state.ordered_stage(now);
            state.engine.pool == *pool && ordered.is_some_and(|stage| stage != state.engine.stage)
        });
        changing.map(|state| state.engine.id.clone()).collect()
    }

    fn planned_engines<'r>(
        &'r self,
        pool: &'r PoolId,
        now: MonotonicTime,
    ) -> impl Iterator<Item = &'r EngineState> {
        self.engines.values().filter(move |state| {
            state.engine.pool == *pool && state.is_active() && state.cordon_allows(now, false)
        })
    }

    fn planner_view(&self, state: &EngineState, now: MonotonicTime) -> PoolEngineView {
        let load = state.load(now);
        PoolEngineView {
            engine: state.engine.id.clone(),
            zone: state.engine.zone.clone(),
            spot: state.engine.spot,
            stage: state.ordered_stage(now).unwrap_or(state.engine.stage),
            requests: load.outputs,
            memory_tokens: load.output_tokens,
            places: f64::from(state.engine.places),
            capacity_tokens: state.prefixes.capacity_tokens(),
            part: self.share_within_limit(state, now),
        }
    }

    fn planner_demand(&self, pool: &PoolId, demand: Option<f64>) -> PoolDemand {
        let speed = self.speeds(pool).prefill;
        PoolDemand {
            prompt_tokens_per_second: demand.filter(|_| speed.is_learned()),
            engine_tokens_per_second: speed.tokens_per_second() * self.mean_relative_speed(pool),
        }
    }

    /// Takes back demand that this node counted for a request at `counted_at` and that another node or region serves.
    pub fn withdraw_demand(&mut self, tokens: f64, counted_at: MonotonicTime, now: MonotonicTime) {
        self.demand.withdraw(tokens, counted_at, now);
    }

    /// Prompt tokens that this node has counted as demand, decayed until `now`.
    pub fn counted_demand_tokens(&self, now: MonotonicTime) -> f64 {
        self.demand.counted_tokens(now)
    }

    /// Demand from this node's own requests, in prompt tokens per second.
    pub fn own_demand(&self, now: MonotonicTime) -> u32 {
        self.demand.own(now) as u32
    }

    /// Records the demand that a peer reports, in prompt tokens per second.
    pub fn on_peer_demand(&mut self, peer: &NodeId, tokens_per_second: u32, now: MonotonicTime) {
        self.demand.on_peer(peer, tokens_per_second, now);
    }

    /// Applies a peer's updates about prefix blocks that engines hold.
    pub fn on_prefix_updates(&mut self, updates: &[PrefixUpdate], now: MonotonicTime) {
        for update in updates {
            if let Some(state) = self.state_of(update.engine) {
                if update.just_answered {
                    state.record_answer(now);
                }
                let is_restored = update.just_answered && state.health.on_peer_success(now);
                state.prefixes.record_prefill(&update.prefixes, now);
                let engine = is_restored.then(|| state.engine.id.clone());
                if let Some(engine) = engine {
                    self.record_availability_change(engine, None, true);
                }
            }
        }
    }

    /// Applies the list of prefix blocks that an engine reports, and queues it for peers.
    pub fn on_prefix_list(&mut self, engine: &EngineId, prefixes: &[PrefixBlock], now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        state.prefixes.record_prefill(prefixes, now);
        let updates = prefixes.chunks(MAX_BLOCKS_PER_UPDATE).map(|chunk| PrefixUpdate {
            engine: state.handle,
            prefixes: chunk.to_vec(),
            just_answered: false,
        });
        self.prefix_updates.extend(updates);
    }

    /// All prefix blocks that engines are estimated to hold, for a node that has just started.
    pub fn prefix_snapshot(&self) -> Vec<PrefixUpdate> {
        self.engines
            .values()
            .filter(|state| !state.prefixes.is_empty())
            .map(|state| PrefixUpdate {
                engine: state.handle,
                prefixes: state.prefixes.blocks(),
                just_answered: false,
            })
            .collect()
    }

    /// Takes up to `max_updates` queued prefix updates for peers; the rest stays queued.
    pub fn take_prefix_updates(&mut self, max_updates: usize) -> Vec<PrefixUpdate> {
        let rest = self
            .prefix_updates
            .split_off(max_updates.min(self.prefix_updates.len()));
        std::mem::replace(&mut self.prefix_updates, rest)
    }
}
