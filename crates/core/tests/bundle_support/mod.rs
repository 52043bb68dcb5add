//! Bundles, operators and a platform's history for the tests of bundles.
#![allow(dead_code)]

use shelfjunction_core::bundle::content::{
    Bundle, ModelGrant, ModelKind, ModelRule, OperatorAction, OperatorRule, TenantRule, ZoneRule,
};
use shelfjunction_core::bundle::digest::Digest;
use shelfjunction_core::bundle::manifest;
use shelfjunction_core::bundle::signature::{
    self, ProposalId, SignedBundle, SigningAuthority, SigningOperator, Statement,
};
use shelfjunction_core::bundle::{BundleKeeper, Head, HeadSource};
use shelfjunction_core::identity::{
    Generation, ModelId, OperatorId, RegionId, TenantId, WeightVersion, ZoneId,
};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Secret key of an operator, by number.
pub fn secret(operator: u8) -> [u8; 32] {
    [operator + 1; 32]
}

pub fn operator_name(operator: u8) -> OperatorId {
    OperatorId::new(format!("operator-{operator}"))
}

pub fn roots() -> SigningAuthority {
    SigningAuthority {
        required_signatures: 1,
        operators: vec![SigningOperator {
            operator: operator_name(0),
            public_key: signature::public_key(&secret(0)),
        }],
    }
}

pub fn token(tenant: &str) -> String {
    format!("token of {tenant}")
}

pub fn tenant(name: &str, share: u32) -> TenantRule {
    TenantRule {
        tenant: TenantId::new(name),
        token_sha256: Digest::of(token(name).as_bytes()).to_hex(),
        zones: vec![ZoneId::new(ZONES[0]), ZoneId::new(ZONES[1])],
        models: vec![ModelGrant {
            model: ModelId::new("renewal"),
            class: ServiceClass::Interactive,
            key_required: false,
        }],
        requests_per_second: 10,
        tokens_in_flight: 10_000,
        share,
        rate: None,
    }
}

pub fn operator_rule(operator: u8) -> OperatorRule {
    OperatorRule {
        operator: operator_name(operator),
        public_key: signature::public_key(&secret(operator)),
        token_sha256: Digest::of(format!("operator token {operator}").as_bytes()).to_hex(),
        actions: vec![
            OperatorAction::View,
            OperatorAction::Propose,
            OperatorAction::Sign,
        ],
        tenants: Vec::new(),
    }
}

/// A valid bundle with these tenants, signed for by these operators.
pub fn bundle(label: &str, tenants: usize, signers: &[u8], required: u32) -> Bundle {
    let mut bundle = Bundle {
        label: label.to_owned(),
        zones: ZONES
            .iter()
            .map(|zone| ZoneRule {
                zone: ZoneId::new(*zone),
                region: RegionId::new("region"),
            })
            .collect(),
        models: vec![ModelRule {
            model: ModelId::new("renewal"),
            version: WeightVersion::new("1"),
            kind: ModelKind::Model,
            weight_bytes: 1_000,
            adapters: Vec::new(),
            floors: Vec::new(),
        }],
        tenants: (0..tenants)
            .map(|number| tenant(&format!("tenant-{number:05}"), 1))
            .collect(),
        operators: signers.iter().map(|operator| operator_rule(*operator)).collect(),
        ..Bundle::default()
    };
    bundle.fleet.required_signatures = required;
    bundle
}

/// A bundle that the platform accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    pub head: Head,
    pub bundle: Bundle,
    pub signers: Vec<u8>,
    pub required: u32,
    /// What the next statement names as its authority.
    pub next_authority: Option<Digest>,
}

/// What the platform holds: the history and every content.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    pub history: Vec<Accepted>,
    pub contents: BTreeMap<Digest, Vec<u8>>,
}

impl Platform {
    /// Stores a bundle signed by `signing` for a place and under an authority, without accepting it.
    pub fn sign(
        &mut self,
        bundle: &Bundle,
        generation: u64,
        authority: Option<Digest>,
        signing: &[u8],
    ) -> Head {
        let packed = manifest::pack(bundle);
        for content in &packed.contents {
            self.contents.insert(content.digest, content.bytes.clone());
        }
        let generation = Generation(generation);
        let statement = Statement {
            generation,
            manifest: packed.manifest_digest(),
            proposal: ProposalId::new(generation, "proposal"),
            authority,
        };
        let signatures = signing
            .iter()
            .map(|operator| signature::sign(&secret(*operator), operator_name(*operator), &statement))
            .collect();
        let signed = SignedBundle {
            statement,
            signatures,
        };
        self.contents.insert(signed.digest(), signed.to_bytes());
        Head {
            generation,
            digest: signed.digest(),
        }
    }

    /// Accepts the next bundle, signed by as many operators of the bundle in force as it takes.
    pub fn accept(&mut self, bundle: Bundle, signers: Vec<u8>, required: u32) -> Head {
        let (signing, authority) = self.next_signers();
        let generation = self.history.len() as u64 + 1;
        let head = self.sign(&bundle, generation, authority, &signing);
        // The first bundle ends the root keys' authority, also where it names the same keys.
        let changed = self
            .history
            .last()
            .is_none_or(|last| (&last.signers, last.required) != (&signers, required));
        self.history.push(Accepted {
            head,
            bundle,
            signers,
            required,
            next_authority: if changed { Some(head.digest) } else { authority },
        });
        head
    }

    /// Just enough operators to sign the next bundle, and the authority that it names.
    pub fn next_signers(&self) -> (Vec<u8>, Option<Digest>) {
        match self.history.last() {
            None => (vec![0], None),
            Some(last) => (
                last.signers[..last.required as usize].to_vec(),
                last.next_authority,
            ),
        }
    }

    /// The latest head.
    pub fn head(&self) -> Option<Head> {
        self.history.last().map(|accepted| accepted.head)
    }
}

/// A keeper of the first zone that holds what the platform has.
pub fn keeper_with(platform: &Platform) -> BundleKeeper {
    let mut keeper = BundleKeeper::new(roots(), ZoneId::new(ZONES[0]));
    keeper.on_head(platform.head(), &HeadSource::Store, MonotonicTime::default());
    while !keeper.wanted().is_empty() {
        let contents: Vec<Vec<u8>> = keeper
            .wanted()
            .iter()
            .map(|digest| platform.contents[digest].clone())
            .collect();
        keeper.on_contents(contents);
    }
    assert_eq!(keeper.head(), platform.head());
    keeper
}
