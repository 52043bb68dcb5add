//! Settings of the pool router, mainly the weights of the cost formula.

use super::pace::EnginePaceUse;
use super::working_set::WorkingSetSettings;
use crate::setting::FieldError;
use serde::{Deserialize, Serialize};

/// Weights of the cost formula in [`super::cost`]. A weight without a unit multiplies a time in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolWeights {
    /// Weight of the wait until prefill starts.
    pub wait: f64,
    /// Weight of the part of a less urgent prompt that the engine has begun and finishes first. It applies in regional deployments,
    /// where a placer chooses among the engines of one region and few are idle.
    pub in_progress: f64,
    /// Weight of the prefill time for the part of the prompt that the engine does not hold.
    pub compute: f64,
    /// Weight of the time to fetch held blocks from another engine.
    pub fetch: f64,
    /// Weight of the time to fetch held blocks from an engine of another region. Lower than `fetch`: the transfer also saves the price
    /// of prefilling the prefix again, about five times that of the transfer.
    pub distant_fetch: f64,
    /// Weight of the time for KV cache transfers that are already in progress to the engine.
    pub arriving: f64,
    /// Cost in seconds of prefilling a prefix that no engine holds at an engine other than its home, so that nodes that
    /// receive the prefix at the same time select the same engine.
    pub away_seconds: f64,
    /// Weight of the time to transfer the prompt's KV cache to the decode engine.
    pub transfer: f64,
    /// Time of a handoff in addition to the KV cache transfer, in seconds.
    pub handover_seconds: f64,
    /// Cost of prefill outside this node's zone, in seconds.
    pub other_zone_seconds: f64,
    /// Cost of transferring a KV cache to another zone, in seconds.
    pub transfer_zone_seconds: f64,
    /// Cost of an engine in another region in addition to the round trip, in seconds. It stands for the price of the bytes and keeps
    /// requests in their region unless its engines are busy.
    pub other_region_seconds: f64,
    /// Round trip to another region that is assumed until one has been measured, in seconds.
    pub assumed_region_round_trip_seconds: f64,
    /// Time of a KV cache transfer between regions relative to one within a zone.
    pub region_transfer_factor: f64,
    /// Cost in seconds of keeping a shared prefix only in one zone and only at spot engines, which may all be
    /// reclaimed.
    pub lone_zone_seconds: f64,
    /// Cost of a full set of slots, in seconds; scaled by the square of the used share.
    pub places_seconds: f64,
    /// Cost of a full KV cache, in seconds; scaled by the square of the used share.
    pub memory_seconds: f64,
    /// Cost of each request beyond the engine's slots, in seconds.
    pub overflow_seconds: f64,
    /// Cost of losing a request that may run on one engine only, in seconds.
    pub single_try_seconds: f64,
    /// Upper bound of the random addition to the cost of an engine, in seconds. It keeps nodes that select at the same
    /// time from all selecting the same of several equal engines.
    pub spread_seconds: f64,
    /// Prefill speed that is assumed until one has been observed, in tokens per second.
    pub assumed_prompt_tokens_per_second: f64,
    /// Assumed prefill speed of a decode engine relative to a prefill engine.
    pub decode_reading_pace: f64,
    /// Weight of the time for which decode waits because the engine prefills other prompts.
    pub held_up: f64,
    /// Relative increase of the prefill cost at a decode engine for each request that decodes there.
    pub decode_reading_stall: f64,
    /// Additional increase of the same kind at full harm, when prefill has been observed to delay decode.
    pub decode_reading_harm: f64,
    /// Cost in seconds of one stream that exceeds the event gap limit of its route; zero leaves event gaps out of the
    /// cost.
    pub pause_seconds: f64,
    /// Weight of the decode time if `engine_pace` is in use, so that the faster of two idle engines costs less.
    pub output_time: f64,
    /// Engines for which the long-term and the momentary pace are tracked separately.
    pub engine_pace: EnginePaceUse,
    /// Size of the working set of a large pool.
    pub working_set: WorkingSetSettings,
}

impl Default for PoolWeights {
    fn default() -> Self {
        Self {
            wait: 1.0,
            in_progress: 1.0,
            compute: 1.0,
            fetch: 3.0,
            distant_fetch: 1.0,
            arriving: 1.0,
            away_seconds: 0.03,
            transfer: 3.0,
            handover_seconds: 0.015,
            other_zone_seconds: 0.010,
            transfer_zone_seconds: 0.010,
            other_region_seconds: 0.15,
            assumed_region_round_trip_seconds: 0.03,
            region_transfer_factor: 10.0,
            lone_zone_seconds: 0.020,
            places_seconds: 0.5,
            memory_seconds: 0.5,
            overflow_seconds: 0.2,
            single_try_seconds: 1.0,
            spread_seconds: 0.010,
            assumed_prompt_tokens_per_second: 40_000.0,
            decode_reading_pace: 0.5,
            held_up: 1.0,
            decode_reading_stall: 0.1,
            decode_reading_harm: 0.8,
            pause_seconds: 0.0,
            output_time: 0.05,
            engine_pace: EnginePaceUse::WhereReported,
            working_set: WorkingSetSettings::default(),
        }
    }
}

impl PoolWeights {
    /// All invalid settings, each with the allowed values.
    pub fn validate(&self) -> Vec<FieldError> {
        let weights = [
            ("routing.wait", self.wait, 0.0),
            ("routing.in_progress", self.in_progress, 0.0),
            ("routing.compute", self.compute, 0.0),
            ("routing.fetch", self.fetch, 0.0),
            ("routing.distant_fetch", self.distant_fetch, 0.0),
            ("routing.arriving", self.arriving, 0.0),
            ("routing.away_seconds", self.away_seconds, 0.0),
            ("routing.transfer", self.transfer, 0.0),
            ("routing.handover_seconds", self.handover_seconds, 0.0),
            ("routing.other_zone_seconds", self.other_zone_seconds, 0.0),
            ("routing.transfer_zone_seconds", self.transfer_zone_seconds, 0.0),
            ("routing.other_region_seconds", self.other_region_seconds, 0.0),
            (
                "routing.assumed_region_round_trip_seconds",
                self.assumed_region_round_trip_seconds,
                0.0,
            ),
            ("routing.region_transfer_factor", self.region_transfer_factor, 1.0),
            ("routing.lone_zone_seconds", self.lone_zone_seconds, 0.0),
            ("routing.places_seconds", self.places_seconds, 0.0),
            ("routing.memory_seconds", self.memory_seconds, 0.0),
            ("routing.overflow_seconds", self.overflow_seconds, 0.0),
            ("routing.single_try_seconds", self.single_try_seconds, 0.0),
            ("routing.spread_seconds", self.spread_seconds, 0.0),
            (
                "routing.assumed_prompt_tokens_per_second",
                self.assumed_prompt_tokens_per_second,
                1.0,
            ),
            ("routing.decode_reading_pace", self.decode_reading_pace, 0.001),
            ("routing.held_up", self.held_up, 0.0),
            ("routing.decode_reading_stall", self.decode_reading_stall, 0.0),
            ("routing.decode_reading_harm", self.decode_reading_harm, 0.0),
            ("routing.pause_seconds", self.pause_seconds, 0.0),
            ("routing.output_time", self.output_time, 0.0),
        ];
        let invalid = weights
            .into_iter()
            .filter(|(_, value, minimum)| !(value.is_finite() && value >= minimum))
            .map(|(field, value, minimum)| FieldError {
                field: field.to_owned(),
                value: value.to_string(),
                allowed: format!("a finite number, {minimum} or more"),
            });
        invalid.chain(self.working_set.validate()).collect()
    }
}
