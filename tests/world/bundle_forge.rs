//! Signed bundles as operators make them, and forgeries.

use super::bundles::{ZONES, zone_id};
use shelfjunction_core::bundle::acceptance::ProposalRow;
use shelfjunction_core::bundle::content::{
    Bundle, ModelGrant, ModelKind, ModelRule, OperatorAction, OperatorRule, TenantRule, ZoneRule,
};
use shelfjunction_core::bundle::signature::{
    ProposalId, SignedBundle, SigningAuthority, SigningOperator, Statement, public_key, sign,
};
use shelfjunction_core::bundle::{Digest, Head, manifest};
use shelfjunction_core::identity::{Generation, ModelId, OperatorId, RegionId, TenantId, WeightVersion};
use shelfjunction_core::service_class::ServiceClass;

/// How long a node may go without a confirmation, in milliseconds.
pub const ISOLATION_LIMIT_MILLIS: u64 = 5_000;

/// Secret key of the operators, and of an intruder.
const OPERATORS_SECRET: [u8; 32] = [1; 32];
const INTRUDERS_SECRET: [u8; 32] = [9; 32];

/// A proposal with everything that must be stored for it.
pub struct Proposal {
    /// The proposal, signed.
    pub row: ProposalRow,
    /// Who rolls it out.
    pub operator: OperatorId,
    /// Contents by name.
    pub contents: Vec<(String, Vec<u8>)>,
}

/// The keys that nodes start with; `trusting` adds the intruder's.
pub fn roots(trusting: bool) -> SigningAuthority {
    let key = |name: &str, secret: &[u8; 32]| SigningOperator {
        operator: OperatorId::new(name),
        public_key: public_key(secret),
    };
    let mut operators = vec![key("operator", &OPERATORS_SECRET)];
    if trusting {
        operators.push(key("intruder", &INTRUDERS_SECRET));
    }
    operators.sort();
    SigningAuthority {
        required_signatures: 1,
        operators,
    }
}

/// What an operator proposes for a place in the history, under the bundle that last changed who signs.
pub fn signed_proposal(rollout: usize, generation: Generation, authority: Option<Digest>) -> Proposal {
    let label = format!("{generation} by rollout {rollout}");
    let (mut statement, contents) = statement(&label, generation, &format!("rollout{rollout}"));
    statement.authority = authority.filter(|_| generation > Generation(1));
    let signature = sign(&OPERATORS_SECRET, OperatorId::new("operator"), &statement);
    Proposal {
        row: ProposalRow {
            statement,
            label,
            proposed_by: OperatorId::new("operator"),
            rollback_of: None,
            signatures: vec![signature],
        },
        operator: OperatorId::new("operator"),
        contents,
    }
}

/// A bundle for a place in the history that only the intruder signed.
pub fn forged(generation: u64) -> (Head, Vec<Vec<u8>>) {
    let generation = Generation(generation);
    let (statement, contents) = statement("forged", generation, "forged");
    let signature = sign(&INTRUDERS_SECRET, OperatorId::new("intruder"), &statement);
    let signed = SignedBundle {
        statement,
        signatures: vec![signature],
    };
    let mut bytes: Vec<Vec<u8>> = vec![signed.to_bytes()];
    bytes.extend(contents.into_iter().map(|(_, bytes)| bytes));
    (
        Head {
            generation,
            digest: signed.digest(),
        },
        bytes,
    )
}

fn statement(label: &str, generation: Generation, unguessable: &str) -> (Statement, Vec<(String, Vec<u8>)>) {
    let packed = manifest::pack(&bundle(label));
    let contents = packed
        .contents
        .iter()
        .map(|content| (content.digest.to_hex(), content.bytes.clone()));
    let statement = Statement {
        generation,
        manifest: packed.manifest_digest(),
        proposal: ProposalId::new(generation, unguessable),
        authority: None,
    };
    (statement, contents.collect())
}

fn bundle(label: &str) -> Bundle {
    let mut bundle = Bundle {
        label: label.to_owned(),
        zones: (0..ZONES)
            .map(|zone| ZoneRule {
                zone: zone_id(zone),
                region: RegionId::new("region"),
            })
            .collect(),
        models: vec![ModelRule {
            model: ModelId::new("renewals"),
            version: WeightVersion::new("1"),
            kind: ModelKind::Model,
            weight_bytes: 1_000,
            adapters: Vec::new(),
            floors: Vec::new(),
        }],
        tenants: vec![TenantRule {
            tenant: TenantId::new("chain-a"),
            token_sha256: Digest::of(b"token").to_hex(),
            zones: vec![zone_id(0)],
            models: vec![ModelGrant {
                model: ModelId::new("renewals"),
                class: ServiceClass::Interactive,
                key_required: false,
            }],
            requests_per_second: 10,
            tokens_in_flight: 10_000,
            share: 1,
            rate: None,
        }],
        operators: vec![OperatorRule {
            operator: OperatorId::new("operator"),
            public_key: public_key(&OPERATORS_SECRET),
            token_sha256: Digest::of(b"operator token").to_hex(),
            actions: vec![
                OperatorAction::View,
                OperatorAction::Propose,
                OperatorAction::Sign,
            ],
            tenants: Vec::new(),
        }],
        ..Bundle::default()
    };
    bundle.fleet.isolation_limit_millis = ISOLATION_LIMIT_MILLIS;
    bundle
}
