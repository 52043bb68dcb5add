//! The engines of a large pool that are in use.
//!
//! A fleet may list ten thousand engines while its load needs a few dozen. What a node keeps of an engine, and what a
//! choice costs, must follow the load, so of a large pool only some engines are in use; the others are a reserve, of which
//! nothing is known but how they are listed. Engines of one pool, zone and stage form a group:
//!
//! ```text
//! load of a group  = prefill: over its engines in use, the greater of 1 where prompts are to be read,
//!                             and seconds of reading ahead / QUEUE_OF_ONE
//!                    others:  over its engines in use, the greater of requests / places and tokens / memory
//! wanted in use    = max(least_in_group, load / full_share), which falls slowly after a peak
//!                  + engines in use that take no work now: paused, cordoned, changing their stage
//! in use           = the first by the numbers of their names' digests
//! ```
//!
//! The digest is the same at every node, so nodes agree on the engines without a word, and where they differ one has a few
//! more. One that leaves is replaced at once. Before a request is refused, or served late, while no engine of a stage
//! that is in use stands idle, the reserve is drawn upon ([`PoolRouter::admit_or_grow`]).
//!
//! An engine that is no longer wanted goes back into the reserve when it was not used for the hold time; what it was
//! believed to hold is forgotten then. A pool of up to `whole_up_to` engines, and one whose engines are paid by the second,
//! is in use as a whole.

mod groups;
mod growth;
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
    /// Engines of a pool up to which all are in use: what a node keeps of so many is small.
    pub whole_up_to: usize,
    /// Fewest engines in use of one pool, zone and stage: room for a burst until the load is seen, and for losses.
    pub least_in_group: usize,
    /// Part of the engines in use that the load may keep busy; the rest keeps requests from queueing.
    pub full_share: f64,
    /// Time in which the wanted number falls by two thirds after a peak, and for which an engine must not have been used
    /// before it goes back into the reserve, in seconds.
    pub hold_seconds: f64,
}

impl Default for WorkingSetSettings {
    fn default() -> Self {
        Self {
            whole_up_to: 200,
            least_in_group: 20,
            full_share: 0.4,
            hold_seconds: 60.0,
        }
    }
}

impl WorkingSetSettings {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut fault = |field: &str, value: String, allowed: &str| {
            errors.push(FieldError {
                field: format!("routing.working_set.{field}"),
                value,
                allowed: allowed.to_owned(),
            });
        };
        if self.least_in_group == 0 {
            fault("least_in_group", "0".to_owned(), "1 or more");
        }
        if !(self.full_share > 0.0 && self.full_share <= 1.0) {
            fault("full_share", self.full_share.to_string(), "above 0, at most 1");
        }
        if !(self.hold_seconds.is_finite() && self.hold_seconds >= 1.0) {
            fault("hold_seconds", self.hold_seconds.to_string(), "1 or more");
        }
        errors
    }
}

/// A change of the number of engines in use of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkingSetChange {
    /// The pool.
    pub pool: PoolId,
    /// The zone.
    pub zone: ZoneId,
    /// The stage.
    pub stage: EngineStage,
    /// Engines in use now.
    pub in_use: usize,
    /// Engines in the reserve now.
    pub reserve: usize,
    /// Engines that are wanted in use.
    pub wanted: usize,
}
