//! The two deployments of the first users at their present size: zones, engines, models, tenants and operators.
//!
//! Tokens and keys here are for stand-ins on loopback only; they are made from the names and protect nothing.

use super::tenants::{TenantPlan, tenant_rule};
use sha2::{Digest as _, Sha256};
use shelfjunction_core::bundle::Digest;
use shelfjunction_core::bundle::content::{
    AdapterRule, Bundle, ClassRule, FleetRule, ModelKind, ModelRule, OperatorAction, OperatorRule, ZoneRule,
};
use shelfjunction_core::bundle::signature::{KEY_BYTES, SigningAuthority, public_key};
use shelfjunction_core::identity::{
    AdapterId, ModelId, OperatorId, RegionId, TenantId, WeightVersion, ZoneId,
};
use shelfjunction_core::service_class::{ClassTarget, ServiceClass};

/// Size of a model's weights, in bytes; small, so that a stand-in loads them at once.
const WEIGHT_BYTES: u64 = 1_000_000;

/// Pharmacy chains; the last two may be served in some zones only.
const PHARMACY_TENANTS: [TenantPlan; 4] = [
    TenantPlan::new("norrapotek", &["sthlm-a", "uppsala-b", "vasteras-c"]),
    TenantPlan::new("malarapotek", &["sthlm-a", "uppsala-b", "vasteras-c"]),
    TenantPlan::new("uppapotek", &["uppsala-b", "vasteras-c"]),
    TenantPlan::new("sthlmapotek", &["sthlm-a"]),
];

/// Studios and a partner; the last may be served in some zones only.
const KADRIKS_TENANTS: [TenantPlan; 3] = [
    TenantPlan::new("studio-riga", &["ziepniekkalns", "purvciems", "imanta"]),
    TenantPlan::new("studio-vilnius", &["ziepniekkalns", "purvciems", "imanta"]),
    TenantPlan::new("ingest-partner", &["imanta"]),
];

/// One deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Name for log lines.
    pub name: &'static str,
    /// Region of every zone.
    pub region: RegionId,
    /// Zones, in order.
    pub zones: Vec<ZoneId>,
    /// Model that the model engines run.
    pub model: ModelId,
    /// Adapter on top of it.
    pub adapter: AdapterId,
    /// Application that the application engines run.
    pub application: ModelId,
    /// Content of the first bundle.
    pub bundle: Bundle,
}

impl Deployment {
    /// The deployment of that name, if there is one.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "pharmacy" => Some(Self::pharmacy()),
            "kadriks" => Some(Self::kadriks()),
            _ => None,
        }
    }

    /// The joint prescription renewal platform of pharmacy chains.
    pub fn pharmacy() -> Self {
        Self::new(&DeploymentPlan {
            name: "pharmacy",
            region: "se-mitt",
            zones: ["sthlm-a", "uppsala-b", "vasteras-c"],
            model: "renewal",
            adapter: "summary",
            application: "order-application",
            tenants: &PHARMACY_TENANTS,
        })
    }

    /// The subtitle rendering division.
    pub fn kadriks() -> Self {
        Self::new(&DeploymentPlan {
            name: "kadriks",
            region: "riga",
            zones: ["ziepniekkalns", "purvciems", "imanta"],
            model: "subtitle",
            adapter: "speaker",
            application: "caption-delivery",
            tenants: &KADRIKS_TENANTS,
        })
    }

    fn new(plan: &DeploymentPlan) -> Self {
        let region = RegionId::new(plan.region);
        let zones: Vec<ZoneId> = plan.zones.into_iter().map(ZoneId::new).collect();
        let model = ModelId::new(plan.model);
        let application = ModelId::new(plan.application);
        let adapter = AdapterId::new(plan.adapter);
        let bundle = Bundle {
            label: format!("{} first", plan.name),
            fleet: fleet_rule(),
            zones: zones.iter().map(|zone| zone_rule(zone, &region)).collect(),
            models: vec![
                model_rule(&model, ModelKind::Model, Some(&adapter)),
                model_rule(&application, ModelKind::Application, None),
            ],
            tenants: plan
                .tenants
                .iter()
                .map(|tenant| tenant_rule(tenant, &model, &application))
                .collect(),
            operators: operators(plan.tenants),
        };
        Self {
            name: plan.name,
            region,
            zones,
            model,
            adapter,
            application,
            bundle,
        }
    }

    /// Bearer token of a tenant.
    pub fn tenant_token(tenant: &TenantId) -> String {
        format!("tenant-token-{tenant}")
    }

    /// Bearer token of an operator.
    pub fn operator_token(operator: &OperatorId) -> String {
        format!("operator-token-{operator}")
    }

    /// Secret signing key of an operator.
    pub fn signing_key(operator: &OperatorId) -> [u8; KEY_BYTES] {
        Sha256::digest(format!("signing key of {operator}")).into()
    }

    /// Who signs the first bundle.
    pub fn roots(&self) -> SigningAuthority {
        SigningAuthority::of_bundle(&self.bundle.operators, self.bundle.fleet.required_signatures)
    }

    /// The operators, each with every right.
    pub fn operators(&self) -> Vec<OperatorId> {
        let operators = self.bundle.operators.iter();
        operators.map(|rule| rule.operator.clone()).collect()
    }

    /// The tenants.
    pub fn tenants(&self) -> Vec<TenantId> {
        self.bundle
            .tenants
            .iter()
            .map(|rule| rule.tenant.clone())
            .collect()
    }
}

