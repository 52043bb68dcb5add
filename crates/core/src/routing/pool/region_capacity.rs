//! Capacity of the engines of a region, which decides about requests of other regions ([`crate::spill`]).

use super::choice::PoolRoute;
use super::engine::{EngineStage, EngineState, PoolEngine};
use super::query::PoolQuery;
use super::router::PoolRouter;
use crate::spill::accepting::RegionRoom;
use crate::time::MonotonicTime;
use std::time::Duration;

impl PoolRouter {
    /// When a request was last late or refused here because the engines lacked capacity.
    pub fn last_rejection(&self) -> Option<MonotonicTime> {
        self.last_rejection
    }

    /// Whether a route names engines that are avoided for now, which are chosen only where nothing else is left.
    pub fn is_last_resort(&self, route: &PoolRoute, query: &PoolQuery<'_>, now: MonotonicTime) -> bool {
        let is_avoided = |engine: &PoolEngine| {
            let mut candidates = self.candidates(query, engine.stage, now);
            !candidates.any(|state| state.engine.id == engine.id)
        };
        match route {
            PoolRoute::Whole(engine) => is_avoided(engine),
            PoolRoute::Split { prefill, decode } => is_avoided(prefill) || is_avoided(decode),
            PoolRoute::Nowhere => false,
        }
    }

    /// Whether the query's region has an engine that can run its output, one that is avoided for now included.
    pub fn has_engine_in_region(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> bool {
        let mut engines = self.engines.values();
        engines.any(|state| {
            state.engine.stage == EngineStage::Decode
                && state.engine.pool == *query.pool
                && state.takes_work(now, true)
                && self.is_in_query_region(query.region, state)
        })
    }

    /// Free capacity of the engines of the query's region; decode engines prefill where no prefill engine takes work.
    pub fn region_room(
        &self,
        query: &PoolQuery<'_>,
        queue_limit: Duration,
        now: MonotonicTime,
    ) -> RegionRoom {
        let speeds = self.speeds(query.pool);
        let limit = queue_limit.as_secs_f64();
        let free_prefill = |state: &EngineState| {
            let speed = match state.engine.stage {
                EngineStage::Prefill => &speeds.prefill,
                EngineStage::Decode | EngineStage::Whole => &speeds.decode,
            };
            let tokens = state.load(now).all_prompt_tokens();
            let queued = if tokens > 0.0 {
                state.prefill_seconds(speed, tokens, now)
            } else {
                0.0
            };
            (limit - queued).max(0.0)
        };
        let free_slots =
            |state: &EngineState| (f64::from(state.engine.places) - state.load(now).outputs).max(0.0);
        let of_stage = |stage| self.candidates(query, stage, now);
        let prefills = of_stage(EngineStage::Prefill).next().is_some();
        let prefill_stage = if prefills {
            EngineStage::Prefill
        } else {
            EngineStage::Decode
        };
        RegionRoom {
            prefill_seconds: of_stage(prefill_stage).map(free_prefill).sum(),
            slots: of_stage(EngineStage::Decode).map(free_slots).sum(),
        }
    }
}
