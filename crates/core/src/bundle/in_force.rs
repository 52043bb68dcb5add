//! A checked bundle, put together from parts that successive bundles share.

use super::content::{Bundle, FleetRule, ModelRule, OperatorRule, TenantRule, ZoneRule};
use super::digest::Digest;
use super::manifest::Manifest;
use super::signature::{SignedBundle, SigningAuthority};
use crate::identity::{Generation, ModelId, TenantId, ZoneId};
use crate::tenancy::TenantBucket;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Place in the history and digest of the signed bundle there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Place in the history.
    pub generation: Generation,
    /// Digest of the [`SignedBundle`].
    pub digest: Digest,
}

/// One earlier signed bundle that changed who may sign, with what proves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityLink {
    /// Digest of the signed bundle.
    pub signed: Digest,
    /// Digest of its manifest.
    pub manifest: Digest,
    /// Digest of its part with the fleet's rules.
    pub fleet: Digest,
    /// Digest of its part with the operators.
    pub operators: Digest,
}

impl AuthorityLink {
    /// Digests of every content that proves the link.
    pub fn contents(&self) -> [Digest; 4] {
        [self.signed, self.manifest, self.fleet, self.operators]
    }
}

/// Who signs the bundle after the one in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NextAuthority {
    /// What the next statement must name as its authority.
    pub authority: Option<Digest>,
    /// Whose signatures count.
    pub signers: SigningAuthority,
    /// Every change of authority from the root keys on, oldest first.
    pub chain: Vec<AuthorityLink>,
}

/// The bundle in force: digest, signatures and content are checked.
#[derive(Clone, Debug)]
pub struct BundleInForce {
    /// Place in the history and digest.
    pub head: Head,
    /// What was signed, and by whom.
    pub signed: SignedBundle,
    /// The parts.
    pub manifest: Manifest,
    /// Rules of the whole fleet.
    pub fleet: Arc<FleetRule>,
    /// Zones, sorted.
    pub zones: Arc<Vec<ZoneRule>>,
    /// Models, sorted.
    pub models: Arc<Vec<ModelRule>>,
    /// Operators, sorted.
    pub operators: Arc<Vec<OperatorRule>>,
    /// Tenants by bucket.
    pub tenants: Vec<Arc<TenantBucket>>,
    /// Who signs the next bundle.
    pub next: NextAuthority,
}

impl BundleInForce {
    /// Place in the history.
    pub fn generation(&self) -> Generation {
        self.head.generation
    }

    /// The rule of a model.
    pub fn model(&self, model: &ModelId) -> Option<&ModelRule> {
        self.models.iter().find(|rule| rule.model == *model)
    }

    /// Whether the zone exists.
    pub fn has_zone(&self, zone: &ZoneId) -> bool {
        self.zones.iter().any(|rule| rule.zone == *zone)
    }

    /// Number of tenants.
    pub fn tenant_count(&self) -> usize {
        self.tenants.iter().map(|bucket| bucket.rules().len()).sum()
    }

    /// The bundle as one value, in canonical order.
    pub fn to_bundle(&self) -> Bundle {
        let mut tenants: Vec<_> = self
            .tenants
            .iter()
            .flat_map(|bucket| bucket.rules().iter().cloned())
            .collect();
        tenants.sort_by(|left, right| left.tenant.cmp(&right.tenant));
        Bundle {
            label: self.manifest.label.clone(),
            fleet: (*self.fleet).clone(),
            zones: (*self.zones).clone(),
            models: (*self.models).clone(),
            tenants,
            operators: (*self.operators).clone(),
        }
    }

    /// Digests of every content that a process needs to take this bundle in with nothing but the root keys.
    pub fn contents(&self) -> impl Iterator<Item = Digest> + '_ {
        [self.head.digest, self.signed.statement.manifest]
            .into_iter()
            .chain(self.manifest.parts())
            .chain(self.next.chain.iter().flat_map(AuthorityLink::contents))
    }

    /// Whether the tenant exists.
    pub fn has_tenant(&self, tenant: &TenantId) -> bool {
        self.tenant(tenant).is_some()
    }

    /// The rule of a tenant.
    pub fn tenant(&self, tenant: &TenantId) -> Option<&TenantRule> {
        let bucket = super::manifest::tenant_bucket(tenant, self.tenants.len());
        self.tenants.get(bucket)?.find(tenant)
    }
}
