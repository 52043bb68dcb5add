//! Messages between the system's own processes, encoded with bincode.

use super::tenant_rate_messages::ChargeOutcome;
use serde::{Deserialize, Serialize};
use shelfjunction_core::demand::DemandReport;
use shelfjunction_core::identity::{Generation, NodeId, TenantId, ZoneId};
use shelfjunction_core::membership::record::Record;
use shelfjunction_core::membership::wire::Fact;
use shelfjunction_core::tenancy::rate::TenantRate;

/// Longest frame that is read from a peer over TCP, in bytes.
pub const MAXIMUM_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Longest datagram that is sent to a peer over UDP, in bytes; stays below one Ethernet MTU.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1_400;

/// SHA-256 of canonical bytes.
pub type ContentDigest = [u8; 32];

/// Request over a TCP connection to a controller; one length-prefixed frame each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Stream every record now, then each change, as [`PeerResponse::Records`] frames until the connection closes.
    WatchFleet,
    /// The bundle in force at the peer, answered by [`PeerResponse::Head`].
    BundleHead,
    /// Contents by digest, answered by [`PeerResponse::Parts`].
    FetchParts(Vec<ContentDigest>),
    /// Every fact of membership, answered by [`PeerResponse::Facts`].
    FetchFacts,
    /// A head that the sender accepted; the receiver checks it for itself. Answered by [`PeerResponse::Head`].
    AnnounceHead(BundleHead),
    /// Demand that the gateway on the same machine sees now. Answered by [`PeerResponse::Noted`].
    ReportDemand(DemandReport),
    /// Demand that another controller passes on towards the planner. Answered by [`PeerResponse::Noted`].
    ForwardDemand(ForwardedDemand),
    /// A call of a tenant with a rate, charged at the owner of its bucket. Answered by [`PeerResponse::TenantRate`]; controllers of
    /// earlier builds close the connection.
    ChargeTenantRate(TenantRateCharge),
    /// A charge for a call that was refused for another cause. Answered by [`PeerResponse::Noted`].
    RefundTenantRate(TenantRateCharge),
}

/// A call of a tenant with a rate over all gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantRateCharge {
    /// The tenant.
    pub tenant: TenantId,
    /// Its rate as the sender has it.
    pub rate: TenantRate,
    /// Generation of the bundle that says so.
    pub generation: Generation,
    /// Units of the call.
    pub cost: u32,
    /// Whether nodes before the receiver gave no answer.
    pub as_deputy: bool,
}

/// Where a demand was seen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DemandSource {
    /// At one machine's gateway.
    Node(NodeId),
    /// At all gateways of a zone.
    Zone(ZoneId),
}

/// Demand on its way to the controller that plans a zone's roles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedDemand {
    /// Where it was seen.
    pub source: DemandSource,
    /// What was seen there.
    pub report: DemandReport,
    /// How often it may still be passed on, so that stale knowledge of who plans makes no circle.
    pub hops_left: u8,
}

/// Answer of a controller; one length-prefixed frame each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Records, each with its age at sending.
    Records(Vec<Record>),
    /// The head in force; absent before the first bundle.
    Head(Option<BundleHead>),
    /// The contents that the peer holds, in no stated order.
    Parts(Vec<Vec<u8>>),
    /// The report was taken in.
    Noted,
    /// Every fact of membership that the peer holds, each with its age at sending.
    Facts(Vec<Fact>),
    /// The request could not be served.
    Refused(String),
    /// Whether a call may run.
    TenantRate(ChargeOutcome),
}

/// Which bundle is in force and how long ago that was last confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHead {
    /// Position in the history.
    pub generation: Generation,
    /// Digest of the signed manifest.
    pub manifest: ContentDigest,
    /// Time since the store, or a peer of another zone, confirmed that this is current, in milliseconds.
    pub confirmed_millis_ago: u64,
}
