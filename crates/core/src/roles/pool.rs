//! Which engines of a split pool should change their stage now, from what forwarding nodes know.
//!
//! The planner of [`super::planner`] predicts goodput from load reports in tokens. Here reports are dear, so the
//! demand is what nodes themselves were asked for: prompt tokens that had to be read in a second, and the requests and
//! tokens of KV cache that run their output. A change takes an engine out of service for seconds and bursts are often
//! shorter than that, so the planner does not follow them: it stands ready for the highest load of a while.
//!
//! ```text
//! reading = highest of late: prompt tokens to read in a second / tokens that one prefill engine reads in a second
//! outputs = highest of late: max(requests / places, tokens / memory) of the outputs, in engines
//! wanted prefill engines = reading / prefill_full
//! wanted decode engines  = outputs / decode_full, and never fewer than the least number
//! where both can be had:   decode engines between wanted decode and all - wanted prefill are left as they are
//! where they can't:        decode engines as wanted, in the proportion of the two where reading alone takes the rest
//! ```
//!
//! Engines are counted by the part of what falls to each that its rate limit lets through.
//!
//! "Highest of late" fades over the hold time. Before any demand was seen, as at the first start, the policy's share
//! decides.

use crate::identity::{EngineId, ZoneId};
use crate::routing::pool::EngineStage;
use crate::setting::FieldError;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolRolePolicy {
    /// Whether engines are given roles at all.
    pub enabled: bool,
    /// Load of the prefill engines up to which prompts are read without waiting long.
    pub prefill_full: f64,
    /// Load of the decode engines up to which outputs run without waiting.
    pub decode_full: f64,
    /// Time in which the highest load of late fades by two thirds, in milliseconds.
    pub hold_millis: u64,
    /// Smallest part of the engines that run outputs; two of them stay in any case, so that one may fail.
    pub least_decode_share: f64,
    /// Part of the engines that read prompts before any demand was seen.
    pub first_prefill_share: f64,
    /// Least time between two rounds of changes, in milliseconds.
    pub settle_millis: u64,
    /// Engines for each of which one may change in a round; one changes in any case.
    pub engines_per_change: usize,
}

impl Default for PoolRolePolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            prefill_full: 0.6,
            decode_full: 0.85,
            hold_millis: 15_000,
            least_decode_share: 0.25,
            first_prefill_share: 0.75,
            settle_millis: 4_000,
            engines_per_change: 6,
        }
    }
}

impl PoolRolePolicy {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let shares = [
            ("roles.prefill_full", self.prefill_full),
            ("roles.decode_full", self.decode_full),
            ("roles.first_prefill_share", self.first_prefill_share),
            ("roles.least_decode_share", self.least_decode_share),
        ];
        let mut errors: Vec<FieldError> = shares
            .into_iter()
            .filter(|(_, value)| !(0.0..=1.0).contains(value))
            .map(|(field, value)| FieldError {
                field: field.to_owned(),
                value: value.to_string(),
                allowed: "0 to 1".to_owned(),
            })
            .collect();
        for (field, value) in [
            ("roles.prefill_full", self.prefill_full),
            ("roles.decode_full", self.decode_full),
        ] {
            if value == 0.0 {
                errors.push(FieldError {
                    field: field.to_owned(),
                    value: value.to_string(),
                    allowed: "above 0".to_owned(),
                });
            }
        }
        if self.engines_per_change == 0 {
            errors.push(FieldError {
                field: "roles.engines_per_change".to_owned(),
                value: "0".to_owned(),
                allowed: "1 or more".to_owned(),
            });
        }
        errors
    }
}

/// Decode engines that stay whatever the share says, where there are that many engines.
const LEAST_DECODE: usize = 2;

impl PoolRolePolicy {
    /// Time in which the highest load of late fades by two thirds.
    pub fn hold(&self) -> Duration {
        Duration::from_millis(self.hold_millis)
    }

    /// Fewest decode engines among so many.
    fn least_decode(&self, engines: usize) -> usize {
        let share = (self.least_decode_share * engines as f64).ceil() as usize;
        share.max(LEAST_DECODE).min(engines.saturating_sub(1))
    }
}

