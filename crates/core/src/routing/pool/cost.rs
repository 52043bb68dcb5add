//! The cost of a choice, in seconds; the lowest is taken.
//!
//! With `w` the [`PoolWeights`], `speed` the prompt tokens read in a second, and the work at an engine counted over
//! this node and every other that told of its own:
//!
//! ```text
//! prompt at e  = slowness * (w.wait * prompt tokens ahead at e / speed + w.compute * tokens not held at e / speed)
//!              + w.reread * shared tokens not held at e / speed       (unless e is the home of the shared part)
//!              + w.other_zone_seconds                                 (where e is not in this node's zone)
//!
//! load of e    = w.places_seconds * (taken / places)^2 + w.memory_seconds * (tokens taken / tokens)^2
//!              + w.overflow_seconds * requests beyond the places
//! output at e  = slowness * load of e + w.other_zone_seconds | w.transfer_zone_seconds   (apart from the prompt's engine)
//!
//! both at e    = output at e + tokens not held at e / (speed * w.decode_reading_pace)
//!                                    * (1 + w.decode_reading_stall * requests at e)
//! ```

use super::engine::EngineState;
use super::query::{PoolQuery, PrefixBlock};
use super::weights::PoolWeights;
use crate::identity::ZoneId;
use crate::time::MonotonicTime;

/// What the cost of one request depends on beside the engine.
#[derive(Clone, Copy, Debug)]
pub struct CostContext<'a> {
    /// Weights.
    pub weights: &'a PoolWeights,
    /// Prompt tokens that an engine reads in a second.
    pub speed: f64,
    /// Now.
    pub now: MonotonicTime,
}

impl CostContext<'_> {
    /// Cost of reading the prompt at an engine.
    pub fn prompt(&self, state: &EngineState, query: &PoolQuery<'_>, is_home: bool) -> f64 {
        let work = state.work(self.now);
        let wait = work.prompt_tokens_ahead(query.rank) / self.speed;
        let compute = self.unheld(state, query) / self.speed;
        let delay = state.slowness * (self.weights.wait * wait + self.weights.compute * compute);
        delay + self.reread(state, query, is_home) + self.apart(&state.engine.zone, query.zone)
    }

    /// Cost of running the output at an engine, or the whole of a request that no model serves.
    pub fn output(&self, state: &EngineState, source: &ZoneId) -> f64 {
        let transfer = if state.engine.zone == *source {
            0.0
        } else {
            self.weights.transfer_zone_seconds
        };
        state.slowness * self.load(state) + transfer
    }

    /// Cost of reading the prompt and running the output at an engine that runs outputs.
    pub fn both(&self, state: &EngineState, query: &PoolQuery<'_>) -> f64 {
        let reading = self.unheld(state, query) / (self.speed * self.weights.decode_reading_pace);
        let requests = state.work(self.now).requests;
        let disturbance = 1.0 + self.weights.decode_reading_stall * requests;
        self.output(state, query.zone) + reading * disturbance
    }

    /// Prompt tokens that an engine does not hold.
    pub fn unheld(&self, state: &EngineState, query: &PoolQuery<'_>) -> f64 {
        let tokens = query.prompt.map_or(0, |prompt| prompt.tokens);
        f64::from(tokens.saturating_sub(state.prefixes.held_tokens(query.prefixes)))
    }

    fn reread(&self, state: &EngineState, query: &PoolQuery<'_>, is_home: bool) -> f64 {
        let shared = shared_prefixes(query.prefixes);
        let shared_tokens: u32 = shared.iter().map(|block| block.tokens).sum();
        let unheld = shared_tokens - state.prefixes.held_tokens(shared);
        if is_home {
            return 0.0;
        }
        self.weights.reread * f64::from(unheld) / self.speed
    }

    fn load(&self, state: &EngineState) -> f64 {
        let work = state.work(self.now);
        let places = f64::from(state.engine.places.max(1));
        let taken = (work.requests + 1.0) / places;
        let memory = work.memory_tokens / state.prefixes.capacity_tokens().max(1.0);
        let beyond = (work.requests + 1.0 - places).max(0.0);
        self.weights.places_seconds * taken * taken
            + self.weights.memory_seconds * memory * memory
            + self.weights.overflow_seconds * beyond
    }

    fn apart(&self, zone: &ZoneId, own: &ZoneId) -> f64 {
        if zone == own {
            0.0
        } else {
            self.weights.other_zone_seconds
        }
    }
}

/// The prefixes that other requests may share: all but the last.
pub fn shared_prefixes(prefixes: &[PrefixBlock]) -> &[PrefixBlock] {
    &prefixes[..prefixes.len().saturating_sub(1)]
}
