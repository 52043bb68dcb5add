//! What a node grants of tenants' rates in place of an owner that does not answer.
//!
//! The platform lets a tenant have some units beyond its rate in a window. A deputy grants from these while others still take the
//! silent owner for alive; what the owner itself could have granted meanwhile is lost, so that the total stays below rate and burst
//! in nearly all cases, and never exceeds them by more than the reserve of a deputy. A deputy that reaches only a part of the nodes
//! has that part of the reserve ([`super::rate_contacts::RateContacts::reserve_part`]).

use crate::admission::bucket::RateBucket;
use crate::membership::subject::SubjectHandle;
use crate::setting::FieldError;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settings of tenants' rates.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TenantRateSettings {
    /// Units beyond its rate and burst that a tenant may have in a window, by deputies of an owner that does not answer. Without any,
    /// the tenant's requests are refused until another node owns its bucket.
    pub reserve_units: f64,
    /// Length of the window, in seconds.
    pub window_seconds: f64,
}

impl Default for TenantRateSettings {
    fn default() -> Self {
        Self {
            reserve_units: 0.0,
            window_seconds: 8.0,
        }
    }
}

impl TenantRateSettings {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut check = |field: &str, holds: bool, value: f64, allowed: &str| {
            if !holds {
                errors.push(FieldError {
                    field: format!("tenant_rates.{field}"),
                    value: value.to_string(),
                    allowed: allowed.to_owned(),
                });
            }
        };
        let reserve = self.reserve_units;
        check(
            "reserve_units",
            reserve.is_finite() && reserve >= 0.0,
            reserve,
            "0 or more",
        );
        let window = self.window_seconds;
        check(
            "window_seconds",
            window.is_finite() && window > 0.0,
            window,
            "above 0 seconds",
        );
        errors
    }
}

/// Part of the reserve that is there at once; the rest comes back over a window, so that no window has more than the reserve.
const IMMEDIATE_PART: f64 = 0.8;

/// The reserves that one node has granted from.
#[derive(Clone, Debug, Default)]
pub struct TenantRateReserves {
    buckets: BTreeMap<SubjectHandle, RateBucket>,
}

impl TenantRateReserves {
    /// Charges a tenant's reserve with a request; whether it had enough. `part` is the part of the reserve that this node may grant.
    pub fn charge(
        &mut self,
        tenant: SubjectHandle,
        cost: u32,
        part: f64,
        settings: &TenantRateSettings,
        now: MonotonicTime,
    ) -> bool {
        let capacity = settings.reserve_units * IMMEDIATE_PART;
        let rate = settings.reserve_units * (1.0 - IMMEDIATE_PART) / settings.window_seconds;
        let bucket = self
            .buckets
            .entry(tenant)
            .or_insert_with(|| RateBucket::full(capacity, now));
        let cost = f64::from(cost);
        // What the other nodes may grant stays in the bucket.
        let withheld = capacity * (1.0 - part.clamp(0.0, 1.0));
        bucket.charge(cost, cost + withheld, rate, capacity, now).is_ok()
    }
}
