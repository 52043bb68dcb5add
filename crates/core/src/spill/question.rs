//! Messages of spillover: the question to a placer of another region, and its answer.

use crate::forwarding::PoolId;
use crate::identity::RegionId;
use crate::placing::question::{PlacementAnswer, PlacementQuery, RequestSummary};
use crate::routing::pool::Admission;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why the home region does not serve a request in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SpillReason {
    /// It would be served late.
    Late,
    /// It would be refused.
    Refused,
    /// No engine can take it, or only engines that are avoided for now.
    NoEngine,
}

impl SpillReason {
    /// Reason that a home verdict gives; absent if the request is served in time. `has_engine` tells whether the verdict names
    /// engines.
    pub fn of_verdict(admission: Admission, has_engine: bool) -> Option<Self> {
        match admission {
            Admission::Refused { .. } => Some(Self::Refused),
            _ if !has_engine => Some(Self::NoEngine),
            Admission::Late => Some(Self::Late),
            Admission::InTime => None,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Refused => "refused",
            Self::NoEngine => "no_engine",
        }
    }
}

/// Why a placer declines a request of another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclineReason {
    /// The node does not place requests, or has no configuration or engine list yet.
    NotReady,
    /// No engine of the region can take it.
    NoEngine,
    /// The region served requests of its own late or refused some a moment ago.
    RegionBusy,
    /// Requests of other regions occupy their share of the free capacity.
    ShareInUse,
    /// It would not be served in time.
    NotInTime,
}

impl DeclineReason {
    /// Whether only requests of the same kind would be declined too, so that others may be asked about.
    pub fn is_of_kind(self) -> bool {
        matches!(self, Self::NoEngine | Self::NotInTime)
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoEngine => "no_engine",
            Self::RegionBusy => "region_busy",
            Self::ShareInUse => "share_in_use",
            Self::NotInTime => "not_in_time",
        }
    }
}

/// Requests that a region answers alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKind {
    pool: PoolId,
    model: String,
    kind_rank: u8,
}

impl RequestKind {
    /// Kind of a request.
    pub fn of(request: &RequestSummary) -> Self {
        Self {
            pool: request.pool.clone(),
            model: request.prompt.model.clone(),
            kind_rank: request.constraints.kind_rank,
        }
    }
}

/// Asks a placer of another region whether it accepts a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpillQuestion {
    /// Query for admission, with what is left of the target when the answer comes.
    pub query: PlacementQuery,
    /// Verdict of the home region.
    pub reason: SpillReason,
    /// Home region.
    pub region: RegionId,
    /// Round trip to the asked region as the asking node measured it; absent before its first measurement.
    pub round_trip: Option<Duration>,
}

/// A declined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decline {
    /// Why.
    pub reason: DeclineReason,
    /// Time for which the region need not be asked again, about this kind of request if the reason concerns that only.
    pub backoff: Duration,
}

/// What a placer answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SpillAnswer {
    /// It has placed the request.
    Accepted(Box<PlacementAnswer>),
    /// It does not take the request.
    Declined(Decline),
}
