//! What nodes tell each other: their work, demand, orders, and what engines hold.

use super::engine::EngineStage;
use super::peer_reports::{PeerLoad, PeerLoadSlice, PrefixUpdate};
use super::query::PrefixBlock;
use super::router::PoolRouter;
use crate::forwarding::PoolId;
use crate::identity::{EngineId, NodeId};
use crate::membership::subject::SubjectHandle;
use crate::roles::pool::{PoolDemand, PoolEngineView};
use crate::time::MonotonicTime;

/// Blocks in one piece of news, so that it fits into a datagram.
const BLOCKS_IN_NEWS: usize = 16;

impl PoolRouter {
    /// Takes another node's word of its work at a slice of the engines.
    ///
    /// `works` replaces everything that the node said of them before.
    pub fn on_peer_load(
        &mut self,
        peer: &NodeId,
        slice: PeerLoadSlice,
        works: &[(SubjectHandle, PeerLoad)],
        now: MonotonicTime,
    ) {
        let named: Vec<SubjectHandle> = works.iter().map(|(handle, _)| *handle).collect();
        let before = self.engines_reported_by.entry(peer.clone()).or_default();
        let (dropped, kept): (Vec<_>, Vec<_>) = before
            .iter()
            .filter(|handle| !named.contains(handle))
            .partition(|handle| slice.includes(**handle));
        *before = kept.into_iter().chain(named).collect();
        for handle in dropped {
            if let Some(state) = self.state_by_handle(handle) {
                state.peers.remove(peer);
            }
        }
        for (handle, work) in works {
            // An engine that another node uses is one that this node's next request may meet there.
            self.bring_into_use(*handle);
            if let Some(state) = self.state_by_handle(*handle) {
                state.peers.insert(peer.clone(), (*work, now));
                state
                    .recent_prefill
                    .observe(state.load(now).all_prompt_tokens(), now);
            }
        }
    }

    /// This node's own work, as it is told to other nodes; engines without any are left out.
    pub fn own_load(&self) -> Vec<(SubjectHandle, PeerLoad)> {
        self.engines
            .values()
            .filter(|state| !state.in_flight.is_empty())
            .map(|state| (state.handle, state.own_load().to_peer_load()))
            .collect()
    }

    /// Notes that engines have been ordered to change their stage, here or by another node.
    pub fn on_ordered(&mut self, orders: &[(SubjectHandle, EngineStage)], now: MonotonicTime) {
        for (handle, stage) in orders {
            if let Some(state) = self.state_by_handle(*handle)
                && state.engine.stage != *stage
                && state.stage_order.is_none_or(|(known, _)| known != *stage)
            {
                state.stage_order = Some((*stage, now));
            }
        }
    }

    /// Notes that this node has ordered an engine to change its stage.
    pub fn note_order(&mut self, engine: &EngineId, stage: EngineStage, now: MonotonicTime) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.stage_order = Some((stage, now));
        }
    }

    /// Notes that an engine is not about to change its stage after all.
    pub fn forget_order(&mut self, engine: &EngineId) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.stage_order = None;
        }
    }

    /// Changes of stage that are under way.
    pub fn pending_stage_orders(&self, now: MonotonicTime) -> Vec<(SubjectHandle, EngineStage)> {
        self.engines
            .values()
            .filter_map(|state| Some((state.handle, state.ordered_stage(now)?)))
            .collect()
    }

    /// What the planner of roles is told of a pool, with the demand that every node told of.
    pub fn role_input(&self, pool: &PoolId, now: MonotonicTime) -> (Vec<PoolEngineView>, PoolDemand) {
        let engines = self
            .engines
            .values()
            .filter(|state| state.engine.pool == *pool && state.stays() && state.cordon_allows(now, false));
        let views = engines.map(|state| {
            let work = state.load(now);
            PoolEngineView {
                engine: state.engine.id.clone(),
                zone: state.engine.zone.clone(),
                spot: state.engine.spot,
                stage: state.ordered_stage(now).unwrap_or(state.engine.stage),
                requests: work.outputs,
                memory_tokens: work.output_tokens,
                places: f64::from(state.engine.places),
                capacity_tokens: state.prefixes.capacity_tokens(),
                part: self.share_within_limit(state, now),
            }
        });
        let speed = self.speeds(pool).prefill;
        let demand = self.demand.prompt_tokens_per_second(now);
        let demand = PoolDemand {
            prompt_tokens_per_second: demand.filter(|_| speed.is_learned()),
            engine_tokens_per_second: speed.tokens_per_second() * self.mean_relative_speed(pool),
        };
        (views.collect(), demand)
    }

    /// This node's own demand, as it is told to other nodes.
    pub fn own_demand(&self, now: MonotonicTime) -> u32 {
        self.demand.own_tokens_per_second(now) as u32
    }

    /// Takes another node's word of its demand.
    pub fn on_peer_demand(&mut self, peer: &NodeId, tokens_per_second: u32, now: MonotonicTime) {
        self.demand.on_peer_report(peer, tokens_per_second, now);
    }

    /// Takes another node's news of shared prefixes that engines hold.
    pub fn on_prefix_updates(&mut self, news: &[PrefixUpdate], now: MonotonicTime) {
        for one in news {
            if let Some(state) = self.state_by_handle(one.engine) {
                if one.just_answered {
                    state.record_answer(now);
                }
                let returns = one.just_answered && state.health.on_peer_success(now);
                state.prefixes.record_prefill(&one.prefixes, now);
                let engine = returns.then(|| state.engine.id.clone());
                if let Some(engine) = engine {
                    self.record_availability_change(engine, None, true);
                }
            }
        }
    }

    /// Takes what an engine says that it holds, and tells other nodes.
    pub fn on_prefix_list(&mut self, engine: &EngineId, held: &[PrefixBlock], now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        state.prefixes.record_prefill(held, now);
        let news = held.chunks(BLOCKS_IN_NEWS).map(|prefixes| PrefixUpdate {
            engine: state.handle,
            prefixes: prefixes.to_vec(),
            just_answered: false,
        });
        self.prefix_updates.extend(news);
    }

    /// Everything that engines are believed to hold, for a node that has just started.
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

    /// News of shared prefixes since the last call, for other nodes.
    ///
    /// At most `most` of them; the rest follows at the next call.
    pub fn take_prefix_updates(&mut self, most: usize) -> Vec<PrefixUpdate> {
        let rest = self.prefix_updates.split_off(most.min(self.prefix_updates.len()));
        std::mem::replace(&mut self.prefix_updates, rest)
    }
}
