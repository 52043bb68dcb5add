//! From a candidate's head to the contents still missing, and from those to a checked bundle.
//!
//! A bundle names the signed bundle that last changed who may sign. Following those names backwards leads to the
//! authority that the process trusts already: that of its bundle in force, or the root keys for a process that holds
//! none. The length is the number of changes to the signers, not of bundles.

use super::contents::ContentStore;
use super::digest::Digest;
use super::error::BundleError;
use super::in_force::{AuthorityLink, BundleInForce, Head, NextAuthority};
use super::manifest::{MANIFEST_FORMAT, MAXIMUM_TENANT_BUCKETS, Manifest, Part};
use super::signature::{FIRST_GENERATION, SignedBundle, SigningAuthority};

/// A candidate with everything at hand that proves its signatures.
pub struct Lineage {
    /// The candidate.
    pub signed: SignedBundle,
    /// Its manifest.
    pub manifest: Manifest,
    /// Changes of authority between the trusted one and the candidate, oldest first, each with its signed bundle.
    links: Vec<(SignedBundle, AuthorityLink)>,
}

/// What a look at a candidate gives.
pub enum Progress {
    /// Contents that must be fetched first.
    Missing(Vec<Digest>),
    /// Everything is at hand.
    Ready(Box<Lineage>),
}

/// What a process trusts before it looks at a candidate.
pub struct Anchor<'a> {
    /// The bundle in force, if any.
    pub in_force: Option<&'a BundleInForce>,
    /// The root keys.
    pub roots: &'a SigningAuthority,
}

impl Anchor<'_> {
    fn authority(&self) -> Option<Digest> {
        self.in_force.and_then(|bundle| bundle.next.authority)
    }

    fn signers(&self) -> &SigningAuthority {
        match self.in_force {
            Some(bundle) => &bundle.next.signers,
            None => self.roots,
        }
    }

    fn chain(&self) -> &[AuthorityLink] {
        self.in_force.map_or(&[], |bundle| &bundle.next.chain)
    }
}

/// Looks at what is at hand for a candidate.
pub fn trace(head: Head, anchor: &Anchor<'_>, contents: &ContentStore) -> Result<Progress, BundleError> {
    let Some(signed) = contents.parse::<SignedBundle>(head.digest)? else {
        return Ok(Progress::Missing(vec![head.digest]));
    };
    if signed.statement.generation != head.generation {
        return Err(BundleError::WrongGeneration {
            offered: head.generation,
            signed: signed.statement.generation,
        });
    }
    require_root_for_first(&signed)?;
    let mut missing = Vec::new();
    let links = trace_links(&signed, anchor, contents, &mut missing)?;
    let manifest = read_manifest(signed.statement.manifest, contents, &mut missing)?;
    if let Some(manifest) = &manifest {
        missing.extend(manifest.parts().filter(|part| !contents.holds(*part)));
    }
    match manifest {
        Some(manifest) if missing.is_empty() => Ok(Progress::Ready(Box::new(Lineage {
            signed,
            manifest,
            links,
        }))),
        _ => Ok(Progress::Missing(missing)),
    }
}

fn trace_links(
    signed: &SignedBundle,
    anchor: &Anchor<'_>,
    contents: &ContentStore,
    missing: &mut Vec<Digest>,
) -> Result<Vec<(SignedBundle, AuthorityLink)>, BundleError> {
    let mut links = Vec::new();
    let mut below = signed.statement.generation;
    let mut cursor = signed.statement.authority;
    while cursor != anchor.authority() {
        let digest = cursor.ok_or(BundleError::WrongAuthority)?;
        let Some(link) = contents.parse::<SignedBundle>(digest)? else {
            missing.push(digest);
            break;
        };
        // Falling generations end the walk; one at or below the bundle in force that is not the anchor means that the
        // signers were replaced since.
        let floor = anchor.in_force.map(BundleInForce::generation).unwrap_or_default();
        require_root_for_first(&link)?;
        let generation = link.statement.generation;
        if generation >= below || generation <= floor {
            return Err(BundleError::WrongAuthority);
        }
        below = generation;
        cursor = link.statement.authority;
        if let Some(manifest) = read_manifest(link.statement.manifest, contents, missing)? {
            let parts = [manifest.fleet, manifest.operators];
            missing.extend(parts.into_iter().filter(|part| !contents.holds(*part)));
            let proof = AuthorityLink {
                signed: digest,
                manifest: link.statement.manifest,
                fleet: manifest.fleet,
                operators: manifest.operators,
            };
            links.push((link, proof));
        }
    }
    links.reverse();
    Ok(links)
}

