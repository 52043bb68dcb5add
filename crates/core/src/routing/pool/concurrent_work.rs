//! What runs at engines beside an output, for the log of its pauses, and how long a prompt waits to be read apart.

use super::engine::EngineStage;
use super::query::PoolQuery;
use super::router::PoolRouter;
use crate::identity::EngineId;
use crate::time::MonotonicTime;

/// What is believed to run beside an output at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConcurrentWork {
    /// Outputs, that one among them.
    pub outputs: u32,
    /// Prompt tokens to read.
    pub prompt_tokens: u64,
    /// Tokens of KV cache that are on their way there.
    pub moving_tokens: u64,
    /// How long work takes there, in hundredths of what is usual in the pool.
    pub work_factor_percent: u32,
}

impl PoolRouter {
    /// What is believed to run at an engine, for the log of a pause; nothing where the engine is not known.
    pub fn concurrent_work(&self, engine: &EngineId, now: MonotonicTime) -> ConcurrentWork {
        let Some(state) = self.engines.get(engine) else {
            return ConcurrentWork::default();
        };
        let work = state.load(now);
        ConcurrentWork {
            outputs: work.outputs as u32,
            prompt_tokens: work.all_prompt_tokens() as u64,
            moving_tokens: work.moving_tokens as u64,
            work_factor_percent: (state.work_factor(now) * 100.0) as u32,
        }
    }

    /// Shortest time until an engine that reads prompts would begin with a prompt.
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
