//! What a cordon is about.

use crate::forwarding::PoolId;
use crate::identity::{EngineId, RegionId, ZoneId};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Pool of a stored target that names a region in place of a zone. No target that an operator enters contains it, and no engine
/// falls under it in a build that does not know regions.
const REGION_MARK: &str = "region/";

/// What a cordon is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "StoredTarget", from = "StoredTarget")]
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
    /// The engines of all pools in the zones of one region.
    Region(RegionId),
}

/// A target as the store keeps it and nodes hand it on. Builds that know no region targets read every stored target and write it
/// back unchanged.
#[derive(Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StoredTarget {
    Engine(String),
    PoolZone { pool: PoolId, zone: ZoneId },
}

impl From<CordonTarget> for StoredTarget {
    fn from(target: CordonTarget) -> Self {
        match target {
            CordonTarget::Engine(name) => Self::Engine(name),
            CordonTarget::PoolZone { pool, zone } => Self::PoolZone { pool, zone },
            CordonTarget::Region(region) => Self::PoolZone {
                pool: PoolId(REGION_MARK.to_owned()),
                zone: ZoneId::new(region.as_str()),
            },
        }
    }
}

impl From<StoredTarget> for CordonTarget {
    fn from(stored: StoredTarget) -> Self {
        match stored {
            StoredTarget::Engine(name) => Self::Engine(name),
            StoredTarget::PoolZone { pool, zone } if pool.0 == REGION_MARK => {
                Self::Region(RegionId::new(zone.as_str()))
            }
            StoredTarget::PoolZone { pool, zone } => Self::PoolZone { pool, zone },
        }
    }
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
            "target {:?}: allowed is engine/NAME, zone/POOL/ZONE or region/REGION",
            self.text
        )
    }
}

impl CordonTarget {
    /// Whether an engine falls under it. `region` is the region of the engine's zone; an engine in a zone that the settings do not
    /// name falls under no region.
    pub fn covers(&self, engine: &EngineId, pool: &PoolId, zone: &ZoneId, region: Option<&RegionId>) -> bool {
        match self {
            Self::Engine(name) => engine.as_str() == name,
            Self::PoolZone {
                pool: cordoned_pool,
                zone: cordoned_zone,
            } => pool == cordoned_pool && zone == cordoned_zone,
            Self::Region(cordoned) => region == Some(cordoned),
        }
    }
}

impl fmt::Display for CordonTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Engine(name) => write!(formatter, "engine/{name}"),
            Self::PoolZone { pool, zone } => write!(formatter, "zone/{pool}/{zone}"),
            Self::Region(region) => write!(formatter, "region/{region}"),
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
            ["region", region] if !region.is_empty() => Ok(Self::Region(RegionId::new(*region))),
            _ => Err(TargetError {
                text: text.to_owned(),
            }),
        }
    }
}
