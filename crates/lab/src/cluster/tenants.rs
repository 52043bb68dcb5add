//! Tenants of the example deployments.

use super::deployment::{Deployment, token_digest};
use shelfjunction_core::bundle::content::{ModelGrant, TenantRule};
use shelfjunction_core::identity::{ModelId, TenantId, ZoneId};
use shelfjunction_core::service_class::ServiceClass;

/// Most requests a second of one tenant.
const REQUESTS_PER_SECOND: u32 = 2_000;

/// Most tokens in flight of one tenant.
const TOKENS_IN_FLIGHT: u64 = 1_000_000;

/// One tenant and where its data may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TenantPlan {
    pub(super) name: &'static str,
    zones: &'static [&'static str],
}

impl TenantPlan {
    pub(super) const fn new(name: &'static str, zones: &'static [&'static str]) -> Self {
        Self { name, zones }
    }
}

/// The rule of a tenant that may call the model freely and the application with a key.
pub(super) fn tenant_rule(plan: &TenantPlan, model: &ModelId, application: &ModelId) -> TenantRule {
    let tenant = TenantId::new(plan.name);
    TenantRule {
        token_sha256: token_digest(&Deployment::tenant_token(&tenant)),
        tenant,
        zones: plan.zones.iter().copied().map(ZoneId::new).collect(),
        models: vec![grant(model, false), grant(application, true)],
        requests_per_second: REQUESTS_PER_SECOND,
        tokens_in_flight: TOKENS_IN_FLIGHT,
        share: 1,
        rate: None,
    }
}

fn grant(model: &ModelId, key_required: bool) -> ModelGrant {
    ModelGrant {
        model: model.clone(),
        class: ServiceClass::Interactive,
        key_required,
    }
}
