//! Rows and contents of bundles, read from and written to the platform.

use super::context::AdminContext;
use super::errors;
use serde::Serialize;
use serde::de::DeserializeOwned;
use shelfjunction_core::bundle::acceptance::{self, CURRENT_KEY, CurrentRow, HistoryRow, ProposalRow};
use shelfjunction_core::bundle::content::Bundle;
use shelfjunction_core::bundle::digest::Digest;
use shelfjunction_core::bundle::manifest::{Manifest, PackedBundle, Part};
use shelfjunction_core::bundle::signature::ProposalId;
use shelfjunction_core::bundle::{BundleInForce, canonical};
use shelfjunction_core::identity::Generation;
use shelfjunction_core::table::{Check, RowKey, RowVersion, Transaction, TransactionOutcome, Write};
use shelfjunction_protocol::operator::{AdminError, AdminErrorCode};
use std::collections::BTreeSet;

/// A row's value with its version.
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Version of the row.
    pub version: RowVersion,
}

fn read<T: DeserializeOwned>(
    context: &dyn AdminContext,
    key: &RowKey,
) -> Result<Option<Versioned<T>>, AdminError> {
    let row = context
        .table()
        .read(key)
        .map_err(|cause| errors::platform(&cause))?;
    let Some(row) = row else {
        return Ok(None);
    };
    let value = acceptance::parse(&row).ok_or_else(|| {
        errors::error(
            AdminErrorCode::PlatformUnavailable,
            format!("row {} is malformed", key.0),
        )
    })?;
    Ok(Some(Versioned {
        value,
        version: row.version,
    }))
}

/// The current row.
pub fn read_current(context: &dyn AdminContext) -> Result<Option<Versioned<CurrentRow>>, AdminError> {
    read(context, &RowKey(CURRENT_KEY.to_owned()))
}

/// The history row of a generation.
pub fn read_history(
    context: &dyn AdminContext,
    generation: Generation,
) -> Result<Option<HistoryRow>, AdminError> {
    let row = read(context, &acceptance::history_key(generation))?;
    Ok(row.map(|row: Versioned<HistoryRow>| row.value))
}

/// The row of a proposal.
pub fn read_proposal(
    context: &dyn AdminContext,
    proposal: &ProposalId,
) -> Result<Option<Versioned<ProposalRow>>, AdminError> {
    read(context, &acceptance::proposal_key(proposal))
}

/// Every row under a prefix; rows that can't be read are left out.
pub fn scan<T: DeserializeOwned>(context: &dyn AdminContext, prefix: &str) -> Result<Vec<T>, AdminError> {
    let rows = context
        .table()
        .scan(prefix)
        .map_err(|cause| errors::platform(&cause))?;
    Ok(rows.iter().filter_map(acceptance::parse).collect())
}

/// Writes a proposal's row; true unless another write came between.
///
/// A lost answer is settled by reading the row back.
pub fn write_proposal(
    context: &dyn AdminContext,
    proposal: &ProposalRow,
    expected: Option<RowVersion>,
) -> Result<bool, AdminError> {
    let key = acceptance::proposal_key(&proposal.statement.proposal);
    let transaction = Transaction {
        checks: vec![Check {
            key: key.clone(),
            expected,
        }],
        writes: vec![Write {
            key,
            value: to_json(proposal),
        }],
    };
    match context.table().transact(&transaction) {
        Ok(TransactionOutcome::Committed { .. }) => Ok(true),
        Ok(TransactionOutcome::Conflict { .. }) => Ok(false),
        Err(cause) => {
            let stored =
                read_proposal(context, &proposal.statement.proposal).map_err(|_| errors::unsettled())?;
            match stored {
                Some(stored) if stored.value == *proposal => Ok(true),
                _ => Err(errors::platform(&cause)),
            }
        }
    }
}

/// Deletes proposals for generations that are taken; a failure only leaves them for the next time.
pub fn delete_stale_proposals(context: &dyn AdminContext, in_force: Generation) {
    let Ok(proposals) = scan::<ProposalRow>(context, acceptance::PROPOSAL_PREFIX) else {
        return;
    };
    let writes: Vec<Write> = proposals
        .iter()
        .filter(|proposal| proposal.statement.generation <= in_force)
        .map(|proposal| Write {
            key: acceptance::proposal_key(&proposal.statement.proposal),
            value: None,
        })
        .collect();
    if writes.is_empty() {
        return;
    }
    let transaction = Transaction {
        checks: Vec::new(),
        writes,
    };
    if let Err(cause) = context.table().transact(&transaction) {
        log::warn!(cause:? = cause; "stale_proposals_kept");
    }
}

/// Stores the contents that the bundle in force does not have already.
pub fn store_contents(
    context: &dyn AdminContext,
    packed: &PackedBundle,
    in_force: Option<&BundleInForce>,
) -> Result<(), AdminError> {
    let stored: BTreeSet<Digest> = in_force.into_iter().flat_map(BundleInForce::contents).collect();
    for content in &packed.contents {
        if !stored.contains(&content.digest) {
            store_content(context, content.digest, &content.bytes)?;
        }
    }
    Ok(())
}

/// Stores one content; storing it twice changes nothing, so any failure may simply be repeated.
pub fn store_content(context: &dyn AdminContext, digest: Digest, bytes: &[u8]) -> Result<(), AdminError> {
    context
        .objects()
        .put(&digest.to_hex(), bytes)
        .map_err(|cause| errors::platform(&cause))
}

/// Puts an earlier bundle together from the object store.
pub fn load_bundle(context: &dyn AdminContext, manifest: Digest) -> Result<Bundle, AdminError> {
    let manifest: Manifest = load(context, manifest)?;
    let mut bundle = Bundle {
        label: manifest.label.clone(),
        ..Bundle::default()
    };
    for digest in manifest.parts() {
        match load::<Part>(context, digest)? {
            Part::Fleet(rule) => bundle.fleet = rule,
            Part::Zones(rules) => bundle.zones = rules,
            Part::Models(rules) => bundle.models = rules,
            Part::Operators(rules) => bundle.operators = rules,
            Part::Tenants(rules) => bundle.tenants.extend(rules),
        }
    }
    Ok(canonical::sorted(bundle))
}

fn load<T: DeserializeOwned>(context: &dyn AdminContext, digest: Digest) -> Result<T, AdminError> {
    let bytes = context
        .objects()
        .get(&digest.to_hex())
        .map_err(|cause| errors::platform(&cause))?
        .filter(|bytes| Digest::of(bytes) == digest);
    bytes
        .and_then(|bytes| serde_json::from_slice(&bytes).ok())
        .ok_or_else(|| {
            errors::error(
                AdminErrorCode::NotFound,
                format!("content {digest} is not in the object store"),
            )
        })
}

fn to_json<T: Serialize>(value: &T) -> Option<String> {
    serde_json::to_string(value).ok()
}
