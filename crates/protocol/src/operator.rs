//! JSON bodies of the administration API.

use serde::{Deserialize, Serialize};
use shelfjunction_core::bundle::acceptance::{CurrentRow, HistoryRow, ProposalRow};
use shelfjunction_core::bundle::content::Bundle;
use shelfjunction_core::bundle::digest::Digest;
use shelfjunction_core::bundle::signature::{OperatorSignature, ProposalId, SigningAuthority};
use shelfjunction_core::identity::{EngineId, Generation, NodeId, RegionId, RequestId, TenantId, ZoneId};
use shelfjunction_core::membership::record::{EngineRecord, NodeRecord};
use shelfjunction_core::setting::FieldError;

/// `POST /admin/bundles`: proposes a whole bundle. Answered by [`ProposalReply`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposeRequest {
    /// The bundle.
    pub bundle: Bundle,
    /// Generation that the bundle was edited from; the proposal is refused when another is in force by now.
    pub base: Option<Generation>,
}

/// `POST /admin/bootstrap`: brings the first bundle onto an empty platform. Answered by [`RolloutReply`].
///
/// No operator exists yet, so the signatures are the authentication: they must satisfy the root keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BootstrapRequest {
    /// The bundle.
    pub bundle: Bundle,
    /// Identifier chosen by the client; the same one again asks what became of it.
    pub proposal: ProposalId,
    /// Signatures over the statement for generation 1 without an authority.
    pub signatures: Vec<OperatorSignature>,
}

/// A proposal and what it still needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalReply {
    /// The proposal with its signatures so far.
    pub proposal: ProposalRow,
    /// Whose signatures count.
    pub authority: SigningAuthority,
}

/// `POST /admin/rollout`: accepts a proposal. Answered by [`RolloutReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRequest {
    /// The proposal.
    pub proposal: ProposalId,
}

/// An accepted bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReply {
    /// What is in the history.
    pub accepted: CurrentRow,
}

/// `POST /admin/rollback`: proposes an earlier generation's content anew. Answered by [`ProposalReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollbackRequest {
    /// Generation whose content is to come back.
    pub to: Generation,
}

/// `GET /admin/bundles/current` and `GET /admin/bundles/{generation}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BundleReply {
    /// Place in the history.
    pub generation: Generation,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// The content.
    pub bundle: Bundle,
}

/// `GET /admin/history`: accepted bundles, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Accepted bundles.
    pub entries: Vec<HistoryRow>,
}

/// `GET /admin/proposals`: proposals that wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalsReply {
    /// Proposals, by identifier.
    pub proposals: Vec<ProposalRow>,
}

/// `GET /admin/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The gateway that answers.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Generation in force there; absent before the first bundle.
    pub generation: Option<Generation>,
    /// Label of the bundle in force there.
    pub label: Option<String>,
    /// Digest of the signed bundle in force there.
    pub digest: Option<Digest>,
    /// Time since it was last confirmed as current, in milliseconds.
    pub confirmed_millis_ago: Option<u64>,
    /// Whether the gateway refuses new work because it cannot know that its bundle is current.
    pub isolated: bool,
    /// Zones of the bundle in force.
    pub zones: Vec<ZoneView>,
    /// Nodes that the gateway knows of.
    pub nodes: Vec<NodeView>,
}

/// One zone as the gateway knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// The region that holds it.
    pub region: RegionId,
    /// Nodes that are thought to live.
    pub nodes_alive: usize,
    /// Engines that are thought to live.
    pub engines_alive: usize,
    /// Engines that take new work: alive, loaded, and neither draining nor changing.
    pub engines_serving: usize,
}

/// One node as the gateway knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeView {
    /// The node.
    pub node: NodeId,
    /// Its record.
    pub record: NodeRecord,
    /// Age of the record, in milliseconds.
    pub age_millis: u64,
}

/// `GET /admin/engines`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnginesReply {
    /// Engines, by identifier.
    pub engines: Vec<EngineView>,
}

/// One engine as the gateway knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineView {
    /// The engine.
    pub engine: EngineId,
    /// Its record.
    pub record: EngineRecord,
    /// Age of the record, in milliseconds.
    pub age_millis: u64,
}

/// `GET /admin/usage`: the tenants in the operator's scope, as counted by the gateway that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReply {
    /// The gateway that counted.
    pub node: NodeId,
    /// Tenants, by identifier.
    pub tenants: Vec<TenantUsage>,
}

/// Use of the gateway by one tenant since the gateway started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// The tenant.
    pub tenant: TenantId,
    /// Requests that ended, whatever the outcome.
    pub requests: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Prompt tokens of completed requests.
    pub prompt_tokens: u64,
    /// Output tokens of completed requests.
    pub output_tokens: u64,
    /// Requests in flight now.
    pub in_flight: u64,
}

/// `GET /admin/requests/{id}`; `DELETE` cancels and answers the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestView {
    /// The request.
    pub request: RequestId,
    /// Whose it is.
    pub tenant: TenantId,
    /// The model, with its adapter after a colon.
    pub model: String,
    /// `running`, or the outcome's name.
    pub state: String,
    /// Zone where it runs or ran, when one was chosen.
    pub zone: Option<ZoneId>,
    /// Engine that runs or ran it, when one was chosen.
    pub engine: Option<EngineId>,
    /// Output tokens so far.
    pub output_tokens: u32,
    /// Time since it was admitted, in milliseconds.
    pub age_millis: u64,
}

/// Body of every refusal or failure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminError {
    /// The cause.
    pub code: AdminErrorCode,
    /// One sentence for a person.
    pub message: String,
    /// Every fault of a bundle or a field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FieldFault>,
    /// The bundle that won a race.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<Box<CurrentRow>>,
}

/// Cause of an error of the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminErrorCode {
    /// No operator has this bearer token.
    Unauthenticated,
    /// The operator's scope does not allow it.
    Forbidden,
    /// Nothing has this name, or it is outside the operator's scope.
    NotFound,
    /// The body can't be understood.
    InvalidRequest,
    /// The bundle breaks the rules; see the faults.
    InvalidBundle,
    /// The signature does not fit the statement or its operator may not sign.
    InvalidSignature,
    /// The proposal lacks signatures.
    SignaturesMissing,
    /// Another bundle took the place; see the winner.
    Conflict,
    /// The platform holds no bundle yet: bring in the first one.
    NoBundle,
    /// This gateway has not caught up with the bundle in force; nothing was changed.
    Behind,
    /// The platform's service did nothing; nothing was changed.
    PlatformUnavailable,
    /// The platform's answer was lost and could not be settled: ask again with the same identifiers.
    Unsettled,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldFault {
    /// Path of the field.
    pub field: String,
    /// What was found.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl From<FieldError> for FieldFault {
    fn from(error: FieldError) -> Self {
        Self {
            field: error.field,
            value: error.value,
            allowed: error.allowed,
        }
    }
}