/// The root keys sign the first bundle and nothing after it.
fn require_root_for_first(signed: &SignedBundle) -> Result<(), BundleError> {
    let is_first = signed.statement.generation == FIRST_GENERATION;
    if is_first == signed.statement.authority.is_none() {
        Ok(())
    } else {
        Err(BundleError::WrongAuthority)
    }
}

fn read_manifest(
    digest: Digest,
    contents: &ContentStore,
    missing: &mut Vec<Digest>,
) -> Result<Option<Manifest>, BundleError> {
    let Some(manifest) = contents.parse::<Manifest>(digest)? else {
        missing.push(digest);
        return Ok(None);
    };
    let buckets = manifest.tenant_buckets.len();
    if manifest.format != MANIFEST_FORMAT || buckets == 0 || buckets > MAXIMUM_TENANT_BUCKETS {
        return Err(BundleError::Malformed { content: digest });
    }
    Ok(Some(manifest))
}

/// Checks every signature from the trusted authority to the candidate and gives the authority that signed it.
pub fn verify(
    lineage: &Lineage,
    anchor: &Anchor<'_>,
    contents: &ContentStore,
) -> Result<NextAuthority, BundleError> {
    let mut signers = anchor.signers().clone();
    let mut chain = anchor.chain().to_vec();
    for (link, proof) in &lineage.links {
        signers.verify(link).map_err(BundleError::Signatures)?;
        signers = authority_of(proof.fleet, proof.operators, contents)?;
        chain.push(*proof);
    }
    signers.verify(&lineage.signed).map_err(BundleError::Signatures)?;
    Ok(NextAuthority {
        authority: lineage.signed.statement.authority,
        signers,
        chain,
    })
}

/// The authority over the bundle after `lineage`'s, given the one that signed it.
pub fn next_authority(
    lineage: &Lineage,
    head: Head,
    signed_by: NextAuthority,
    contents: &ContentStore,
) -> Result<NextAuthority, BundleError> {
    let own = authority_of(lineage.manifest.fleet, lineage.manifest.operators, contents)?;
    // The first bundle ends the root keys' authority also where it names the same keys: nodes may hold different files.
    if own == signed_by.signers && signed_by.authority.is_some() {
        return Ok(signed_by);
    }
    let mut chain = signed_by.chain;
    chain.push(AuthorityLink {
        signed: head.digest,
        manifest: lineage.signed.statement.manifest,
        fleet: lineage.manifest.fleet,
        operators: lineage.manifest.operators,
    });
    Ok(NextAuthority {
        authority: Some(head.digest),
        signers: own,
        chain,
    })
}

fn authority_of(
    fleet: Digest,
    operators: Digest,
    contents: &ContentStore,
) -> Result<SigningAuthority, BundleError> {
    match (contents.part(fleet)?, contents.part(operators)?) {
        (Part::Fleet(rule), Part::Operators(rules)) => {
            Ok(SigningAuthority::of_bundle(&rules, rule.required_signatures))
        }
        _ => Err(BundleError::Malformed { content: operators }),
    }
}

/// Every content that a look at the candidate reads, as far as it is at hand.
pub fn reachable(head: Head, contents: &ContentStore) -> Vec<Digest> {
    let mut found = Vec::new();
    let mut cursor = Some(head.digest);
    while let Some(digest) = cursor {
        found.push(digest);
        let Ok(Some(signed)) = contents.parse::<SignedBundle>(digest) else {
            break;
        };
        found.push(signed.statement.manifest);
        if let Ok(Some(manifest)) = contents.parse::<Manifest>(signed.statement.manifest) {
            found.extend(manifest.parts());
        }
        cursor = signed.statement.authority;
    }
    found
}
