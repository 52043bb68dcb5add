//! Puts a signed bundle into force through the platform, as operators at their shells would.

use super::deployment::Deployment;
use shelfjunction_core::bundle::acceptance::{self, CURRENT_KEY, CurrentRow, ProposalRow, Verdict};
use shelfjunction_core::bundle::content::Bundle;
use shelfjunction_core::bundle::manifest::{Content, pack};
use shelfjunction_core::bundle::signature::{ProposalId, Statement, sign};
use shelfjunction_core::bundle::{BundleKeeper, Digest, HeadSource};
use shelfjunction_core::identity::{Generation, OperatorId, ZoneId};
use shelfjunction_core::table::{PlatformError, RowKey};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::services::{ObjectStore, TableService};

/// Why a bundle did not come into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// The platform gave no answer that can be relied on.
    Platform(PlatformError),
    /// A row is not what the acceptance of bundles writes.
    UnreadableRow(RowKey),
    /// The object store lacks a content of the current bundle.
    MissingContent(Digest),
    /// The current bundle does not follow from the root keys.
    CurrentRefused,
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
    publish(platform, deployment, &deployment.bundle, &operator)
}

/// Signs a bundle by one operator and makes it current in the next place.
pub fn publish<P>(
    platform: &P,
    deployment: &Deployment,
    bundle: &Bundle,
    operator: &OperatorId,
) -> Result<CurrentRow, PublishError>
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
    let packed = pack(bundle);
    let statement = Statement {
        generation: Generation(current.as_ref().map_or(0, |row| row.generation.0) + 1),
        manifest: packed.manifest_digest(),
        proposal: ProposalId(format!("proposal-of-{operator}")),
        authority: match &current {
            Some(current) => authority_after(platform, deployment, current)?,
            None => None,
        },
    };
    let proposal = signed_proposal(bundle, statement, operator);
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

/// The signed bundle that decides who may sign after the current one.
fn authority_after<P>(
    platform: &P,
    deployment: &Deployment,
    current: &CurrentRow,
) -> Result<Option<Digest>, PublishError>
where
    P: TableService + ObjectStore,
{
    let zone = deployment
        .zones
        .first()
        .cloned()
        .unwrap_or_else(|| ZoneId::new("none"));
    let mut keeper = BundleKeeper::new(deployment.roots(), zone);
    keeper.on_head(Some(current.head()), &HeadSource::Store, MonotonicTime::default());
    loop {
        let wanted = keeper.wanted();
        if wanted.is_empty() {
            break;
        }
        let mut contents = Vec::new();
        for digest in wanted {
            let content = platform.get(&digest.to_hex())?;
            contents.push(content.ok_or(PublishError::MissingContent(digest))?);
        }
        keeper.on_contents(contents);
    }
    let in_force = keeper.in_force().ok_or(PublishError::CurrentRefused)?;
    Ok(in_force.next.authority)
}

fn signed_proposal(bundle: &Bundle, statement: Statement, operator: &OperatorId) -> ProposalRow {
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
