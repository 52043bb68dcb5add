//! Cost of an engine for a request, in seconds; the router selects the lowest cost.
//!
//! In the formulas, `w` is [`PoolWeights`]. `prefill(n)` and `decode prefill(n)` are the learned times to prefill `n`
//! tokens at a prefill engine and at a decode engine ([`PoolSpeeds`]: a fixed part plus a part for each token). The load
//! of an engine includes the requests of this node and those that peers report.
//!
//! ```text
//! held at e     = leading tokens of the prompt whose KV cache e is estimated to hold
//! fetched to e  = further leading tokens that another engine holds (if the pool supports transfers)
//! computed at e = tokens of the prompt that are neither held nor fetched
//! incoming to e = w.arriving * KV cache tokens in transfer to e * seconds to transfer a token
//! fetch to e    = w.fetch * fetched to e * seconds to transfer a token + incoming to e   (zero if nothing is fetched)
//!                 or w.distant_fetch * (fetched to e * w.region_transfer_factor * seconds to transfer a token + round trip)
//!                 + incoming to e                    (if fetched from another region, [`super::distant_prefixes`])
//!
//! ahead at e    = prompt tokens at e that are at least as urgent + in progress at e
//! in progress   = w.in_progress * 0.5 * less urgent prompt tokens at e / prompts at e    (regional deployments)
//!
//! prefill at e  = factor * prefill(w.wait * ahead at e + w.compute * computed at e) + fetch to e
//!               + w.away_seconds                     (if no engine holds a prefix and e is not its home engine)
//!               + w.other_zone_seconds               (if e is in another zone of this node's region)
//!                 or remote(e)                       (if e is in another region)
//!
//! load of e     = w.places_seconds * (slots used / slots)^2 + w.memory_seconds * (tokens used / token capacity)^2
//!               + w.overflow_seconds * requests beyond the slots
//! stall at e    = w.held_up * decode prefill(prompt tokens at e)     (decode waits while e prefills)
//! decode time   = w.output_time * output tokens * learned time of a token at an average engine   (if paces are in use)
//! decode at e   = factor * (load of e + stall at e + decode time) + incoming to e
//!               + w.transfer_zone_seconds        (if e is in another zone of the prefill engine's region)
//!                 or w.lone_zone_seconds         (if e is in that zone, and only its spot engines hold the shared prefix)
//!                 or remote(e) + w.transfer * (w.region_transfer_factor - 1) * tokens of the prompt * seconds to transfer a token
//!                                                (if e is in another region than the prefill engine)
//! remote(e)     = w.other_region_seconds + round trip to the region of e (measured; w.assumed_region_round_trip_seconds before)
//! handoff       = w.handover_seconds + w.transfer * tokens of the prompt * seconds to transfer a token
//!
//! combined at e = factor * (load of e + decode time) + fetch to e
//!               + factor * decode prefill(ahead at e + computed at e)
//!                 * (1 + (w.decode_reading_stall + w.decode_reading_harm * harm) * (1 + decoding requests at e))
//!
//! factor        = current execution time at e relative to the pool ([`EngineState::work_factor`]); if paces are in use
//!                 it applies to the time per prompt token only, not to the fixed part ([`EngineState::prefill_seconds`])
//! harm          = 0 to 1: how close the observed event gaps of decoding requests come to the limit while their engine
//!                 prefills ([`super::expectation::PrefillPauses`])
//!
//! slot at e     = seconds until the rate limit of e admits one more request ([`crate::rate_limit`])
//!
//! risk of e     = 0 to 1: probability that e fails during a request ([`super::EngineState::risk`])
//! ```
//!
//! If `w.pause_seconds` is above zero, the cost of expected event gaps is added to `decode` and `combined`; see
//! [`super::pauses`].
//!
//! `w.single_try_seconds * risk of e` is added to `decode` and `combined` if the request may run on one engine only.
//! `slot at e` and `w.spread_seconds` times a pseudo-random fraction are added to `prefill`, `decode` and `combined`.

