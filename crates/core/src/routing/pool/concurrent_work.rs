//! Work that runs at an engine concurrently with an output, and the queueing time at prefill engines.

use super::engine::EngineStage;
use super::query::PoolQuery;
use super::router::PoolRouter;
use crate::identity::EngineId;
use crate::time::MonotonicTime;

/// Estimated work at an engine that runs concurrently with an output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConcurrentWork {
    /// Number of outputs, including the one in question.
    pub outputs: u32,
    /// Prompt tokens waiting for prefill.
    pub prompt_tokens: u64,
    /// Tokens of KV cache being transferred to the engine.
    pub transfer_tokens: u64,
    /// Duration of work at the engine, as a percentage of the average in the pool.
    pub work_factor_percent: u32,
}

impl PoolRouter {
    /// Estimated work at an engine, for the log of output pauses; all zero if the engine is unknown.
    pub fn concurrent_work(&self, engine: &EngineId, now: MonotonicTime) -> ConcurrentWork {
        let Some(state) = self.engines.get(engine) else {
            return ConcurrentWork::default();
        };
        let work = state.load(now);
        ConcurrentWork {
            outputs: work.outputs as u32,
            prompt_tokens: work.all_prompt_tokens() as u64,
            transfer_tokens: work.transfer_tokens as u64,
            work_factor_percent: (state.work_factor(now) * 100.0) as u32,
        }
    }

    /// Shortest estimated queueing time in seconds before the prompt of a query starts at a prefill engine; `None` if
    /// the query has no prompt, there is no such engine, or pauses are not weighted.
    pub(super) fn min_prefill_wait(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> Option<f64> {
        if self.weights.pause_seconds == 0.0 || query.prompt.is_none() {
            return None;
        }
        let per_second = self.speeds(query.pool).prefill.tokens_per_second();
        self.candidates(query, EngineStage::Prefill, now)
            .map(|state| {
                let ahead = state.load(now).prompt_tokens_ahead(query.rank);
                state.work_factor(now) * ahead / per_second
            })
            .min_by(f64::total_cmp)
    }
}
