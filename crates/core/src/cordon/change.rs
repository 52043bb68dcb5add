//! What an operator asks for, and whether it may be done.

use super::least_left::{CordonSettings, EngineStanding, first_short_pool};
use super::regions::{is_for_region, zone_cordons};
use super::set::{Cordon, CordonSet};
use super::target::CordonTarget;
use crate::metering::UnixTime;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Most cordons at once: the set goes from node to node whole, and a longer list is a configuration's matter.
const MOST_CORDONS: usize = 64;

/// Most zone cordons that are kept beside region cordons for builds that know no region targets.
const MAX_ZONE_CORDONS_FOR_REGIONS: usize = 256;

/// A cordon that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewCordon {
    /// What is to be left alone.
    pub target: CordonTarget,
    /// Who asks.
    pub by: String,
    /// For how long.
    pub lasts: Duration,
    /// Whether it holds although too few engines are left.
    pub forced: bool,
}

/// A change of the set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CordonChange {
    /// Leave engines alone.
    Cordon(NewCordon),
    /// Use them again.
    Uncordon(CordonTarget),
}

/// Why a change is not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CordonRefusal {
    /// Nothing stands against the target.
    NotCordoned(CordonTarget),
    /// No engine that is listed falls under it.
    NoSuchEngine(CordonTarget),
    /// It would last too long, or no time at all.
    Lasts {
        /// What was asked for.
        asked: Duration,
        /// The longest time allowed.
        most: Duration,
    },
    /// So many cordons stand already.
    TooMany(usize),
    /// Too few engines of a pool would be left.
    TooFewLeft {
        /// The pool, and what its engines do.
        pool: String,
        /// Engines that would be left.
        left: usize,
        /// Engines that must be.
        least: usize,
    },
}

impl fmt::Display for CordonRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotCordoned(target) => write!(formatter, "{target} is not cordoned"),
            Self::NoSuchEngine(target) => write!(formatter, "no engine that is listed falls under {target}"),
            Self::Lasts { asked, most } => write!(
                formatter,
                "seconds {}: allowed is 1 to {}",
                asked.as_secs(),
                most.as_secs()
            ),
            Self::TooMany(standing) => write!(formatter, "{standing} cordons stand already"),
            Self::TooFewLeft { pool, left, least } => write!(
                formatter,
                "pool {pool} would be left with {left} engines, and needs {least}; force does it all the same"
            ),
        }
    }
}

impl CordonSet {
    /// The set after a change, given every engine that is listed and stays.
    pub fn changed(
        &self,
        change: &CordonChange,
        engines: &[EngineStanding],
        settings: &CordonSettings,
        now: UnixTime,
    ) -> Result<Self, CordonRefusal> {
        let (mut for_regions, mut cordons): (Vec<Cordon>, Vec<Cordon>) = self
            .in_force(now)
            .cloned()
            .partition(|cordon| is_for_region(cordon, &self.cordons));
        match change {
            CordonChange::Uncordon(target) => {
                let before = cordons.len();
                cordons.retain(|cordon| cordon.target != *target);
                if cordons.len() == before {
                    return Err(CordonRefusal::NotCordoned(target.clone()));
                }
            }
            CordonChange::Cordon(asked) => {
                check(asked, engines, settings)?;
                cordons.retain(|cordon| cordon.target != asked.target);
                if cordons.len() >= MOST_CORDONS {
                    return Err(CordonRefusal::TooMany(cordons.len()));
                }
                let cordon = cordon_of(asked, now);
                for_regions.extend(zone_cordons(&cordon, engines));
                cordons.push(cordon);
                let all: Vec<Cordon> = cordons.iter().chain(&for_regions).cloned().collect();
                if !asked.forced
                    && let Some(short) = first_short_pool(&all, &asked.target, engines, settings)
                {
                    return Err(short);
                }
            }
        }
        for_regions.retain(|cordon| is_for_region(cordon, &cordons));
        if for_regions.len() > MAX_ZONE_CORDONS_FOR_REGIONS {
            return Err(CordonRefusal::TooMany(for_regions.len()));
        }
        cordons.extend(for_regions);
        Ok(Self {
            version: self.version + 1,
            cordons,
        })
    }
}

fn check(
    asked: &NewCordon,
    engines: &[EngineStanding],
    settings: &CordonSettings,
) -> Result<(), CordonRefusal> {
    let most = settings.longest();
    if asked.lasts < Duration::from_secs(1) || asked.lasts > most {
        return Err(CordonRefusal::Lasts {
            asked: asked.lasts,
            most,
        });
    }
    if !engines.iter().any(|engine| engine.falls_under(&asked.target)) {
        return Err(CordonRefusal::NoSuchEngine(asked.target.clone()));
    }
    Ok(())
}

fn cordon_of(asked: &NewCordon, now: UnixTime) -> Cordon {
    let micros = u64::try_from(asked.lasts.as_micros()).unwrap_or(u64::MAX);
    Cordon {
        target: asked.target.clone(),
        by: asked.by.clone(),
        since: now,
        until: UnixTime(now.0.saturating_add(micros)),
        forced: asked.forced,
    }
}