use super::distant_prefixes::DistantHolder;
use super::engine::{EngineLoad, EngineState};
use super::pauses::PauseForecast;
use super::pool_speeds::PoolSpeeds;
use super::query::{PoolQuery, PrefixBlock};
use super::weights::PoolWeights;
use crate::identity::{RegionId, ZoneId};
use crate::membership::subject::mix;
use crate::time::MonotonicTime;
use crate::topology::{Distance, Topology};
use std::collections::BTreeMap;

/// Inputs of the cost that are the same for all engines of one request.
#[derive(Clone, Copy, Debug)]
pub struct CostContext<'a> {
    /// Weights of the cost terms.
    pub weights: &'a PoolWeights,
    /// Weight of a less urgent prompt that an engine has begun.
    pub in_progress: f64,
    /// Zones and regions.
    pub topology: &'a Topology,
    /// Measured round trips to other regions, in seconds.
    pub region_round_trips: &'a BTreeMap<RegionId, f64>,
    /// Learned speeds of the pool.
    pub speeds: PoolSpeeds,
    /// Seconds to transfer the KV cache of one token; absent if the pool does not support transfers.
    pub move_seconds: Option<f64>,
    /// Largest number of leading prompt tokens that any engine holds.
    pub max_held_tokens: u32,
    /// Engine of another region from which the prefix is fetched where no engine of the region holds it; absent if prefill is
    /// cheaper.
    pub(super) distant: Option<DistantHolder<'a>>,
    /// Shortest wait until a prefill engine would start with the prompt, in seconds; absent if there is none or if event
    /// gaps are not part of the cost.
    pub min_prefill_wait: Option<f64>,
    /// Decode time at an average engine, in seconds; zero if paces are not in use.
    pub decode_seconds: f64,
    /// Random number of the request.
    pub draw: u64,
    /// Time of the selection.
    pub now: MonotonicTime,
}

/// Where the prompt of a decode request is prefilled.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSite<'a> {
    /// Zone of the prefill engine.
    pub zone: &'a ZoneId,
    /// Whether only spot engines of this zone hold the shared prefix, so that a reclaim can remove every copy. The decode
    /// engine gets another copy.
    pub is_sole_cache_zone: bool,
}

impl<'a> PrefillSite<'a> {
    /// A site for which the location of the shared prefix is ignored.
    pub fn in_zone(zone: &'a ZoneId) -> Self {
        Self {
            zone,
            is_sole_cache_zone: false,
        }
    }
}

/// How an engine obtains the KV cache of a prompt that it does not hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillWork {
    /// Tokens to prefill.
    pub computed: f64,
    /// Tokens to transfer from another engine.
    pub fetched: f64,
    /// Whether they come from another region.
    pub is_distant: bool,
}

