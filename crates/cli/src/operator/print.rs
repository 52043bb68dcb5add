//! Prints answers as tables or as JSON; here those about bundles.

use super::table;
use crate::exit::CommandError;
use serde::Serialize;
use shelfjunction_core::bundle::acceptance::{HistoryRow, ProposalRow};
use shelfjunction_protocol::operator::{HistoryReply, ProposalReply, ProposalsReply, RolloutReply};

/// Stands where there is no value.
pub(super) const NONE: &str = "-";

/// Hexadecimal digits of a digest that a table shows.
const SHORT_DIGEST: usize = 12;

/// Prints JSON when asked to, else the text.
pub fn print<T: Serialize>(
    value: &T,
    as_json: bool,
    text: impl FnOnce(&T) -> String,
) -> Result<(), CommandError> {
    if as_json {
        let json = serde_json::to_string_pretty(value)
            .map_err(|cause| CommandError::Failed(format!("the answer can't be written: {cause}")))?;
        println!("{json}");
    } else {
        print!("{}", text(value));
    }
    Ok(())
}

/// A proposal and what it needs.
pub fn proposal(reply: &ProposalReply) -> String {
    let row = &reply.proposal;
    let signed = operators(row);
    format!(
        "proposal    {}\ngeneration  {}\nlabel       {}\nmanifest    {}\nsignatures  {} of {} {}\n",
        row.statement.proposal,
        row.statement.generation,
        row.label,
        row.statement.manifest,
        row.signatures.len(),
        reply.authority.required_signatures,
        signed
    )
}

/// An accepted bundle.
pub fn rollout(reply: &RolloutReply) -> String {
    let accepted = &reply.accepted;
    format!(
        "generation {} accepted: bundle {}, proposal {}, by {}\n",
        accepted.generation, accepted.signed, accepted.proposal, accepted.operator
    )
}

/// The history.
pub fn history(reply: &HistoryReply) -> String {
    let rows: Vec<Vec<String>> = reply.entries.iter().map(history_line).collect();
    table::render(
        &[
            "GENERATION",
            "LABEL",
            "BUNDLE",
            "PROPOSED BY",
            "SIGNED BY",
            "ROLLED OUT BY",
            "REPEATS",
        ],
        &rows,
    )
}

fn history_line(entry: &HistoryRow) -> Vec<String> {
    let signers: Vec<&str> = entry.signed_by.iter().map(|operator| operator.as_str()).collect();
    vec![
        entry.accepted.generation.to_string(),
        entry.label.clone(),
        short(&entry.accepted.signed.to_hex()),
        entry.proposed_by.to_string(),
        signers.join(","),
        entry.accepted.operator.to_string(),
        or_none(entry.rollback_of),
    ]
}

/// Proposals that wait.
pub fn proposals(reply: &ProposalsReply) -> String {
    let rows: Vec<Vec<String>> = reply
        .proposals
        .iter()
        .map(|row| {
            vec![
                row.statement.proposal.to_string(),
                row.label.clone(),
                row.proposed_by.to_string(),
                operators(row),
                or_none(row.rollback_of),
            ]
        })
        .collect();
    table::render(
        &["PROPOSAL", "LABEL", "PROPOSED BY", "SIGNED BY", "REPEATS"],
        &rows,
    )
}

fn operators(row: &ProposalRow) -> String {
    let names: Vec<&str> = row.signatures.iter().map(|one| one.operator.as_str()).collect();
    if names.is_empty() {
        NONE.to_owned()
    } else {
        names.join(",")
    }
}

/// The value, or what stands for none.
pub(super) fn or_none(value: Option<impl ToString>) -> String {
    value.map_or(NONE.to_owned(), |value| value.to_string())
}

fn short(text: &str) -> String {
    text.chars().take(SHORT_DIGEST).collect()
}
