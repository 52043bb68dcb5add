//! A whole configuration of forwarded requests, with its checks.

use super::route::RouteRule;
use crate::autoscaling::PoolScaling;
use crate::setting::FieldError;
use crate::tenancy::ApiTenants;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// Name of a pool of engines that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PoolId(pub String);

impl fmt::Display for PoolId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// What the engines of a pool that run models have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelTraits {
    /// Requests that an engine runs at once.
    pub places: u32,
    /// Tokens whose KV cache fits into an engine's memory.
    pub cache_tokens: u64,
    /// Time that an engine keeps a KV cache that waits to be handed over.
    pub transfer_lifetime: Duration,
    /// Seconds that moving the KV cache of one token between two engines takes; absent where they can't.
    pub move_seconds: Option<f64>,
    /// Time that a change of role takes an engine out of service.
    pub role_change: Duration,
}

/// One pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolConfig {
    /// Name.
    pub id: PoolId,
    /// Most connections that one engine takes from all nodes together.
    pub connection_limit: u32,
    /// Present where the engines run models.
    pub model: Option<ModelTraits>,
    /// Present where the platform starts and stops engines at a price.
    pub scaling: Option<PoolScaling>,
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time from a head's first byte to its last.
    pub head_time: Duration,
    /// Longest rest of a connection between two requests.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration of forwarded requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardingConfig {
    /// Rises with every change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Pools.
    pub pools: Vec<PoolConfig>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Tenants; absent where callers need no key.
    pub tenants: Option<ApiTenants>,
}

impl ForwardingConfig {
    /// The route of a request: of those of its host the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.routes
            .iter()
            .filter(|route| route.takes(host, path))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// A pool by name.
    pub fn pool(&self, id: &PoolId) -> Option<&PoolConfig> {
        self.pools.iter().find(|pool| pool.id == *id)
    }

    /// Whether any tenant has a rate over all nodes.
    pub fn has_tenant_rates(&self) -> bool {
        self.tenants.as_ref().is_some_and(ApiTenants::has_rates)
    }

    /// Every fault; a configuration with one is not taken.
    pub fn validate(&self) -> Vec<FieldError> {
        let known: BTreeSet<&PoolId> = self.pools.iter().map(|pool| &pool.id).collect();
        let mut names = BTreeSet::new();
        let mut errors = self.tenants.as_ref().map_or_else(Vec::new, ApiTenants::validate);
        for route in &self.routes {
            let field = |name: &str| format!("routes.{}.{name}", route.id);
            if !names.insert(&route.id) {
                errors.push(fault(field("name"), &route.id, "a name that no other route has"));
            }
            if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
                errors.push(fault(
                    field("path_prefix"),
                    &route.path_prefix,
                    "a path that begins and ends with a slash",
                ));
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                errors.push(fault(
                    field("shares"),
                    route.shares.len(),
                    "one pool with a weight or more",
                ));
            }
            for share in route.shares.iter().filter(|share| !known.contains(&share.pool)) {
                errors.push(fault(field("shares.pool"), &share.pool, "the name of a pool"));
            }
            if route.timeout.is_zero() {
                errors.push(fault(field("timeout"), "0", "a time above 0"));
            }
        }
        errors
    }
}

fn fault(field: String, value: impl fmt::Display, allowed: &str) -> FieldError {
    FieldError {
        field,
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}
