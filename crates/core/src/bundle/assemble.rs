//! Puts a bundle together from parts, parsing and checking only those that the last bundle did not have.

use super::chain::Lineage;
use super::contents::ContentStore;
use super::digest::Digest;
use super::error::BundleError;
use super::in_force::{BundleInForce, Head, NextAuthority};
use super::manifest::{Part, tenant_bucket};
use super::validate::{self, Faults, References};
use crate::setting::FieldError;
use crate::tenancy::TenantBucket;
use std::collections::HashSet;
use std::sync::Arc;

/// Builds and checks the bundle that `lineage` proves.
pub fn assemble(
    head: Head,
    lineage: Lineage,
    next: NextAuthority,
    previous: Option<&BundleInForce>,
    contents: &ContentStore,
) -> Result<BundleInForce, BundleError> {
    let manifest = &lineage.manifest;
    let Part::Fleet(fleet) = contents.part(manifest.fleet)? else {
        return Err(malformed(manifest.fleet));
    };
    let Part::Zones(zones) = contents.part(manifest.zones)? else {
        return Err(malformed(manifest.zones));
    };
    let Part::Models(models) = contents.part(manifest.models)? else {
        return Err(malformed(manifest.models));
    };
    let Part::Operators(operators) = contents.part(manifest.operators)? else {
        return Err(malformed(manifest.operators));
    };
    let mut bundle = BundleInForce {
        head,
        fleet: Arc::new(fleet),
        zones: Arc::new(zones),
        models: Arc::new(models),
        operators: Arc::new(operators),
        tenants: Vec::new(),
        manifest: lineage.manifest,
        signed: lineage.signed,
        next,
    };
    let mut faults = Faults::default();
    validate::check_fleet(&bundle.fleet, &bundle.operators, &mut faults);
    validate::check_zones(&bundle.zones, &mut faults);
    validate::check_models(&bundle.models, &mut faults);
    validate::check_operators(&bundle.operators, &mut faults);
    add_tenants(&mut bundle, previous, contents, &mut faults)?;
    if faults.found.is_empty() {
        Ok(bundle)
    } else {
        Err(BundleError::Invalid(faults.found))
    }
}

fn malformed(content: Digest) -> BundleError {
    BundleError::Malformed { content }
}

fn add_tenants(
    bundle: &mut BundleInForce,
    previous: Option<&BundleInForce>,
    contents: &ContentStore,
    faults: &mut Faults,
) -> Result<(), BundleError> {
    let reusable = previous.filter(|previous| previous.tenants.len() == bundle.manifest.tenant_buckets.len());
    let same_references = previous.is_some_and(|previous| {
        previous.manifest.zones == bundle.manifest.zones && previous.manifest.models == bundle.manifest.models
    });
    let references = References::new(&bundle.zones, &bundle.models);
    let mut tenants = Vec::with_capacity(bundle.manifest.tenant_buckets.len());
    let mut fresh = Vec::new();
    for (index, digest) in bundle.manifest.tenant_buckets.iter().enumerate() {
        let kept = reusable
            .filter(|previous| previous.manifest.tenant_buckets[index] == *digest)
            .map(|previous| previous.tenants[index].clone());
        let bucket = match kept {
            Some(bucket) if same_references => bucket,
            Some(bucket) => {
                validate::check_tenants(bucket.rules(), &references, faults);
                bucket
            }
            None => {
                let bucket = Arc::new(parse_bucket(bundle, index, *digest, contents)?);
                validate::check_tenants(bucket.rules(), &references, faults);
                fresh.push(index);
                bucket
            }
        };
        tenants.push(bucket);
    }
    check_tokens(&tenants, &fresh, faults);
    bundle.tenants = tenants;
    Ok(())
}

fn parse_bucket(
    bundle: &BundleInForce,
    index: usize,
    digest: Digest,
    contents: &ContentStore,
) -> Result<TenantBucket, BundleError> {
    let Part::Tenants(rules) = contents.part(digest)? else {
        return Err(malformed(digest));
    };
    let buckets = bundle.manifest.tenant_buckets.len();
    let misplaced = |rule: &crate::bundle::content::TenantRule| tenant_bucket(&rule.tenant, buckets) != index;
    if rules.iter().any(misplaced) {
        return Err(BundleError::MisplacedTenant);
    }
    let sorted = rules.is_sorted_by(|left, right| left.tenant < right.tenant);
    if !sorted {
        return Err(malformed(digest));
    }
    Ok(TenantBucket::new(rules))
}

/// A token that two tenants share would let one act as the other; only fresh buckets can bring one in.
fn check_tokens(tenants: &[Arc<TenantBucket>], fresh: &[usize], faults: &mut Faults) {
    if fresh.is_empty() {
        return;
    }
    let added: HashSet<Digest> = fresh
        .iter()
        .flat_map(|index| tenants[*index].token_digests())
        .copied()
        .collect();
    let total: usize = fresh.iter().map(|index| tenants[*index].rules().len()).sum();
    let kept = tenants
        .iter()
        .enumerate()
        .filter(|(index, _)| !fresh.contains(index))
        .flat_map(|(_, bucket)| bucket.token_digests());
    let shared = added.len() < total || kept.into_iter().any(|digest| added.contains(digest));
    if shared {
        faults.found.push(FieldError {
            field: "tenants.token_sha256".to_owned(),
            value: "(not shown)".to_owned(),
            allowed: "a token that no other tenant has".to_owned(),
        });
    }
}