/// One engine of the pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolEngineView {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether the platform may take it back.
    pub spot: bool,
    /// Its stage, or the one it changes to.
    pub stage: EngineStage,
    /// Outputs that run or wait there.
    pub requests: f64,
    /// Tokens of KV cache of those outputs.
    pub memory_tokens: f64,
    /// Requests that it runs at once.
    pub places: f64,
    /// Tokens that fit into its memory.
    pub capacity_tokens: f64,
    /// Part of an engine that it counts for: less than one where it names a rate limit below what would fall to it.
    pub part: f64,
}

/// Demand on the pool, from every node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// Prompt tokens that had to be read in a second; absent before enough was seen.
    pub prompt_tokens_per_second: Option<f64>,
    /// Prompt tokens that one engine reads in a second.
    pub engine_tokens_per_second: f64,
}

/// Highest loads of late, in engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeakLoads {
    /// Engines that reading prompts would keep busy; absent before any demand was seen.
    pub reading: Option<f64>,
    /// Engines that outputs would fill.
    pub outputs: f64,
    /// Whether any demand was seen, and not only expected.
    pub is_seen: bool,
    seen_at: MonotonicTime,
}

impl PeakLoads {
    /// Expects a load before any is seen.
    pub fn expect(&mut self, reading: f64, now: MonotonicTime) {
        self.seen_at = now;
        self.reading = Some(self.reading.unwrap_or_default().max(reading));
    }

    /// Takes a load that was worked out elsewhere.
    pub fn observe_load(&mut self, load: f64, hold: Duration, now: MonotonicTime) {
        let kept = self.kept(hold, now);
        self.reading = Some((self.reading.unwrap_or_default() * kept).max(load));
    }

    /// Part of the loads before that still counts.
    fn kept(&mut self, hold: Duration, now: MonotonicTime) -> f64 {
        let since = now.since(std::mem::replace(&mut self.seen_at, now));
        (-since.as_secs_f64() / hold.max(Duration::from_millis(1)).as_secs_f64()).exp()
    }

    /// Engines that reading and outputs together keep busy; absent before any demand was seen or expected.
    pub fn engines(&self) -> Option<f64> {
        self.reading.map(|reading| reading + self.outputs)
    }

    /// Takes the loads of now; higher ones of before fade by two thirds over the hold time.
    pub fn observe(
        &mut self,
        engines: &[PoolEngineView],
        demand: PoolDemand,
        hold: Duration,
        now: MonotonicTime,
    ) {
        self.observe_measured(outputs_of(engines), demand, hold, now);
    }

    /// Takes the loads of now where `outputs` is the number of engines that outputs fill.
    pub fn observe_measured(&mut self, outputs: f64, demand: PoolDemand, hold: Duration, now: MonotonicTime) {
        let kept = self.kept(hold, now);
        self.outputs = (self.outputs * kept).max(outputs);
        if let Some(tokens) = demand.prompt_tokens_per_second {
            self.is_seen = true;
            let reading = tokens / demand.engine_tokens_per_second;
            self.reading = Some((self.reading.unwrap_or_default() * kept).max(reading));
        }
    }
}

/// Time in which a change of the load shows by two thirds: a spike of a second or two is over before engines start.
const SMOOTHED_OVER: Duration = Duration::from_secs(5);

/// A load without its spikes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SmoothLoad {
    value: f64,
    seen_at: Option<MonotonicTime>,
}

impl SmoothLoad {
    /// Takes the load of this moment.
    pub fn observe(&mut self, load: f64, now: MonotonicTime) {
        let since = self
            .seen_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.since(at));
        let kept = (-since.as_secs_f64() / SMOOTHED_OVER.as_secs_f64()).exp();
        self.value = self.value * kept + load * (1.0 - kept);
    }

    /// The load of the last seconds.
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// Load that the demand of this moment would put on engines; absent before any demand was seen.
pub fn load_now(engines: &[PoolEngineView], demand: PoolDemand) -> Option<f64> {
    let reading = demand.prompt_tokens_per_second? / demand.engine_tokens_per_second;
    Some(reading + outputs_of(engines) + lost_to_limits(engines))
}

/// One change of stage.
#[derive(Clone, Debug, PartialEq)]
pub struct StageChange {
    /// The engine.
    pub engine: EngineId,
    /// Stage to take.
    pub to: EngineStage,
    /// The loads that decided.
    pub loads: PeakLoads,
}

