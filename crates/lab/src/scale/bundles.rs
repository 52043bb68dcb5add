//! The bundle of a large fleet, and one change to it.

use super::plan::{ZONES, region_id, zone_id};
use crate::cluster::deployment::Deployment;
use shelfjunction_core::bundle::content::{Bundle, ModelGrant, TenantRule, ZoneRule};
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::service_class::ServiceClass;

/// Models in steady use.
const MODELS: usize = 9;

/// A bundle of the fleet's zones, nine models and many tenants, signed like the pharmacy's.
pub fn large_bundle(deployment: &Deployment, tenants: usize) -> Bundle {
    let mut bundle = deployment.bundle.clone();
    bundle.zones = (0..ZONES.len())
        .map(|zone| ZoneRule {
            zone: zone_id(zone),
            region: region_id(zone),
        })
        .collect();
    let Some(model) = bundle.models.first().cloned() else {
        return bundle;
    };
    bundle.models = (0..MODELS)
        .map(|number| {
            let mut rule = model.clone();
            rule.model.0 = format!("model-{number}");
            rule
        })
        .collect();
    bundle.tenants = (0..tenants).map(|number| tenant(number, &bundle)).collect();
    bundle
        .operators
        .iter_mut()
        .for_each(|operator| operator.tenants.clear());
    bundle
}

/// The same bundle with one tenant's limit changed.
pub fn changed_bundle(bundle: &Bundle, change: usize) -> Bundle {
    let mut changed = bundle.clone();
    let position = change % changed.tenants.len().max(1);
    if let Some(tenant) = changed.tenants.get_mut(position) {
        tenant.requests_per_second += 1;
    }
    changed.label = format!("change {change}");
    changed
}

fn tenant(number: usize, bundle: &Bundle) -> TenantRule {
    let tenant = TenantId::new(format!("tenant-{number:05}"));
    let models = bundle.models.iter().skip(number % MODELS).take(2);
    TenantRule {
        token_sha256: format!("{number:064x}"),
        tenant,
        zones: (0..3)
            .map(|offset| zone_id((number + offset) % ZONES.len()))
            .collect(),
        models: models
            .map(|rule| ModelGrant {
                model: rule.model.clone(),
                class: ServiceClass::Standard,
                key_required: false,
            })
            .collect(),
        requests_per_second: 10,
        tokens_in_flight: 100_000,
        share: 1,
        rate: None,
    }
}
