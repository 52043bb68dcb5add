//! From a bearer token to a tenant or an operator, in a time that does not depend on which one it is.

use super::TenantBucket;
use super::key_table::position_of;
use crate::bundle::BundleInForce;
use crate::bundle::content::{OperatorAction, OperatorRule, TenantRule};
use crate::bundle::digest::Digest;
use crate::bundle::manifest::tenant_bucket;
use crate::identity::{Generation, TenantId};
use std::sync::Arc;

/// The tenants of the bundle in force.
#[derive(Clone, Debug)]
pub struct TenantDirectory {
    generation: Generation,
    buckets: Vec<Arc<TenantBucket>>,
}

impl TenantDirectory {
    /// The directory of a bundle; shares the bundle's memory.
    pub fn new(bundle: &BundleInForce) -> Self {
        Self {
            generation: bundle.generation(),
            buckets: bundle.tenants.clone(),
        }
    }

    /// Generation of the bundle.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The tenant with this bearer token. Compares the token's digest with every tenant's, whichever matches.
    pub fn authenticate(&self, token: &str) -> Option<&TenantRule> {
        let digests = self
            .buckets
            .iter()
            .flat_map(|bucket| bucket.token_digests().iter().copied());
        let position = position_of(token, digests)?;
        self.buckets
            .iter()
            .flat_map(|bucket| bucket.rules())
            .nth(position)
    }

    /// The rule of a tenant.
    pub fn tenant(&self, tenant: &TenantId) -> Option<&TenantRule> {
        let bucket = tenant_bucket(tenant, self.buckets.len());
        self.buckets.get(bucket)?.find(tenant)
    }

    /// Every tenant, by bucket.
    pub fn tenants(&self) -> impl Iterator<Item = &TenantRule> {
        self.buckets.iter().flat_map(|bucket| bucket.rules())
    }
}

/// The operators of the bundle in force.
#[derive(Clone, Debug)]
pub struct OperatorDirectory {
    operators: Arc<Vec<OperatorRule>>,
    token_digests: Vec<Digest>,
}

impl OperatorDirectory {
    /// The directory of a bundle.
    pub fn new(bundle: &BundleInForce) -> Self {
        let token_digests = bundle
            .operators
            .iter()
            .map(|rule| Digest::from_hex(&rule.token_sha256).unwrap_or(Digest([0; 32])))
            .collect();
        Self {
            operators: bundle.operators.clone(),
            token_digests,
        }
    }

    /// The operator with this bearer token.
    pub fn authenticate(&self, token: &str) -> Option<&OperatorRule> {
        let digests = self.token_digests.iter().copied();
        let position = position_of(token, digests)?;
        self.operators.get(position)
    }
}

/// Whether an operator may do this.
pub fn may(rule: &OperatorRule, action: OperatorAction) -> bool {
    rule.actions.contains(&action)
}

/// Whether an operator may see a tenant.
pub fn sees(rule: &OperatorRule, tenant: &TenantId) -> bool {
    rule.tenants.contains(tenant)
}
