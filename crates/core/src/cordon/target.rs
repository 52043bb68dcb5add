//! What a cordon is about.

use crate::forwarding::PoolId;
use crate::identity::{EngineId, ZoneId};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// What a cordon is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CordonTarget {
    /// One engine, by its name, whichever start of it runs.
    Engine(String),
    /// The engines of one pool in one zone.
    PoolZone {
        /// The pool.
        pool: PoolId,
        /// The zone.
        zone: ZoneId,
    },
}

/// A text that names no target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetError {
    text: String,
}

impl fmt::Display for TargetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "target {:?}: allowed is engine/NAME or zone/POOL/ZONE",
            self.text
        )
    }
}

impl CordonTarget {
    /// Whether an engine falls under it.
    pub fn covers(&self, engine: &EngineId, pool: &PoolId, zone: &ZoneId) -> bool {
        match self {
            Self::Engine(name) => engine.as_str() == name,
            Self::PoolZone {
                pool: cordoned_pool,
                zone: cordoned_zone,
            } => pool == cordoned_pool && zone == cordoned_zone,
        }
    }
}

impl fmt::Display for CordonTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Engine(name) => write!(formatter, "engine/{name}"),
            Self::PoolZone { pool, zone } => write!(formatter, "zone/{pool}/{zone}"),
        }
    }
}

impl FromStr for CordonTarget {
    type Err = TargetError;

    fn from_str(text: &str) -> Result<Self, TargetError> {
        let parts: Vec<&str> = text.split('/').collect();
        match parts.as_slice() {
            ["engine", name] if !name.is_empty() => Ok(Self::Engine((*name).to_owned())),
            ["zone", pool, zone] if !pool.is_empty() && !zone.is_empty() => Ok(Self::PoolZone {
                pool: PoolId((*pool).to_owned()),
                zone: ZoneId::new(*zone),
            }),
            _ => Err(TargetError {
                text: text.to_owned(),
            }),
        }
    }
}