/// The changes to make in one round: each is decided as if those before it had been made.
pub fn plan_round(engines: &[PoolEngineView], loads: PeakLoads, policy: &PoolRolePolicy) -> Vec<StageChange> {
    // While nobody waits for answers, all that an expected load asks for may change at once. Without one the share of a
    // policy decides, which is no reason for hurry: the demand may be another.
    let most = if !loads.is_seen && loads.reading.is_some() {
        engines.len()
    } else {
        (engines.len() / policy.engines_per_change.max(1)).max(1)
    };
    let mut engines = engines.to_vec();
    let mut changes: Vec<StageChange> = Vec::new();
    while changes.len() < most {
        let Some(change) = plan(&engines, loads, policy) else {
            break;
        };
        if changes.first().is_some_and(|first| first.to != change.to) {
            break;
        }
        let changed = engines.iter_mut().find(|view| view.engine == change.engine);
        changed.into_iter().for_each(|view| view.stage = change.to);
        changes.push(change);
    }
    changes
}

/// Difference from the wanted number of engines, in engines, that is not worth a change.
const TOLERANCE: f64 = 0.5;

/// The change to make now, if any.
pub fn plan(engines: &[PoolEngineView], loads: PeakLoads, policy: &PoolRolePolicy) -> Option<StageChange> {
    let prefill = of_stage(engines, EngineStage::Prefill);
    let decode = of_stage(engines, EngineStage::Decode);
    let least_decode = policy.least_decode(engines.len());
    let (fewest, most) = wanted_decode_range(engines, loads, policy);
    let count: f64 = decode.iter().map(|engine| engine.part).sum();
    let change = |engine: &PoolEngineView, to| StageChange {
        engine: engine.engine.clone(),
        to,
        loads,
    };
    if count > most + TOLERANCE && decode.len() > least_decode {
        return pick(&decode).map(|engine| change(engine, EngineStage::Prefill));
    }
    let lacks_decode = count < fewest - TOLERANCE || decode.len() < least_decode;
    if lacks_decode && prefill.len() > 1 {
        return pick(&prefill).map(|engine| change(engine, EngineStage::Decode));
    }
    None
}

/// Engines that are lost to the limits that some name.
fn lost_to_limits(engines: &[PoolEngineView]) -> f64 {
    engines.iter().map(|engine| 1.0 - engine.part).sum()
}

/// Fewest and most decode engines that are wanted among `engines`.
pub fn wanted_decode_range(
    engines: &[PoolEngineView],
    loads: PeakLoads,
    policy: &PoolRolePolicy,
) -> (f64, f64) {
    wanted_decode(engines.len() as f64 - lost_to_limits(engines), loads, policy)
}

/// Fewest and most decode engines that are wanted among so many.
fn wanted_decode(all: f64, loads: PeakLoads, policy: &PoolRolePolicy) -> (f64, f64) {
    let Some(reading) = loads.reading else {
        let decode = all - (all * policy.first_prefill_share).floor();
        return (0.0, decode);
    };
    let prefill = reading / policy.prefill_full;
    let decode = loads.outputs / policy.decode_full;
    if prefill + decode <= all {
        return (decode, all - prefill);
    }
    // Where not both can be had, nobody has room to spare for reading without a wait.
    let shared = all * decode / (reading + decode).max(all);
    (shared, shared)
}

fn of_stage(engines: &[PoolEngineView], stage: EngineStage) -> Vec<&PoolEngineView> {
    engines.iter().filter(|engine| engine.stage == stage).collect()
}

/// Engines that the outputs would fill; all outputs run at decode engines.
pub fn outputs_of(engines: &[PoolEngineView]) -> f64 {
    let decode = of_stage(engines, EngineStage::Decode);
    let filled = |engine: &PoolEngineView| {
        (engine.requests / engine.places.max(1.0)).max(engine.memory_tokens / engine.capacity_tokens.max(1.0))
    };
    decode.into_iter().map(filled).sum()
}

/// The engine that changes: one that counts whole before one whose limit it would take along, then of the zone with most of its
/// stage, the one with least to do.
fn pick<'a>(engines: &[&'a PoolEngineView]) -> Option<&'a PoolEngineView> {
    let in_zone = |zone: &ZoneId| engines.iter().filter(|engine| engine.zone == *zone).count();
    engines.iter().copied().min_by(|left, right| {
        let zones = in_zone(&right.zone).cmp(&in_zone(&left.zone));
        let parts = right.part.total_cmp(&left.part);
        parts
            .then(zones)
            .then(left.requests.total_cmp(&right.requests))
            .then(left.engine.cmp(&right.engine))
    })
}
