//! Which engine of a split pool should change its stage now, from what forwarding nodes know.
//!
//! The planner of [`super::planner`] predicts goodput from load reports in tokens. Here reports are dear, so the
//! demand is what nodes themselves forwarded: prompt tokens that had to be read in a second, and the requests and
//! tokens of KV cache that run their output. A change takes an engine out of service for seconds and empties nothing,
//! so it is made only under pressure on one stage while the other has room:
//!
//! ```text
//! load of prefill = prompt tokens read in a second / (prefill engines * tokens that one reads in a second)
//! load of decode  = max(requests / places, tokens / memory), each over the decode engines
//! more prefill    if load of prefill > prefill_high and load of decode with one fewer < decode_low
//! more decode     if load of decode > decode_high and load of prefill with one fewer < prefill_low,
//!                 or if fewer than the least number of decode engines are left, as after a loss
//! ```
//!
//! Large pools make several such changes in one round, since a burst does not wait until they have been made one by one.
//!
//! Before any demand was seen, as at the first start, the policy's share decides.

use crate::identity::{EngineId, ZoneId};
use crate::routing::pool::EngineStage;
use crate::setting::FieldError;
use serde::{Deserialize, Serialize};

/// Settings of the planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolRolePolicy {
    /// Whether engines are given roles at all.
    pub enabled: bool,
    /// Load of the prefill engines above which another is wanted.
    pub prefill_high: f64,
    /// Load of the prefill engines, with one fewer, below which one may go.
    pub prefill_low: f64,
    /// Load of the decode engines above which another is wanted.
    pub decode_high: f64,
    /// Load of the decode engines, with one fewer, below which one may go.
    pub decode_low: f64,
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
            prefill_high: 0.55,
            prefill_low: 0.5,
            decode_high: 0.5,
            decode_low: 0.3,
            least_decode_share: 0.3,
            first_prefill_share: 0.6,
            settle_millis: 4_000,
            engines_per_change: 15,
        }
    }
}

impl PoolRolePolicy {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let shares = [
            ("roles.prefill_high", self.prefill_high),
            ("roles.prefill_low", self.prefill_low),
            ("roles.decode_high", self.decode_high),
            ("roles.decode_low", self.decode_low),
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
    /// Its stage, or the one it changes to.
    pub stage: EngineStage,
    /// Requests that run or wait there.
    pub requests: f64,
    /// Tokens of KV cache of those requests.
    pub memory_tokens: f64,
    /// Requests that it runs at once.
    pub places: f64,
    /// Tokens that fit into its memory.
    pub capacity_tokens: f64,
}

/// Demand on the pool, from every node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// Prompt tokens that had to be read in a second; absent before any was seen.
    pub prompt_tokens_per_second: Option<f64>,
    /// Prompt tokens that one engine reads in a second.
    pub engine_tokens_per_second: f64,
}

/// One change of stage.
#[derive(Clone, Debug, PartialEq)]
pub struct StageChange {
    /// The engine.
    pub engine: EngineId,
    /// Stage to take.
    pub to: EngineStage,
    /// Load of the prefill engines that decided.
    pub prefill_load: f64,
    /// Load of the decode engines that decided.
    pub decode_load: f64,
}

/// The changes to make in one round: each is decided as if those before it had been made.
pub fn plan_round(
    engines: &[PoolEngineView],
    demand: PoolDemand,
    policy: &PoolRolePolicy,
) -> Vec<StageChange> {
    let most = (engines.len() / policy.engines_per_change.max(1)).max(1);
    let mut engines = engines.to_vec();
    let mut changes: Vec<StageChange> = Vec::new();
    while changes.len() < most {
        let Some(change) = plan(&engines, demand, policy) else {
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

/// The change to make now, if any.
pub fn plan(engines: &[PoolEngineView], demand: PoolDemand, policy: &PoolRolePolicy) -> Option<StageChange> {
    let prefill = of_stage(engines, EngineStage::Prefill);
    let decode = of_stage(engines, EngineStage::Decode);
    let prefill_count = prefill.len() as f64;
    let prefill_load = demand.prompt_tokens_per_second.map_or(0.0, |tokens| {
        tokens / (prefill_count.max(0.5) * demand.engine_tokens_per_second)
    });
    let decode_load = load_of(&decode, decode.len());
    let change = |engine: &PoolEngineView, to| StageChange {
        engine: engine.engine.clone(),
        to,
        prefill_load,
        decode_load,
    };
    let least_decode = policy.least_decode(engines.len());
    let may_lose_decode =
        decode.len() > least_decode && load_of(&decode, decode.len() - 1) < policy.decode_low;
    let wants_prefill = match demand.prompt_tokens_per_second {
        None => (prefill_count + 1.0) / engines.len() as f64 <= policy.first_prefill_share,
        Some(_) => prefill_load > policy.prefill_high,
    };
    if wants_prefill && may_lose_decode {
        return pick(&decode).map(|engine| change(engine, EngineStage::Prefill));
    }
    let fewer = (prefill_count - 1.0).max(0.5);
    let may_lose_prefill = prefill.len() > 1 && prefill_load * prefill_count / fewer < policy.prefill_low;
    let lacks_decode = decode.len() < least_decode && prefill.len() > 1;
    if lacks_decode || (decode_load > policy.decode_high && may_lose_prefill) {
        return pick(&prefill).map(|engine| change(engine, EngineStage::Decode));
    }
    None
}

fn of_stage(engines: &[PoolEngineView], stage: EngineStage) -> Vec<&PoolEngineView> {
    engines.iter().filter(|engine| engine.stage == stage).collect()
}

/// Load of the work at some engines if `count` of them carried it.
fn load_of(engines: &[&PoolEngineView], count: usize) -> f64 {
    if engines.is_empty() || count == 0 {
        return f64::INFINITY;
    }
    let part = count as f64 / engines.len() as f64;
    let sum = |value: fn(&PoolEngineView) -> f64| engines.iter().map(|engine| value(engine)).sum::<f64>();
    let places = sum(|engine| engine.places).max(1.0) * part;
    let memory = sum(|engine| engine.capacity_tokens).max(1.0) * part;
    (sum(|engine| engine.requests) / places).max(sum(|engine| engine.memory_tokens) / memory)
}

/// The engine that changes: of the zone with most of its stage, the one with least to do.
fn pick<'a>(engines: &[&'a PoolEngineView]) -> Option<&'a PoolEngineView> {
    let in_zone = |zone: &ZoneId| engines.iter().filter(|engine| engine.zone == *zone).count();
    engines.iter().copied().min_by(|left, right| {
        let zones = in_zone(&right.zone).cmp(&in_zone(&left.zone));
        zones
            .then(left.requests.total_cmp(&right.requests))
            .then(left.engine.cmp(&right.engine))
    })
}
