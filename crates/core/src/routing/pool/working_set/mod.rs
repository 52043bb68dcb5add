//! The working set: the engines of a large pool that are in use.
//!
//! A fleet may list ten thousand engines while its load needs a few dozen. The state that a node keeps and the cost of a
//! routing decision must depend on the load and not on the size of the fleet. So only some engines of a large pool are in
//! use. The others form a reserve, of which a node knows only the list entries. Engines of one pool, zone and stage form a
//! group:
//!
//! ```text
//! load of a group = prefill engines: sum over the engines in use, for each engine with queued prompt tokens
//!                                    max(1, seconds of queued prefill / PREFILL_SECONDS_PER_BUSY_ENGINE)
//!                   other engines:   sum over the engines in use of max(requests / slots, tokens / KV cache tokens)
//! wanted          = max(min_in_group, load / target_utilization), which decays after a peak
//! target          = wanted + engines in use that take no work now (paused, cordoned, changing their stage)
//! in use          = the first `target` engines in the order of the digests of their names
//! ```
//!
//! Every node computes the same digests, so nodes choose the same engines without communicating; where their loads differ,
//! one node may have a few more engines in use. An engine that leaves is replaced at once. Before a request is rejected or
//! would be late, engines of the reserve are brought into use for each stage without an idle engine in use
//! ([`PoolRouter::admit_or_grow`]).
//!
//! An engine that is no longer wanted returns to the reserve once it has been unused for the hold time, and its state is
//! dropped. All engines are in use in a pool of up to `use_all_up_to` engines and in a pool whose engines are billed by the
//! second.

mod groups;
mod growing;
mod load;
mod members;

pub(super) use groups::WorkingSet;

use super::engine::EngineStage;
use crate::forwarding::PoolId;
use crate::identity::ZoneId;
use crate::setting::FieldError;
use serde::{Deserialize, Serialize};

/// Settings of the working set.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkingSetSettings {
    /// Maximum number of listed engines of a pool at which all of them are in use. The state that a node keeps of so
    /// few engines is small.
    #[serde(rename = "whole_up_to")]
    pub use_all_up_to: usize,
    /// Minimum number of engines in use per pool, zone and stage; absorbs bursts and engine failures.
    #[serde(rename = "least_in_group")]
    pub min_in_group: usize,
    /// Target utilization: the share of the engines in use that the load may keep busy, above 0 and at most 1.
    #[serde(rename = "full_share")]
    pub target_utilization: f64,
    /// Seconds in which the wanted number decays to 1/e after a peak. Also how long an engine must be unused before it
    /// returns to the reserve.
    pub hold_seconds: f64,
}

impl Default for WorkingSetSettings {
    fn default() -> Self {
        Self {
            use_all_up_to: 200,
            min_in_group: 20,
            target_utilization: 0.4,
            hold_seconds: 60.0,
        }
    }
}

impl WorkingSetSettings {
    /// One error for each setting out of its bounds.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut reject = |field: &str, value: String, allowed: &str| {
            errors.push(FieldError {
                field: format!("routing.working_set.{field}"),
                value,
                allowed: allowed.to_owned(),
            });
        };
        if self.min_in_group == 0 {
            reject("least_in_group", "0".to_owned(), "1 or more");
        }
        if !(self.target_utilization > 0.0 && self.target_utilization <= 1.0) {
            reject(
                "full_share",
                self.target_utilization.to_string(),
                "above 0, at most 1",
            );
        }
        if !(self.hold_seconds.is_finite() && self.hold_seconds >= 1.0) {
            reject("hold_seconds", self.hold_seconds.to_string(), "1 or more");
        }
        errors
    }
}

/// A change of the number of engines in use of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkingSetChange {
    /// Pool of the group.
    pub pool: PoolId,
    /// Zone of the group.
    pub zone: ZoneId,
    /// Stage of the group.
    pub stage: EngineStage,
    /// Engines in use after the change.
    pub in_use: usize,
    /// Engines in the reserve after the change.
    pub reserve: usize,
    /// Target number of engines in use.
    pub wanted: usize,
}
