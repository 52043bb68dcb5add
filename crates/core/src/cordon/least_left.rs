//! How many engines of a pool must stay in use.

use super::change::CordonRefusal;
use super::set::Cordon;
use super::target::CordonTarget;
use crate::forwarding::PoolId;
use crate::identity::{EngineId, RegionId, ZoneId};
use crate::routing::pool::EngineStage;
use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of cordons.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CordonSettings {
    /// Share of a pool's engines of each stage that stays in use unless an operator forces more: with half of them a
    /// pool still bears what it bears on most of a day.
    pub least_share_left: f64,
    /// Longest time of one cordon, in seconds: one that is forgotten ends within a day.
    pub longest_seconds: u64,
}

impl Default for CordonSettings {
    fn default() -> Self {
        Self {
            least_share_left: 0.5,
            longest_seconds: 86_400,
        }
    }
}

impl CordonSettings {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        if !(0.0..=1.0).contains(&self.least_share_left) {
            errors.push(FieldError {
                field: "cordons.least_share_left".to_owned(),
                value: self.least_share_left.to_string(),
                allowed: "0 to 1".to_owned(),
            });
        }
        if self.longest_seconds == 0 {
            errors.push(FieldError {
                field: "cordons.longest_seconds".to_owned(),
                value: "0".to_owned(),
                allowed: "1 or more".to_owned(),
            });
        }
        errors
    }

    /// Longest time of one cordon.
    pub fn longest(&self) -> Duration {
        Duration::from_secs(self.longest_seconds)
    }
}

/// One engine that is listed and stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStanding {
    /// The engine.
    pub engine: EngineId,
    /// Its pool.
    pub pool: PoolId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region; absent if the settings do not name its zone or the deployment is not regional.
    pub region: Option<RegionId>,
    /// What it does.
    pub stage: EngineStage,
}

impl EngineStanding {
    pub(super) fn falls_under(&self, target: &CordonTarget) -> bool {
        target.covers(&self.engine, &self.pool, &self.zone, self.region.as_ref())
    }

    fn is_left(&self, cordons: &[Cordon]) -> bool {
        !cordons.iter().any(|cordon| self.falls_under(&cordon.target))
    }
}

/// The first pool and stage that a cordon would leave with too few engines, counted over all zones and regions.
pub(super) fn first_short_pool(
    cordons: &[Cordon],
    added: &CordonTarget,
    engines: &[EngineStanding],
    settings: &CordonSettings,
) -> Option<CordonRefusal> {
    engines
        .iter()
        .filter(|engine| engine.falls_under(added))
        .find_map(|touched| {
            let alike: Vec<&EngineStanding> = engines
                .iter()
                .filter(|engine| engine.pool == touched.pool && engine.stage == touched.stage)
                .collect();
            let left = alike.iter().filter(|engine| engine.is_left(cordons)).count();
            let share = (alike.len() as f64 * settings.least_share_left).ceil() as usize;
            let least = share.max(1);
            (left < least).then(|| CordonRefusal::TooFewLeft {
                pool: format!("{} ({})", touched.pool, touched.stage.name()),
                left,
                least,
            })
        })
}
