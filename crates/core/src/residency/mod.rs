//! Which zones may hold a tenant's data.

use crate::bundle::content::{TenantRule, ZoneRule};
use crate::identity::ZoneId;

/// Zones in which the tenant's requests may be served and its answers kept, sorted.
///
/// A zone that the bundle no longer lists is not among them, whatever the tenant's rule says.
pub fn allowed_zones(tenant: &TenantRule, zones: &[ZoneRule]) -> Vec<ZoneId> {
    let mut allowed: Vec<ZoneId> = zones
        .iter()
        .filter(|rule| tenant.zones.contains(&rule.zone))
        .map(|rule| rule.zone.clone())
        .collect();
    allowed.sort();
    allowed
}

/// Whether the tenant's data may be in the zone.
pub fn is_allowed(tenant: &TenantRule, zones: &[ZoneRule], zone: &ZoneId) -> bool {
    tenant.zones.contains(zone) && zones.iter().any(|rule| rule.zone == *zone)
}
