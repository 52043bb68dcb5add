//! The cost of a choice, in seconds; the lowest is taken.
//!
//! With `w` the [`PoolWeights`], `read` and `read here` the learned times of a reading at an engine that reads prompts
//! and at one that runs outputs ([`PoolSpeeds`]: a fixed part and a part for each token), and the work at an engine
//! counted over this node and every other that told of its own:
//!
//! ```text
//! held at e    = tokens of the prompt that e is believed to hold, from its beginning
//! fetched to e = tokens that another engine holds beyond e, where the pool can fetch them
//! computed at e = tokens of the prompt that are neither held nor fetched
//! arriving at e = w.arriving * tokens of KV cache on their way to e * seconds to move a token
//! fetch to e   = w.fetch * fetched to e * seconds to move a token + arriving at e   (where anything is fetched)
//!
//! prompt at e  = factor * read(w.wait * prompt tokens ahead at e + w.compute * computed at e) + fetch to e
//!              + w.away_seconds                     (unless e is the home of a part that nobody is known to hold)
//!              + w.other_zone_seconds               (where e is not in this node's zone)
//!
//! load of e    = w.places_seconds * (taken / places)^2 + w.memory_seconds * (tokens taken / tokens)^2
//!              + w.overflow_seconds * requests beyond the places
//! held up at e = w.held_up * read here(prompt tokens at e)           (outputs wait while it reads; none: nothing)
//! output time  = w.output_time * output tokens * learned time of a token at a usual engine   (where paces decide)
//! output at e  = factor * (load of e + held up at e + output time) + arriving at e
//!              + w.transfer_zone_seconds                          (in another zone than the prompt's engine)
//!                or w.lone_zone_seconds          (in its zone, where that alone keeps the shared part and may lose it)
//! hand-over    = w.handover_seconds + w.transfer * tokens of the prompt * seconds to move a token
//!
//! both at e    = factor * (load of e + output time) + fetch to e + factor * read here(prompt tokens ahead at e + computed at e)
//!                * (1 + (w.decode_reading_stall + w.decode_reading_harm * harm) * (1 + outputs at e))
//!
//! factor       = how much longer work takes at e now ([`EngineState::work_factor`]); where paces decide it stretches the
//!                tokens of a reading alone, not its fixed part ([`EngineState::prefill_seconds`])
//! harm         = 0 to 1: how near the pauses between events come to the longest harmless one where prompts are read
//!                beside an output, as seen ([`super::expectation::PrefillPauses`])
//!
//! slot at e    = seconds until e has a slot for one more request, where it names a rate limit ([`crate::rate_limit`])
//!
//! risk of e    = 0 to 1: how likely e ends under a request, from what broke there of late ([`super::EngineState::risk`])
//! ```
//!
//! Where `w.pause_seconds` is above zero, the pauses that a choice brings to streams are added to `output` and `both`:
//! [`super::pauses`] has that part of the formula.
//!
//! To the cost of an output and of both, `w.single_try_seconds * risk of e` is added where the request may run on one
//! engine only. To the cost of a prompt, of an output and of both, `w.spread_seconds` times a fraction drawn for the
//! request and the engine is added, and `slot at e`.

use super::engine::{EngineLoad, EngineState};
use super::pauses::PauseForecast;
use super::pool_speeds::PoolSpeeds;
use super::query::{PoolQuery, PrefixBlock};
use super::weights::PoolWeights;
use crate::identity::ZoneId;
use crate::membership::subject::mix;
use crate::time::MonotonicTime;

/// What the cost of one request depends on beside the engine.
#[derive(Clone, Copy, Debug)]
pub struct CostContext<'a> {
    /// Weights.
    pub weights: &'a PoolWeights,
    /// What engines were seen to take.
    pub speeds: PoolSpeeds,
    /// Seconds that moving the KV cache of one token takes; absent where engines can't fetch from one another.
    pub move_seconds: Option<f64>,
    /// Most tokens of the prompt that any engine holds.
    pub max_held_tokens: u32,
    /// Shortest time until an engine that reads prompts would begin with this one, in seconds; absent where there is
    /// none, or nothing is chosen by it.
    pub min_prefill_wait: Option<f64>,
    /// Seconds that the output takes at a usual engine; zero where engines aren't told apart by their pace.
    pub output_seconds: f64,
    /// Number drawn for the request.
    pub draw: u64,
    /// Now.
    pub now: MonotonicTime,
}

/// Where an output comes from.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSite<'a> {
    /// Zone of the engine that reads the prompt.
    pub zone: &'a ZoneId,
    /// Whether that zone alone keeps the shared part of the prompt, and may lose all of its engines at once. The engine
    /// that runs the output keeps it too.
    pub is_sole_cache_zone: bool,
}

impl<'a> PrefillSite<'a> {
    /// A zone of which nothing else matters.
    pub fn in_zone(zone: &'a ZoneId) -> Self {
        Self {
            zone,
            is_sole_cache_zone: false,
        }
    }
}

/// How an engine comes by a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillWork {
    /// Tokens that it reads.
    pub computed: f64,
    /// Tokens that it fetches from another engine.
    pub fetched: f64,
}

