//! Which tenant a forwarded request belongs to, by the API key that its caller sent.

use super::key_table::position_of;
use super::rate::TenantRate;
use crate::bundle::digest::Digest;
use crate::identity::TenantId;
use crate::membership::subject::SubjectHandle;
use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A caller's API key; never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

impl ApiKey {
    /// Wraps what the caller sent.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The digest that a configuration keeps in its place.
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(not shown)")
    }
}

/// One tenant of a forwarding configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiTenant {
    /// Name.
    pub tenant: TenantId,
    /// SHA-256 of each of its API keys: nodes hand configurations to each other, and must not hand on keys.
    pub key_digests: Vec<Digest>,
    /// Rank of its requests, in place of the route's; zero goes first.
    pub priority: Option<u8>,
    /// Rate at which its requests may run; absent if there is no limit. Format 1 of what nodes hand to each other has no room for
    /// it.
    #[serde(skip)]
    pub rate: Option<TenantRate>,
}

/// The tenants of one version of a forwarding configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiTenants(pub Vec<ApiTenant>);

/// Why a request is not served for want of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessRefusal {
    /// It brought no key.
    NoKey,
    /// No tenant has its key now.
    KeyNotKnown,
}

impl AccessRefusal {
    /// Word for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::KeyNotKnown => "key_not_known",
        }
    }
}

impl ApiTenants {
    /// The rates of those tenants that have one.
    pub fn rates(&self) -> Vec<(TenantId, TenantRate)> {
        let rates = self
            .0
            .iter()
            .filter_map(|tenant| Some((tenant.tenant.clone(), tenant.rate?)));
        rates.collect()
    }

    /// Whether any tenant has a rate.
    pub fn has_rates(&self) -> bool {
        self.0.iter().any(|tenant| tenant.rate.is_some())
    }

    /// The rate of the tenant with this handle, if it has one.
    pub fn rate_of(&self, tenant: SubjectHandle) -> Option<TenantRate> {
        let handle = |tenant: &ApiTenant| SubjectHandle::of_text("tenant", tenant.tenant.as_str());
        self.0.iter().find(|other| handle(other) == tenant)?.rate
    }

    /// Sets the rates of tenants, and no rate for all others.
    pub fn set_rates(&mut self, rates: &[(TenantId, TenantRate)]) {
        let rates: BTreeMap<&TenantId, TenantRate> = rates.iter().map(|(name, rate)| (name, *rate)).collect();
        for tenant in &mut self.0 {
            tenant.rate = rates.get(&tenant.tenant).copied();
        }
    }

    /// The tenant whose request this is; none for one without a known key on a route that lets `anonymous` callers in.
    pub fn admit(&self, key: Option<&ApiKey>, anonymous: bool) -> Result<Option<&ApiTenant>, AccessRefusal> {
        let found = key.and_then(|key| self.find(key));
        if found.is_some() || anonymous {
            return Ok(found);
        }
        Err(match key {
            Some(_) => AccessRefusal::KeyNotKnown,
            None => AccessRefusal::NoKey,
        })
    }

    /// The tenant with this key. Compares the key's digest with every tenant's, whichever matches.
    fn find(&self, key: &ApiKey) -> Option<&ApiTenant> {
        let position = position_of(&key.0, self.digests().map(|(digest, _)| digest))?;
        self.digests().nth(position).map(|(_, tenant)| tenant)
    }

    fn digests(&self) -> impl Iterator<Item = (Digest, &ApiTenant)> {
        self.0
            .iter()
            .flat_map(|tenant| tenant.key_digests.iter().map(move |digest| (*digest, tenant)))
    }

    /// Every fault; a key of two tenants would let one see the other's answers.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut names = BTreeSet::new();
        let mut owners: BTreeMap<Digest, &TenantId> = BTreeMap::new();
        for tenant in &self.0 {
            let name = &tenant.tenant;
            if name.as_str().is_empty() || !names.insert(name) {
                errors.push(fault(name, "name", "a name that no other tenant has"));
            }
            for digest in &tenant.key_digests {
                if owners.insert(*digest, name).is_some_and(|owner| owner != name) {
                    errors.push(fault(name, "keys", "keys that no other tenant has"));
                }
            }
        }
        errors
    }
}

fn fault(tenant: &TenantId, field: &str, allowed: &str) -> FieldError {
    FieldError {
        field: format!("tenants.{tenant}.{field}"),
        value: tenant.as_str().to_owned(),
        allowed: allowed.to_owned(),
    }
}
