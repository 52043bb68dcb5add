//! Acceptance: one compare-and-set that gives a proposal the next place in the history.
//!
//! The current row and the history row are written in one transaction that checks the version of the current row, so
//! of two operators who race exactly one wins. An answer that is lost is settled by reading the history row of the
//! generation and comparing the proposal.

use super::digest::Digest;
use super::in_force::Head;
use super::signature::{OperatorSignature, ProposalId, SignedBundle, Statement};
use crate::identity::{Generation, OperatorId};
use crate::table::{Check, Row, RowKey, RowVersion, Transaction, TransactionOutcome, Write};
use serde::{Deserialize, Serialize};

/// Key of the row that names the current bundle.
pub const CURRENT_KEY: &str = "bundle/current";

/// Prefix of the rows of the history.
pub const HISTORY_PREFIX: &str = "bundle/history/";

/// Prefix of the rows of proposals.
pub const PROPOSAL_PREFIX: &str = "proposal/";

/// Generations whose history rows are kept; at 2,000 changes a day half a day to roll back to.
pub const HISTORY_KEPT: u64 = 1_000;

/// The current bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CurrentRow {
    /// Place in the history.
    pub generation: Generation,
    /// Digest of the signed bundle.
    pub signed: Digest,
    /// The proposal that brought it in.
    pub proposal: ProposalId,
    /// Who rolled it out.
    pub operator: OperatorId,
}

impl CurrentRow {
    /// Place and digest.
    pub fn head(&self) -> Head {
        Head {
            generation: self.generation,
            digest: self.signed,
        }
    }
}

/// One accepted bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryRow {
    /// What became current.
    pub accepted: CurrentRow,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// The bundle's label.
    pub label: String,
    /// Who proposed it.
    pub proposed_by: OperatorId,
    /// Whose signatures it carries.
    pub signed_by: Vec<OperatorId>,
    /// Generation whose content it repeats, when it is a roll-back.
    pub rollback_of: Option<Generation>,
}

/// A proposal that waits for signatures or for its rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposalRow {
    /// What is to be signed.
    pub statement: Statement,
    /// The bundle's label.
    pub label: String,
    /// Who proposed it.
    pub proposed_by: OperatorId,
    /// Generation whose content it repeats, when it is a roll-back.
    pub rollback_of: Option<Generation>,
    /// Signatures so far, sorted by operator.
    pub signatures: Vec<OperatorSignature>,
}

impl ProposalRow {
    /// Adds a signature, in place of an earlier one by the same operator.
    pub fn add_signature(&mut self, signature: OperatorSignature) {
        self.signatures
            .retain(|known| known.operator != signature.operator);
        self.signatures.push(signature);
        self.signatures
            .sort_by(|left, right| left.operator.cmp(&right.operator));
    }

    /// The statement with its signatures.
    pub fn signed(&self) -> SignedBundle {
        SignedBundle {
            statement: self.statement.clone(),
            signatures: self.signatures.clone(),
        }
    }
}

/// A transaction to carry out, and what it brings in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acceptance {
    /// The bytes under `accepted.signed`, to be stored before the transaction.
    pub signed: SignedBundle,
    /// What becomes current.
    pub accepted: CurrentRow,
    /// The compare-and-set.
    pub transaction: Transaction,
}

/// What is known about a proposal's acceptance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in the history.
    Accepted(CurrentRow),
    /// Another took its place.
    Superseded {
        /// The winner.
        winner: CurrentRow,
    },
    /// It is not in the history and its place is free or not yet reached.
    Open,
}

/// Key of the history row of a generation; zero-padded so that rows sort by generation.
pub fn history_key(generation: Generation) -> RowKey {
    RowKey(format!("{HISTORY_PREFIX}{:012}", generation.0))
}

/// Key of the row of a proposal.
pub fn proposal_key(proposal: &ProposalId) -> RowKey {
    RowKey(format!("{PROPOSAL_PREFIX}{}", proposal.0))
}

/// Reads a row's value; absent when it is not what this module writes.
pub fn parse<T: for<'de> Deserialize<'de>>(row: &Row) -> Option<T> {
    serde_json::from_str(&row.value).ok()
}

/// Plans the acceptance of a proposal on top of the current row.
///
/// `current_version` is the version of the current row as read; absent on an empty platform.
pub fn plan(
    proposal: &ProposalRow,
    operator: &OperatorId,
    current_version: Option<RowVersion>,
) -> Acceptance {
    let signed = proposal.signed();
    let statement = &proposal.statement;
    let accepted = CurrentRow {
        generation: statement.generation,
        signed: signed.digest(),
        proposal: statement.proposal.clone(),
        operator: operator.clone(),
    };
    let history = HistoryRow {
        accepted: accepted.clone(),
        manifest: statement.manifest,
        label: proposal.label.clone(),
        proposed_by: proposal.proposed_by.clone(),
        signed_by: signed.signatures.iter().map(|one| one.operator.clone()).collect(),
        rollback_of: proposal.rollback_of,
    };
    let mut writes = vec![
        write(RowKey(CURRENT_KEY.to_owned()), &accepted),
        write(history_key(statement.generation), &history),
        delete(proposal_key(&statement.proposal)),
    ];
    if let Some(expired) = statement.generation.0.checked_sub(HISTORY_KEPT) {
        writes.push(delete(history_key(Generation(expired))));
    }
    let transaction = Transaction {
        checks: vec![Check {
            key: RowKey(CURRENT_KEY.to_owned()),
            expected: current_version,
        }],
        writes,
    };
    Acceptance {
        signed,
        accepted,
        transaction,
    }
}

/// Whether a statement is for the place right after the current row.
pub fn fits(statement: &Statement, current: Option<&CurrentRow>) -> bool {
    let generation = current.map(|row| row.generation.0).unwrap_or_default();
    statement.generation.0 == generation + 1
}

/// Reads the answer of the compare-and-set; [`Verdict::Open`] means that the rows must be read again.
pub fn settle_answer(accepted: &CurrentRow, outcome: &TransactionOutcome) -> Verdict {
    match outcome {
        TransactionOutcome::Committed { .. } => Verdict::Accepted(accepted.clone()),
        TransactionOutcome::Conflict { found, .. } => {
            let current = found.as_ref().and_then(parse::<CurrentRow>);
            settle_current(&accepted.proposal, accepted.generation, current.as_ref(), None)
        }
    }
}

/// Settles a proposal by the current row and, once that has gone further, the history row of its generation.
pub fn settle_current(
    proposal: &ProposalId,
    generation: Generation,
    current: Option<&CurrentRow>,
    history: Option<&HistoryRow>,
) -> Verdict {
    let at_place = history
        .map(|row| &row.accepted)
        .into_iter()
        .chain(current)
        .find(|row| row.generation == generation);
    match (at_place, current) {
        (Some(row), _) if row.proposal == *proposal => Verdict::Accepted(row.clone()),
        (Some(row), _) => Verdict::Superseded { winner: row.clone() },
        // The place is taken, by whom only the history row could say.
        (None, Some(row)) if row.generation > generation && history.is_some() => {
            Verdict::Superseded { winner: row.clone() }
        }
        _ => Verdict::Open,
    }
}

fn write<T: Serialize>(key: RowKey, value: &T) -> Write {
    Write {
        key,
        value: serde_json::to_string(value).ok(),
    }
}

fn delete(key: RowKey) -> Write {
    Write { key, value: None }
}