impl CostContext<'_> {
    /// How an engine would come by the prompt.
    pub fn prefill_work(&self, state: &EngineState, query: &PoolQuery<'_>) -> PrefillWork {
        let tokens = query.prompt.map_or(0, |prompt| prompt.tokens);
        let held = state.prefixes.held_tokens(query.prefixes);
        let reachable = match self.move_seconds {
            Some(_) => held.max(self.max_held_tokens),
            None => held,
        };
        PrefillWork {
            computed: f64::from(tokens.saturating_sub(reachable)),
            fetched: f64::from(reachable - held),
        }
    }

    /// Cost of reading the prompt at an engine.
    pub fn prompt(&self, state: &EngineState, query: &PoolQuery<'_>, is_home: bool) -> f64 {
        let reading = self.prefill_work(state, query);
        let work = state.load(self.now);
        let ahead = work.prompt_tokens_ahead(query.rank);
        let tokens = self.weights.wait * ahead + self.weights.compute * reading.computed;
        let away = if is_home || self.max_held_tokens > 0 {
            0.0
        } else {
            self.weights.away_seconds
        };
        state.prefill_seconds(&self.speeds.prefill, tokens, self.now)
            + self.fetch(&work, reading)
            + away
            + self.apart(&state.engine.zone, query.zone)
            + self.slot(state)
            + self.spread(state)
    }

    /// Cost of running the output at an engine, or the whole of a request that no model serves.
    pub fn output(&self, state: &EngineState, source: PrefillSite<'_>, query: &PoolQuery<'_>) -> f64 {
        let transfer = match (state.engine.zone == *source.zone, source.is_sole_cache_zone) {
            (true, true) => self.weights.lone_zone_seconds,
            (true, false) | (false, true) => 0.0,
            (false, false) => self.weights.transfer_zone_seconds,
        };
        let work = state.load(self.now);
        let prompts = work.all_prompt_tokens();
        let held_up = if prompts > 0.0 {
            self.weights.held_up * state.prefill_seconds(&self.speeds.decode, prompts, self.now)
        } else {
            0.0
        };
        state.work_factor(self.now) * (self.load(state, &work) + self.output_time())
            + held_up
            + self.arriving(&work)
            + transfer
            + self.risk(state, query)
            + self.pauses(state, &work, query, None)
            + self.slot(state)
            + self.spread(state)
    }

    /// Cost of handing the KV cache of a prompt from the engine that read it to the one that runs the output.
    pub fn hand_over(&self, query: &PoolQuery<'_>) -> f64 {
        let tokens = f64::from(query.prompt.map_or(0, |prompt| prompt.tokens));
        let moving = self.move_seconds.unwrap_or_default();
        self.weights.handover_seconds + self.weights.transfer * tokens * moving
    }

    /// Cost of reading the prompt and running the output at an engine that runs outputs.
    pub fn both(&self, state: &EngineState, query: &PoolQuery<'_>) -> f64 {
        let reading = self.prefill_work(state, query);
        let work = state.load(self.now);
        let tokens = work.prompt_tokens_ahead(query.rank) + reading.computed;
        let seconds = state.prefill_seconds(&self.speeds.decode, tokens, self.now);
        let harm = self.speeds.pauses.harm();
        let stall = self.weights.decode_reading_stall + self.weights.decode_reading_harm * harm;
        let disturbance = 1.0 + stall * (1.0 + work.outputs);
        state.work_factor(self.now) * (self.load(state, &work) + self.output_time())
            + self.fetch(&work, reading)
            + seconds * disturbance
            + self.risk(state, query)
            + self.pauses(state, &work, query, Some(reading.computed))
            + self.slot(state)
            + self.spread(state)
    }

    /// Cost of the pauses that an output brings, where the engine reads so many tokens of its prompt itself.
    fn pauses(
        &self,
        state: &EngineState,
        work: &EngineLoad,
        query: &PoolQuery<'_>,
        reads: Option<f64>,
    ) -> f64 {
        if self.weights.pause_seconds == 0.0 {
            return 0.0;
        }
        let forecast = PauseForecast {
            event_interval_seconds: self.speeds.pace.seconds(),
            prefill: self.speeds.decode,
            work_factor: state.work_factor(self.now),
            recent_prefill_tokens: state.recent_prefill.tokens(self.now),
        };
        let (computed, beside) = match reads {
            Some(computed) => (computed, work.prompt_tokens_behind(query.rank)),
            None => (0.0, work.all_prompt_tokens()),
        };
        let made_late = forecast.added_late_streams(work, computed, self.min_prefill_wait);
        let late = made_late + forecast.own_late_probability(beside, query.constraints.max_event_gap);
        self.weights.pause_seconds * late
    }

    /// Cost of the risk that the engine ends under a request that may run on no other.
    fn risk(&self, state: &EngineState, query: &PoolQuery<'_>) -> f64 {
        if query.constraints.single_try {
            self.weights.single_try_seconds * state.risk(self.now)
        } else {
            0.0
        }
    }

    /// Worth of the time that the output itself takes: without it an idle engine costs nothing, however slow it is.
    fn output_time(&self) -> f64 {
        self.weights.output_time * self.output_seconds
    }

    /// The wait that an engine's rate limit costs.
    fn slot(&self, state: &EngineState) -> f64 {
        state.slot_wait(self.now).as_secs_f64()
    }

    fn spread(&self, state: &EngineState) -> f64 {
        let drawn = mix(self.draw ^ state.handle.number());
        self.weights.spread_seconds * (drawn as f64 / u64::MAX as f64)
    }

    fn fetch(&self, work: &EngineLoad, reading: PrefillWork) -> f64 {
        if reading.fetched == 0.0 {
            return 0.0;
        }
        self.weights.fetch * reading.fetched * self.move_seconds.unwrap_or_default() + self.arriving(work)
    }

    /// An engine takes one KV cache after the other over its link.
    fn arriving(&self, work: &EngineLoad) -> f64 {
        self.weights.arriving * work.moving_tokens * self.move_seconds.unwrap_or_default()
    }

    fn load(&self, state: &EngineState, work: &EngineLoad) -> f64 {
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
