//! Settings of the pool router's cost.

use super::pace::EnginePaceUse;
use super::working_set::WorkingSetSettings;
use crate::setting::FieldError;
use serde::{Deserialize, Serialize};

/// Weights of the cost in [`super::cost`]; dimensionless unless they say otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolWeights {
    /// Worth of a second until reading the prompt begins.
    pub wait: f64,
    /// Worth of a second of reading the part of the prompt that the engine does not hold.
    pub compute: f64,
    /// Worth of a second of fetching a held part from another engine.
    pub fetch: f64,
    /// Worth of a second for which other KV caches arrive first.
    pub arriving: f64,
    /// Cost of reading a shared part that nobody holds away from its home, in seconds, so that nodes which meet it at
    /// the same time read it once.
    pub away_seconds: f64,
    /// Worth of a second of moving a prompt's KV cache to the engine that runs the output.
    pub transfer: f64,
    /// Time that a hand-over takes beside the move, in seconds.
    pub handover_seconds: f64,
    /// Cost of leaving this node's zone, in seconds.
    pub other_zone_seconds: f64,
    /// Cost of handing a KV cache to another zone, in seconds.
    pub transfer_zone_seconds: f64,
    /// Cost of leaving a shared part in one zone only, where spot engines hold it and may all be taken away, in seconds.
    pub lone_zone_seconds: f64,
    /// Worth of the part of an engine's places that is taken, in seconds.
    pub places_seconds: f64,
    /// Worth of the part of an engine's memory that is taken, in seconds.
    pub memory_seconds: f64,
    /// Cost of each request beyond an engine's places, in seconds.
    pub overflow_seconds: f64,
    /// Wait that is as bad as losing a request that may run on one engine only, in seconds.
    pub single_try_seconds: f64,
    /// Most by which the cost of an engine differs by chance from one request to the next, in seconds, so that nodes which
    /// choose before they have heard of each other do not all choose the same of several equal engines.
    pub spread_seconds: f64,
    /// Speed of reading prompts that is assumed until one was seen, in tokens per second.
    pub assumed_prompt_tokens_per_second: f64,
    /// Pace at which an engine that runs outputs reads a prompt itself, relative to one that reads prompts.
    pub decode_reading_pace: f64,
    /// Worth of a second for which outputs wait at an engine because it reads prompts.
    pub held_up: f64,
    /// Part by which a second of reading there costs more for each request that runs its output beside it.
    pub decode_reading_stall: f64,
    /// The same, on top, where reading was seen to make the outputs beside it late.
    pub decode_reading_harm: f64,
    /// Cost of one stream that is sure to pause for longer than its route allows, in seconds: what a caller that
    /// waits for the next event loses by an answer that comes too late. Zero: pauses are not foreseen.
    pub pause_seconds: f64,
    /// Worth of a second that the output itself takes, where `engine_pace` decides: of two idle engines the quicker one
    /// costs less.
    pub output_time: f64,
    /// For which engines a lasting speed and a momentary figure are told apart.
    pub engine_pace: EnginePaceUse,
    /// How many engines of a large pool are in use.
    pub working_set: WorkingSetSettings,
}

impl Default for PoolWeights {
    fn default() -> Self {
        Self {
            wait: 1.0,
            compute: 1.0,
            fetch: 3.0,
            arriving: 1.0,
            away_seconds: 0.03,
            transfer: 3.0,
            handover_seconds: 0.015,
            other_zone_seconds: 0.010,
            transfer_zone_seconds: 0.010,
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
    /// Every wrong setting, with what is allowed.
    pub fn validate(&self) -> Vec<FieldError> {
        let weights = [
            ("routing.wait", self.wait, 0.0),
            ("routing.compute", self.compute, 0.0),
            ("routing.fetch", self.fetch, 0.0),
            ("routing.arriving", self.arriving, 0.0),
            ("routing.away_seconds", self.away_seconds, 0.0),
            ("routing.transfer", self.transfer, 0.0),
            ("routing.handover_seconds", self.handover_seconds, 0.0),
            ("routing.other_zone_seconds", self.other_zone_seconds, 0.0),
            ("routing.transfer_zone_seconds", self.transfer_zone_seconds, 0.0),
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
        let wrong = weights
            .into_iter()
            .filter(|(_, value, least)| !(value.is_finite() && value >= least))
            .map(|(field, value, least)| FieldError {
                field: field.to_owned(),
                value: value.to_string(),
                allowed: format!("a finite number, {least} or more"),
            });
        wrong.chain(self.working_set.validate()).collect()
    }
}
