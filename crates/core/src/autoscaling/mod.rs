//! How many engines of which kind run in which zone, where the platform starts and stops them at a price.
//!
//! [`planner`] decides what is wanted, [`ordering`] which call says it next. Nothing is read back from a call: what is
//! believed is what the platform's list of engines shows.

pub mod config;
pub mod ordering;
pub mod planner;
pub mod reclaim;

use crate::forwarding::PoolId;
use crate::identity::ZoneId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether the platform may take an engine back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EngineKind {
    /// It stays until it is ordered away.
    OnDemand,
    /// It is cheaper, and may be taken away, all those of a zone at once.
    Spot,
}

/// What a configuration says of a pool whose engines are paid by the second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolScaling {
    /// Fewest engines in a zone, of both kinds together.
    pub minimum: u32,
    /// Most engines in a zone, of both kinds together.
    pub maximum: u32,
    /// Time from an order until a new engine serves.
    pub startup: Duration,
    /// Price of a spot engine, as a part of an on-demand engine's; absent where there are none.
    pub spot_price: Option<f64>,
    /// Zones in which the pool runs, each with the price of an on-demand engine there.
    pub zone_prices: Vec<ZonePrice>,
}

/// Price of an on-demand engine in a zone, for a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZonePrice {
    /// The zone.
    pub zone: ZoneId,
    /// The price, in units that are the same for all zones.
    pub price: f64,
}

/// Engines of a zone by kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEngines {
    /// The zone.
    pub zone: ZoneId,
    /// On-demand engines.
    pub on_demand: u32,
    /// Spot engines.
    pub spot: u32,
}

impl ZoneEngines {
    /// Engines of one kind.
    pub fn of(&self, kind: EngineKind) -> u32 {
        match kind {
            EngineKind::OnDemand => self.on_demand,
            EngineKind::Spot => self.spot,
        }
    }

    /// Engines of both kinds.
    pub fn total(&self) -> u32 {
        self.on_demand + self.spot
    }
}

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScaleSubject {
    /// The pool.
    pub pool: PoolId,
    /// The zone.
    pub zone: ZoneId,
    /// The kind of engines.
    pub kind: EngineKind,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// What it is about.
    pub subject: ScaleSubject,
    /// Engines that should run.
    pub count: u32,
}
