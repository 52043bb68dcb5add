//! A bundle as a list of content-named parts, so that a change travels as the parts it touches.

use super::canonical;
use super::content::{Bundle, FleetRule, ModelRule, OperatorRule, TenantRule, ZoneRule};
use super::digest::Digest;
use crate::identity::TenantId;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Format number written into each manifest; a reader refuses any other.
pub const MANIFEST_FORMAT: u32 = 1;

/// Tenants that a bucket holds at most on average.
///
/// A change of one tenant sends one bucket and the manifest; the measured sum is flat near this value for 4,800
/// tenants (docs/decisions/bundles.md).
pub const TENANTS_PER_BUCKET: usize = 64;

/// Most tenant buckets that a manifest may name.
pub const MAXIMUM_TENANT_BUCKETS: usize = 4_096;

/// The parts of one bundle, each named by its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// [`MANIFEST_FORMAT`].
    pub format: u32,
    /// The bundle's label.
    pub label: String,
    /// Part with the rules of the whole fleet.
    pub fleet: Digest,
    /// Part with the zones.
    pub zones: Digest,
    /// Part with the models.
    pub models: Digest,
    /// Part with the operators.
    pub operators: Digest,
    /// Parts with the tenants, by bucket; a tenant belongs to the bucket that [`tenant_bucket`] gives.
    pub tenant_buckets: Vec<Digest>,
}

impl Manifest {
    /// Digests of every part, in the manifest's order.
    pub fn parts(&self) -> impl Iterator<Item = Digest> + '_ {
        [self.fleet, self.zones, self.models, self.operators]
            .into_iter()
            .chain(self.tenant_buckets.iter().copied())
    }

    /// The manifest's canonical bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        canonical::to_bytes(self)
    }
}

/// Content of one part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Part {
    /// Rules of the whole fleet.
    Fleet(FleetRule),
    /// Zones, sorted.
    Zones(Vec<ZoneRule>),
    /// Models, sorted.
    Models(Vec<ModelRule>),
    /// Operators, sorted.
    Operators(Vec<OperatorRule>),
    /// Tenants of one bucket, sorted.
    Tenants(Vec<TenantRule>),
}

/// A manifest with the bytes of everything it names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedBundle {
    /// The manifest.
    pub manifest: Manifest,
    /// Canonical bytes of the manifest and of each part, with their digests; equal parts appear once.
    pub contents: Vec<Content>,
}

impl PackedBundle {
    /// Digest of the manifest.
    pub fn manifest_digest(&self) -> Digest {
        Digest::of(&self.manifest.to_bytes())
    }
}

/// Bytes with their digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    /// SHA-256 of the bytes.
    pub digest: Digest,
    /// The bytes.
    pub bytes: Vec<u8>,
}

impl Content {
    /// Names the bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self {
            digest: Digest::of(&bytes),
            bytes,
        }
    }
}

/// Number of buckets for that many tenants: a power of two, so that it changes seldom.
pub fn bucket_count(tenants: usize) -> usize {
    let wanted = tenants.div_ceil(TENANTS_PER_BUCKET).max(1);
    wanted.next_power_of_two().min(MAXIMUM_TENANT_BUCKETS)
}

/// Bucket of a tenant among `buckets`; depends on nothing else, so other tenants' changes move nobody.
pub fn tenant_bucket(tenant: &TenantId, buckets: usize) -> usize {
    let digest = Sha256::digest(tenant.as_str().as_bytes());
    let prefix = u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]);
    prefix as usize % buckets.max(1)
}

/// Splits a bundle into its canonical parts and their manifest.
pub fn pack(bundle: &Bundle) -> PackedBundle {
    pack_into(bundle, bucket_count(bundle.tenants.len()))
}

/// Splits a bundle as [`pack`] does, with a given number of tenant buckets; for measuring other sizes.
pub fn pack_into(bundle: &Bundle, bucket_count: usize) -> PackedBundle {
    let bundle = canonical::sorted(bundle.clone());
    let buckets = split_tenants(bundle.tenants, bucket_count.max(1));
    let mut contents = Vec::new();
    let mut add = |part: Part| push_content(&mut contents, canonical::to_bytes(&part));
    let fleet = add(Part::Fleet(bundle.fleet));
    let zones = add(Part::Zones(bundle.zones));
    let models = add(Part::Models(bundle.models));
    let operators = add(Part::Operators(bundle.operators));
    let tenant_buckets = buckets
        .into_iter()
        .map(|tenants| add(Part::Tenants(tenants)))
        .collect();
    let manifest = Manifest {
        format: MANIFEST_FORMAT,
        label: bundle.label,
        fleet,
        zones,
        models,
        operators,
        tenant_buckets,
    };
    push_content(&mut contents, manifest.to_bytes());
    PackedBundle { manifest, contents }
}

fn split_tenants(tenants: Vec<TenantRule>, count: usize) -> Vec<Vec<TenantRule>> {
    let mut buckets = vec![Vec::new(); count];
    for rule in tenants {
        buckets[tenant_bucket(&rule.tenant, count)].push(rule);
    }
    buckets
}

fn push_content(contents: &mut Vec<Content>, bytes: Vec<u8>) -> Digest {
    let content = Content::new(bytes);
    let digest = content.digest;
    if !contents.iter().any(|known| known.digest == digest) {
        contents.push(content);
    }
    digest
}
