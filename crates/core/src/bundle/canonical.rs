//! The one byte form of each value: lists sorted by identifier, then JSON with the fields in declared order.

use super::content::{Bundle, ModelRule, OperatorRule, TenantRule, ZoneRule};
use serde::Serialize;

/// Canonical bytes of a value whose lists are sorted already.
///
/// The types of this module hold no maps, so `serde_json` writes the same bytes for equal values.
pub fn to_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Canonical bytes of a whole bundle, independent of the order of its lists.
pub fn bundle_bytes(bundle: &Bundle) -> Vec<u8> {
    to_bytes(&sorted(bundle.clone()))
}

/// The bundle with every list in canonical order.
pub fn sorted(mut bundle: Bundle) -> Bundle {
    bundle.fleet.classes.sort_by_key(|rule| rule.class);
    sort_zones(&mut bundle.zones);
    sort_models(&mut bundle.models);
    sort_tenants(&mut bundle.tenants);
    sort_operators(&mut bundle.operators);
    bundle
}

fn sort_zones(zones: &mut [ZoneRule]) {
    zones.sort_by(|left, right| left.zone.cmp(&right.zone));
}

fn sort_models(models: &mut [ModelRule]) {
    models.sort_by(|left, right| left.model.cmp(&right.model));
    for rule in models {
        rule.adapters
            .sort_by(|left, right| left.adapter.cmp(&right.adapter));
        rule.floors.sort_by_key(|floor| floor.role);
    }
}

fn sort_tenants(tenants: &mut [TenantRule]) {
    tenants.sort_by(|left, right| left.tenant.cmp(&right.tenant));
    for rule in tenants {
        rule.zones.sort();
        rule.models.sort_by(|left, right| left.model.cmp(&right.model));
    }
}

fn sort_operators(operators: &mut [OperatorRule]) {
    operators.sort_by(|left, right| left.operator.cmp(&right.operator));
    for rule in operators {
        rule.actions.sort();
        rule.tenants.sort();
    }
}
