//! What a bundle says: zones, models, tenants, operators and how engines may be given roles.

use crate::engine::Role;
use crate::identity::{AdapterId, ModelId, OperatorId, RegionId, TenantId, WeightVersion, ZoneId};
use crate::service_class::{ClassTarget, ServiceClass};
use crate::tenancy::rate::{RateUnit, TenantRate};
use serde::{Deserialize, Serialize};

/// Whole content of one bundle. Lists are sorted by identifier in the canonical form.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Free text by which operators tell bundles apart.
    pub label: String,
    /// Rules that hold for the whole fleet.
    pub fleet: FleetRule,
    /// Zones that exist.
    pub zones: Vec<ZoneRule>,
    /// Models and applications that run.
    pub models: Vec<ModelRule>,
    /// Tenants and where their data may be served.
    pub tenants: Vec<TenantRule>,
    /// Who may use the administration API.
    pub operators: Vec<OperatorRule>,
}

/// Rules that hold for the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRule {
    /// Signatures that a bundle needs.
    pub required_signatures: u32,
    /// A node that can't confirm its bundle for this long refuses new work, in milliseconds.
    pub isolation_limit_millis: u64,
    /// How roles are given.
    pub roles: RolePolicy,
    /// Limits of each class.
    pub classes: Vec<ClassRule>,
}

/// Limits of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// The class.
    pub class: ServiceClass,
    /// What its requests need to count as goodput.
    pub target: ClassTarget,
}

/// Weights and bounds of the role planner; the objective is goodput gained minus the price of changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolePolicy {
    /// Worth of one request per second of goodput, dimensionless.
    pub goodput_weight: f64,
    /// Price of one role change, in requests of goodput.
    pub change_price: f64,
    /// How far ahead a change must repay itself, in milliseconds.
    pub horizon_millis: u64,
    /// Most engines of a zone that change at once.
    pub concurrent_changes_per_zone: u32,
    /// Shortest time between two changes of one engine, in milliseconds.
    pub minimum_dwell_millis: u64,
}

/// One zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneRule {
    /// The zone.
    pub zone: ZoneId,
    /// The region that holds it.
    pub region: RegionId,
}

/// One model or application.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRule {
    /// The model.
    pub model: ModelId,
    /// The version to run.
    pub version: WeightVersion,
    /// Whether engines run it as a model or act on it as an application.
    pub kind: ModelKind,
    /// Size of the weights, in bytes.
    pub weight_bytes: u64,
    /// Adapters on top of it.
    pub adapters: Vec<AdapterRule>,
    /// Fewest engines of each role in each zone.
    pub floors: Vec<RoleFloor>,
}

/// Kind of back end that serves a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelKind {
    /// Runs on model engines.
    Model,
    /// Acts outside the system, on application engines; never repeated.
    Application,
}

/// One adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterRule {
    /// The adapter.
    pub adapter: AdapterId,
    /// The version to run.
    pub version: WeightVersion,
}

/// Fewest engines of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleFloor {
    /// The role.
    pub role: Role,
    /// Fewest engines per zone.
    pub engines: u32,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantRule {
    /// The tenant.
    pub tenant: TenantId,
    /// SHA-256 of the bearer token, in hexadecimal.
    pub token_sha256: String,
    /// Zones that may hold and serve the tenant's data.
    pub zones: Vec<ZoneId>,
    /// Models that the tenant may call.
    pub models: Vec<ModelGrant>,
    /// Most requests a second.
    pub requests_per_second: u32,
    /// Most tokens (prompt and output) in flight.
    pub tokens_in_flight: u64,
    /// Share among tenants when capacity is short; higher gets more.
    pub share: u32,
    /// Rate over all gateways together; none without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<TenantRateRule>,
}

/// What a tenant may have run over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantRateRule {
    /// Units per second.
    pub units_per_second: u64,
    /// Units that may be used at once.
    pub burst: u64,
    /// What is counted.
    pub unit: TenantRateUnit,
}

/// What a tenant's rate counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TenantRateUnit {
    /// Each call as one.
    Requests,
    /// The prompt tokens of each call and the most that it may generate.
    Tokens,
}

impl TenantRateRule {
    /// The rate as the owner of its bucket keeps it; absent if the rule is not valid.
    pub fn rate(&self) -> Option<TenantRate> {
        let unit = match self.unit {
            TenantRateUnit::Requests => RateUnit::Requests,
            // A gateway counts the tokens of every call.
            TenantRateUnit::Tokens => RateUnit::Tokens { undeclared: 0 },
        };
        TenantRate::new(unit, self.units_per_second as f64, self.burst as f64)
    }
}

/// Permission to call one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGrant {
    /// The model.
    pub model: ModelId,
    /// Class of the tenant's calls to it when the call names none.
    pub class: ServiceClass,
    /// Whether every call needs an idempotency key.
    pub key_required: bool,
}

/// One operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorRule {
    /// The operator.
    pub operator: OperatorId,
    /// Ed25519 public key, in hexadecimal.
    pub public_key: String,
    /// SHA-256 of the operator's bearer token for the administration API, in hexadecimal.
    pub token_sha256: String,
    /// What the operator may do.
    pub actions: Vec<OperatorAction>,
    /// Tenants the operator may see; empty: none beyond totals.
    pub tenants: Vec<TenantId>,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorAction {
    /// Read status, engines and history.
    View,
    /// Propose bundles.
    Propose,
    /// Sign bundles.
    Sign,
    /// Roll out and roll back.
    Rollout,
    /// Show and cancel requests of the tenants in scope.
    Requests,
}

/// Longest time without confirmation before new work is refused, where the bundle says nothing else.
pub const DEFAULT_ISOLATION_LIMIT_MILLIS: u64 = 30_000;

impl Default for FleetRule {
    fn default() -> Self {
        Self {
            required_signatures: 1,
            isolation_limit_millis: DEFAULT_ISOLATION_LIMIT_MILLIS,
            roles: RolePolicy::default(),
            classes: Vec::new(),
        }
    }
}

impl Default for RolePolicy {
    fn default() -> Self {
        Self {
            goodput_weight: 1.0,
            change_price: 1.0,
            horizon_millis: 120_000,
            concurrent_changes_per_zone: 1,
            minimum_dwell_millis: 30_000,
        }
    }
}
