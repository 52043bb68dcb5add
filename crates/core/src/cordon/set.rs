//! The cordons in force, as the store keeps them and nodes hand them on.

use super::target::CordonTarget;
use crate::metering::UnixTime;
use serde::{Deserialize, Serialize};

/// Key of the row that holds them.
pub const CORDONS_ROW: &str = "cordons";

/// One cordon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordon {
    /// What is left alone.
    pub target: CordonTarget,
    /// Who asked for it.
    pub by: String,
    /// When it was taken.
    pub since: UnixTime,
    /// When it lifts itself.
    pub until: UnixTime,
    /// Whether the engines are left alone even where no other can take a request.
    pub forced: bool,
}

/// All cordons. Times are true times, since the clocks of processes are not compared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonSet {
    /// Rises with every change.
    pub version: u64,
    /// The cordons; at most one of an operator for a target, and the zone cordons kept beside those of regions.
    pub cordons: Vec<Cordon>,
}

impl CordonSet {
    /// Takes another set if it is newer; whether it was.
    pub fn take(&mut self, other: Self) -> bool {
        let newer = other.version > self.version;
        if newer {
            *self = other;
        }
        newer
    }

    /// Those that still count.
    pub fn in_force(&self, now: UnixTime) -> impl Iterator<Item = &Cordon> {
        self.cordons.iter().filter(move |cordon| cordon.until > now)
    }
}