struct DeploymentPlan {
    name: &'static str,
    region: &'static str,
    zones: [&'static str; 3],
    model: &'static str,
    adapter: &'static str,
    application: &'static str,
    tenants: &'static [TenantPlan],
}

fn zone_rule(zone: &ZoneId, region: &RegionId) -> ZoneRule {
    ZoneRule {
        zone: zone.clone(),
        region: region.clone(),
    }
}

fn fleet_rule() -> FleetRule {
    FleetRule {
        classes: vec![
            class_rule(ServiceClass::Interactive, 500, 60, 10_000),
            class_rule(ServiceClass::Standard, 2_000, 120, 60_000),
            class_rule(ServiceClass::Batch, 30_000, 400, 600_000),
        ],
        ..FleetRule::default()
    }
}

fn class_rule(
    class: ServiceClass,
    first_token_millis: u64,
    between_tokens_millis: u64,
    deadline_millis: u64,
) -> ClassRule {
    ClassRule {
        class,
        target: ClassTarget {
            first_token_millis,
            between_tokens_millis,
            deadline_millis,
        },
    }
}

fn model_rule(model: &ModelId, kind: ModelKind, adapter: Option<&AdapterId>) -> ModelRule {
    let adapter_rule = |adapter: &AdapterId| AdapterRule {
        adapter: adapter.clone(),
        version: WeightVersion::new("1"),
    };
    ModelRule {
        model: model.clone(),
        version: WeightVersion::new("1"),
        kind,
        weight_bytes: WEIGHT_BYTES,
        adapters: adapter.into_iter().map(adapter_rule).collect(),
        floors: Vec::new(),
    }
}

fn operators(tenants: &[TenantPlan]) -> Vec<OperatorRule> {
    let names = ["anna", "berit"];
    names
        .map(|name| operator_rule(&OperatorId::new(name), tenants))
        .into()
}

fn operator_rule(operator: &OperatorId, tenants: &[TenantPlan]) -> OperatorRule {
    OperatorRule {
        operator: operator.clone(),
        public_key: public_key(&Deployment::signing_key(operator)),
        token_sha256: token_digest(&Deployment::operator_token(operator)),
        actions: vec![
            OperatorAction::View,
            OperatorAction::Propose,
            OperatorAction::Sign,
            OperatorAction::Rollout,
            OperatorAction::Requests,
        ],
        tenants: tenants.iter().map(|tenant| TenantId::new(tenant.name)).collect(),
    }
}

/// SHA-256 of a bearer token, in hexadecimal.
pub(super) fn token_digest(token: &str) -> String {
    Digest::of(token.as_bytes()).to_string()
}
