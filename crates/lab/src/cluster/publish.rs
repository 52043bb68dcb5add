//! Puts a signed bundle into force through the platform, as operators at their shells would.

use super::deployment::Deployment;
use shelfjunction_core::bundle::Digest;
use shelfjunction_core::bundle::acceptance::{self, CURRENT_KEY, CurrentRow, ProposalRow, Verdict};
use shelfjunction_core::bundle::content::Bundle;
use shelfjunction_core::bundle::manifest::{Content, pack};
use shelfjunction_core::bundle::signature::{ProposalId, SignedBundle, Statement, sign};
use shelfjunction_core::identity::{Generation, OperatorId};
use shelfjunction_core::table::{PlatformError, RowKey};
use shelfjunction_platform::services::{ObjectStore, TableService};

/// Why a bundle did not come into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// The platform gave no answer that can be relied on.
    Platform(PlatformError),
    /// A row is not what the acceptance of bundles writes.
    UnreadableRow(RowKey),
    /// Another bundle took the place.
    Superseded(CurrentRow),
}

impl From<PlatformError> for PublishError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// Signs the first bundle of a deployment by its first operator and makes it current.
pub fn publish_first<P>(platform: &P, deployment: &Deployment) -> Result<CurrentRow, PublishError>
where
    P: TableService + ObjectStore,
{
    let operator = deployment.bundle.operators.first();
    let operator = operator
        .map(|rule| rule.operator.clone())
        .unwrap_or_else(|| OperatorId::new("nobody"));
    publish(platform, &deployment.bundle, &operator)
}

/// Signs a bundle by one operator and makes it current in the next place.
pub fn publish<P>(platform: &P, bundle: &Bundle, operator: &OperatorId) -> Result<CurrentRow, PublishError>
where
    P: TableService + ObjectStore,
{
    let current_key = RowKey(CURRENT_KEY.to_owned());
    let row = platform.read(&current_key)?;
    let current = match &row {
        None => None,
        Some(row) => {
            let current: Option<CurrentRow> = acceptance::parse(row);
            Some(current.ok_or(PublishError::UnreadableRow(current_key))?)
        }
    };
    let generation = Generation(current.as_ref().map_or(0, |row| row.generation.0) + 1);
    let authority = match &current {
        None => None,
        Some(current) => Some(authority_after(platform, current)?),
    };
    let packed = pack(bundle);
    let proposal = signed_proposal(bundle, packed.manifest_digest(), generation, authority, operator);
    let acceptance = acceptance::plan(&proposal, operator, row.map(|row| row.version));
    for content in &packed.contents {
        store(platform, content)?;
    }
    store(platform, &Content::new(acceptance.signed.to_bytes()))?;
    let outcome = platform.transact(&acceptance.transaction)?;
    match acceptance::settle_answer(&acceptance.accepted, &outcome) {
        Verdict::Accepted(row) => Ok(row),
        Verdict::Superseded { winner } => Err(PublishError::Superseded(winner)),
        Verdict::Open => Err(PublishError::UnreadableRow(RowKey(CURRENT_KEY.to_owned()))),
    }
}

/// The authority over the next bundle; every bundle published here is signed by the same operators as the first.
fn authority_after<P: ObjectStore>(platform: &P, current: &CurrentRow) -> Result<Digest, PublishError> {
    let bytes = platform.get(&current.signed.to_hex())?;
    let signed: Option<SignedBundle> = bytes.and_then(|bytes| serde_json::from_slice(&bytes).ok());
    let signed = signed.ok_or_else(|| PublishError::UnreadableRow(RowKey(CURRENT_KEY.to_owned())))?;
    Ok(signed.statement.authority.unwrap_or(current.signed))
}

fn signed_proposal(
    bundle: &Bundle,
    manifest: Digest,
    generation: Generation,
    authority: Option<Digest>,
    operator: &OperatorId,
) -> ProposalRow {
    let statement = Statement {
        generation,
        manifest,
        proposal: ProposalId(format!("proposal-{generation}-{operator}")),
        authority,
    };
    let signature = sign(&Deployment::signing_key(operator), operator.clone(), &statement);
    ProposalRow {
        statement,
        label: bundle.label.clone(),
        proposed_by: operator.clone(),
        rollback_of: None,
        signatures: vec![signature],
    }
}

fn store(objects: &impl ObjectStore, content: &Content) -> Result<(), PlatformError> {
    objects.put(&content.digest.to_string(), &content.bytes)
}
