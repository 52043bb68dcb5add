//! One bucket of a bundle's tenants, shared by successive bundles that do not change it.

use crate::bundle::content::TenantRule;
use crate::bundle::digest::Digest;
use crate::identity::TenantId;

/// Tenants of one bucket with the digests of their tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantBucket {
    rules: Vec<TenantRule>,
    token_digests: Vec<Digest>,
}

impl TenantBucket {
    /// A bucket of tenants sorted by identifier. A digest that can't be read never matches a token.
    pub fn new(rules: Vec<TenantRule>) -> Self {
        let token_digests = rules
            .iter()
            .map(|rule| Digest::from_hex(&rule.token_sha256).unwrap_or(Digest([0; 32])))
            .collect();
        Self { rules, token_digests }
    }

    /// The tenants, sorted by identifier.
    pub fn rules(&self) -> &[TenantRule] {
        &self.rules
    }

    /// Digests of the tokens, in the order of the tenants.
    pub fn token_digests(&self) -> &[Digest] {
        &self.token_digests
    }

    /// The rule of a tenant.
    pub fn find(&self, tenant: &TenantId) -> Option<&TenantRule> {
        let position = self.rules.binary_search_by(|rule| rule.tenant.cmp(tenant)).ok()?;
        self.rules.get(position)
    }
}