impl CostContext<'_> {
    /// Tokens that an engine would compute and fetch for the prompt.
    pub fn prefill_work(&self, state: &EngineState, query: &PoolQuery<'_>) -> PrefillWork {
        let tokens = query.prompt.map_or(0, |prompt| prompt.tokens);
        let held = state.prefixes.held_tokens(query.prefixes);
        let reachable = match self.move_seconds {
            Some(_) => held.max(self.max_held_tokens),
            None => held,
        };
        if let Some(distant) = self.distant.filter(|distant| distant.tokens > reachable) {
            return PrefillWork {
                computed: f64::from(tokens.saturating_sub(distant.tokens)),
                fetched: f64::from(distant.tokens - held),
                is_distant: true,
            };
        }
        PrefillWork {
            computed: f64::from(tokens.saturating_sub(reachable)),
            fetched: f64::from(reachable - held),
            is_distant: false,
        }
    }

    /// Time to fetch the part of the KV cache that another region holds, in seconds; zero if none is fetched from there.
    pub(super) fn distant_fetch_seconds(&self, prefill: PrefillWork) -> f64 {
        match self.distant.filter(|_| prefill.is_distant) {
            Some(distant) => {
                let slowdown = self.weights.region_transfer_factor;
                prefill.fetched * slowdown * self.move_seconds.unwrap_or_default()
                    + distant.round_trip_seconds
            }
            None => 0.0,
        }
    }

    /// Cost of prefill at an engine.
    pub fn prefill_cost(&self, state: &EngineState, query: &PoolQuery<'_>, is_home: bool) -> f64 {
        let prefill = self.prefill_work(state, query);
        let load = state.load(self.now);
        let ahead = self.tokens_before(&load, query.rank);
        let tokens = self.weights.wait * ahead + self.weights.compute * prefill.computed;
        let not_home = if is_home || self.max_held_tokens > 0 {
            0.0
        } else {
            self.weights.away_seconds
        };
        state.prefill_seconds(&self.speeds.prefill, tokens, self.now)
            + self.fetch_cost(&load, prefill)
            + not_home
            + self.other_zone_cost(&state.engine.zone, query.zone)
            + self.slot_wait_seconds(state)
            + self.jitter(state)
    }

    /// Cost of decode at an engine, or of a whole request in a pool without a model.
    pub fn decode_cost(&self, state: &EngineState, source: PrefillSite<'_>, query: &PoolQuery<'_>) -> f64 {
        let transfer = match (
            self.topology.distance(&state.engine.zone, source.zone),
            source.is_sole_cache_zone,
        ) {
            (Distance::SameZone, true) => self.weights.lone_zone_seconds,
            (Distance::SameZone, false) | (Distance::SameRegion, true) => 0.0,
            (Distance::SameRegion, false) => self.weights.transfer_zone_seconds,
            (Distance::OtherRegion, _) => {
                self.other_region_cost(&state.engine.zone) + self.region_transfer_cost(query)
            }
        };
        let load = state.load(self.now);
        let prompts = load.all_prompt_tokens();
        let stall = if prompts > 0.0 {
            self.weights.held_up * state.prefill_seconds(&self.speeds.decode, prompts, self.now)
        } else {
            0.0
        };
        state.work_factor(self.now) * (self.load_cost(state, &load) + self.decode_time_cost())
            + stall
            + self.incoming_transfer_cost(&load)
            + transfer
            + self.risk_cost(state, query)
            + self.event_gap_cost(state, &load, query, None)
            + self.slot_wait_seconds(state)
            + self.jitter(state)
    }

    /// Cost of transferring the KV cache of the prompt from the prefill engine to the decode engine.
    pub fn handoff_cost(&self, query: &PoolQuery<'_>) -> f64 {
        let tokens = f64::from(query.prompt.map_or(0, |prompt| prompt.tokens));
        let seconds_per_token = self.move_seconds.unwrap_or_default();
        self.weights.handover_seconds + self.weights.transfer * tokens * seconds_per_token
    }

    /// Cost of prefill and decode at the same decode engine.
    pub fn combined_cost(&self, state: &EngineState, query: &PoolQuery<'_>) -> f64 {
        let prefill = self.prefill_work(state, query);
        let load = state.load(self.now);
        let tokens = self.tokens_before(&load, query.rank) + prefill.computed;
        let seconds = state.prefill_seconds(&self.speeds.decode, tokens, self.now);
        let harm = self.speeds.pauses.harm();
        let stall = self.weights.decode_reading_stall + self.weights.decode_reading_harm * harm;
        let disturbance = 1.0 + stall * (1.0 + load.outputs);
        state.work_factor(self.now) * (self.load_cost(state, &load) + self.decode_time_cost())
            + self.fetch_cost(&load, prefill)
            + seconds * disturbance
            + self.risk_cost(state, query)
            + self.event_gap_cost(state, &load, query, Some(prefill.computed))
            + self.slot_wait_seconds(state)
            + self.jitter(state)
    }

    /// Cost of the event gaps that the request would cause and suffer. `prefill_tokens` are the tokens of its prompt that
    /// the engine computes; absent if another engine prefills it.
    fn event_gap_cost(
        &self,
        state: &EngineState,
        load: &EngineLoad,
        query: &PoolQuery<'_>,
        prefill_tokens: Option<f64>,
    ) -> f64 {
        if self.weights.pause_seconds == 0.0 {
            return 0.0;
        }
        let forecast = PauseForecast {
            event_interval_seconds: self.speeds.event_interval.seconds(),
            prefill: self.speeds.decode,
            work_factor: state.work_factor(self.now),
            recent_prefill_tokens: state.recent_prefill.tokens(self.now),
        };
        let (computed, other_tokens) = match prefill_tokens {
            Some(computed) => (computed, load.prompt_tokens_behind(query.rank)),
            None => (0.0, load.all_prompt_tokens()),
        };
        let added_late = forecast.added_late_streams(load, computed, self.min_prefill_wait);
        let late = added_late + forecast.own_late_probability(other_tokens, query.constraints.max_event_gap);
        self.weights.pause_seconds * late
    }

    /// Cost of a possible engine failure, for requests that may run on one engine only.
    fn risk_cost(&self, state: &EngineState, query: &PoolQuery<'_>) -> f64 {
        if query.constraints.single_try {
            self.weights.single_try_seconds * state.risk(self.now)
        } else {
            0.0
        }
    }

    /// Cost of the decode time. Without it all idle engines would cost the same, whatever their speed.
    fn decode_time_cost(&self) -> f64 {
        self.weights.output_time * self.decode_seconds
    }

    /// Seconds until the engine's rate limit admits the request.
    fn slot_wait_seconds(&self, state: &EngineState) -> f64 {
        state.slot_wait(self.now).as_secs_f64()
    }

    /// Pseudo-random addition that distributes simultaneous selections over engines of equal cost.
    fn jitter(&self, state: &EngineState) -> f64 {
        let random = mix(self.draw ^ state.handle.number());
        self.weights.spread_seconds * (random as f64 / u64::MAX as f64)
    }

    fn fetch_cost(&self, load: &EngineLoad, prefill: PrefillWork) -> f64 {
        if prefill.fetched == 0.0 {
            return 0.0;
        }
        if prefill.is_distant {
            return self.weights.distant_fetch * self.distant_fetch_seconds(prefill)
                + self.incoming_transfer_cost(load);
        }
        self.weights.fetch * prefill.fetched * self.move_seconds.unwrap_or_default()
            + self.incoming_transfer_cost(load)
    }

    /// Wait for the KV cache transfers in progress; an engine receives them one after another.
    fn incoming_transfer_cost(&self, load: &EngineLoad) -> f64 {
        self.weights.arriving * load.transfer_tokens * self.move_seconds.unwrap_or_default()
    }

    fn load_cost(&self, state: &EngineState, load: &EngineLoad) -> f64 {
        let slots = f64::from(state.engine.places.max(1));
        let used = (load.requests + 1.0) / slots;
        let memory = load.memory_tokens / state.prefixes.capacity_tokens().max(1.0);
        let excess = (load.requests + 1.0 - slots).max(0.0);
        self.weights.places_seconds * used * used
            + self.weights.memory_seconds * memory * memory
            + self.weights.overflow_seconds * excess
    }

    /// Prompt tokens that an engine with the given load prefills before a new request of the given rank.
    fn tokens_before(&self, load: &EngineLoad, rank: usize) -> f64 {
        load.prompt_tokens_ahead(rank) + self.in_progress * load.prompt_tokens_in_progress_behind(rank)
    }

    fn other_zone_cost(&self, zone: &ZoneId, own: &ZoneId) -> f64 {
        match self.topology.distance(zone, own) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => self.weights.other_zone_seconds,
            Distance::OtherRegion => self.other_region_cost(zone),
        }
    }

    fn other_region_cost(&self, zone: &ZoneId) -> f64 {
        let region = self.topology.region_of(zone);
        let round_trip = region.and_then(|region| self.region_round_trips.get(region));
        self.weights.other_region_seconds
            + round_trip
                .copied()
                .unwrap_or(self.weights.assumed_region_round_trip_seconds)
    }

    /// Additional cost of transferring the KV cache of the prompt to another region, beyond [`Self::handoff_cost`].
    fn region_transfer_cost(&self, query: &PoolQuery<'_>) -> f64 {
        let tokens = f64::from(query.prompt.map_or(0, |prompt| prompt.tokens));
        let slowdown = self.weights.region_transfer_factor - 1.0;
        self.weights.transfer * slowdown * tokens * self.move_seconds.unwrap_or_default()
    }
}

/// The blocks that other requests may share: all but the last.
pub fn shared_prefixes(prefixes: &[PrefixBlock]) -> &[PrefixBlock] {
    &prefixes[..prefixes.len().saturating_sub(1)]
}
