//! Proposing, signing and proposing to roll back.

use super::access::Access;
use super::context::AdminContext;
use super::{errors, storage};
use shelfjunction_core::bundle::acceptance::ProposalRow;
use shelfjunction_core::bundle::content::OperatorAction;
use shelfjunction_core::bundle::digest::Digest;
use shelfjunction_core::bundle::manifest;
use shelfjunction_core::bundle::signature::{OperatorSignature, ProposalId, Statement};
use shelfjunction_core::bundle::validate;
use shelfjunction_core::identity::Generation;
use shelfjunction_protocol::operator::{
    AdminError, AdminErrorCode, ProposalReply, ProposeRequest, RollbackRequest,
};

/// Attempts to add a signature while others add theirs.
const SIGNATURE_ATTEMPTS: u32 = 8;

/// Takes in a whole bundle as a proposal for the next generation.
pub fn propose(
    context: &dyn AdminContext,
    access: &Access,
    request: &ProposeRequest,
) -> Result<ProposalReply, AdminError> {
    access.require(OperatorAction::Propose)?;
    require_current(context, access)?;
    let in_force = access.bundle.generation();
    if let Some(base) = request.base
        && base != in_force
    {
        return Err(superseded_base(context, base, in_force)?);
    }
    let faults = validate::validate(&request.bundle);
    if !faults.is_empty() {
        return Err(errors::invalid_bundle(faults));
    }
    let packed = manifest::pack(&request.bundle);
    storage::store_contents(context, &packed, Some(&access.bundle))?;
    storage::delete_stale_proposals(context, in_force);
    let row = new_row(
        context,
        access,
        packed.manifest_digest(),
        request.bundle.label.clone(),
        None,
    );
    keep(context, access, row, "bundle_proposed")
}

/// Proposes an earlier generation's content for the next generation.
pub fn propose_rollback(
    context: &dyn AdminContext,
    access: &Access,
    request: &RollbackRequest,
) -> Result<ProposalReply, AdminError> {
    access.require(OperatorAction::Rollout)?;
    require_current(context, access)?;
    let earlier = storage::read_history(context, request.to)?.ok_or_else(|| {
        errors::error(
            AdminErrorCode::NotFound,
            format!("generation {} is not in the history", request.to),
        )
    })?;
    let row = new_row(context, access, earlier.manifest, earlier.label, Some(request.to));
    keep(context, access, row, "rollback_proposed")
}

/// Adds an operator's signature to a proposal.
pub fn add_signature(
    context: &dyn AdminContext,
    access: &Access,
    proposal: &ProposalId,
    signature: &OperatorSignature,
) -> Result<ProposalReply, AdminError> {
    access.require(OperatorAction::Sign)?;
    if signature.operator != access.operator.operator {
        return Err(errors::error(
            AdminErrorCode::InvalidSignature,
            "an operator adds its own signature only",
        ));
    }
    for _ in 0..SIGNATURE_ATTEMPTS {
        let stored = find(context, proposal)?;
        let mut row = stored.value;
        require_place(access, &row)?;
        if !access.bundle.next.signers.accepts(&row.statement, signature) {
            return Err(errors::error(
                AdminErrorCode::InvalidSignature,
                "the signature does not fit the proposal and the operator's key in force",
            ));
        }
        row.add_signature(signature.clone());
        if storage::write_proposal(context, &row, Some(stored.version))? {
            log::info!(
                operator = access.operator.operator.as_str(),
                proposal = proposal.0.as_str(),
                generation = row.statement.generation.0,
                signatures = row.signatures.len();
                "bundle_signed"
            );
            return Ok(reply(access, row));
        }
    }
    Err(errors::error(
        AdminErrorCode::PlatformUnavailable,
        "other signatures keep coming in between; try again",
    ))
}

/// Refuses while the bundle in force here is not the current one: a proposal on top of it could only lose.
fn require_current(context: &dyn AdminContext, access: &Access) -> Result<(), AdminError> {
    let in_force = access.bundle.generation();
    match storage::read_current(context)? {
        Some(current) if current.value.generation > in_force => Err(errors::error(
            AdminErrorCode::Behind,
            format!(
                "generation {} is current and generation {in_force} is in force here; try again in a moment",
                current.value.generation
            ),
        )),
        _ => Ok(()),
    }
}

/// Reads a proposal.
pub fn show(
    context: &dyn AdminContext,
    access: &Access,
    proposal: &ProposalId,
) -> Result<ProposalReply, AdminError> {
    access.require(OperatorAction::View)?;
    Ok(reply(access, find(context, proposal)?.value))
}

/// Refuses a proposal that is not for the generation after the one in force here.
pub fn require_place(access: &Access, row: &ProposalRow) -> Result<(), AdminError> {
    let next = access.bundle.generation().0 + 1;
    let wanted = row.statement.generation.0;
    if wanted == next {
        return Ok(());
    }
    let code = if wanted > next {
        AdminErrorCode::Behind
    } else {
        AdminErrorCode::Conflict
    };
    Err(errors::error(
        code,
        format!(
            "the proposal is for generation {wanted}; generation {} is in force here",
            access.bundle.generation()
        ),
    ))
}

/// The answer about a proposal.
pub fn reply(access: &Access, proposal: ProposalRow) -> ProposalReply {
    ProposalReply {
        proposal,
        authority: access.bundle.next.signers.clone(),
    }
}

/// Reads a proposal's row.
pub fn find(
    context: &dyn AdminContext,
    proposal: &ProposalId,
) -> Result<storage::Versioned<ProposalRow>, AdminError> {
    storage::read_proposal(context, proposal)?
        .ok_or_else(|| errors::error(AdminErrorCode::NotFound, "no such proposal waits"))
}

fn new_row(
    context: &dyn AdminContext,
    access: &Access,
    manifest: Digest,
    label: String,
    rollback_of: Option<Generation>,
) -> ProposalRow {
    let generation = Generation(access.bundle.generation().0 + 1);
    ProposalRow {
        statement: Statement {
            generation,
            manifest,
            proposal: ProposalId::new(generation, &context.new_identifier()),
            authority: access.bundle.next.authority,
        },
        label,
        proposed_by: access.operator.operator.clone(),
        rollback_of,
        signatures: Vec::new(),
    }
}

fn keep(
    context: &dyn AdminContext,
    access: &Access,
    row: ProposalRow,
    event: &str,
) -> Result<ProposalReply, AdminError> {
    if !storage::write_proposal(context, &row, None)? {
        return Err(errors::error(
            AdminErrorCode::Conflict,
            "a proposal with this identifier exists",
        ));
    }
    log::info!(
        operator = access.operator.operator.as_str(),
        proposal = row.statement.proposal.0.as_str(),
        generation = row.statement.generation.0,
        manifest:% = row.statement.manifest,
        label = row.label.as_str();
        "{event}"
    );
    Ok(reply(access, row))
}

fn superseded_base(
    context: &dyn AdminContext,
    base: Generation,
    in_force: Generation,
) -> Result<AdminError, AdminError> {
    if base > in_force {
        return Ok(errors::error(
            AdminErrorCode::Behind,
            format!("the bundle was edited from generation {base}; generation {in_force} is in force here"),
        ));
    }
    let current = storage::read_current(context)?;
    Ok(match current {
        Some(current) => errors::conflict(current.value),
        None => errors::no_bundle(),
    })
}
