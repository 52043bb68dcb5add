//! Rolling out: one compare-and-set, whose lost answer is settled by reading back.

use super::access::Access;
use super::context::AdminContext;
use super::{errors, proposals, storage};
use shelfjunction_core::bundle::acceptance::{self, Acceptance, CurrentRow, ProposalRow, Verdict};
use shelfjunction_core::bundle::content::OperatorAction;
use shelfjunction_core::bundle::signature::{FIRST_GENERATION, ProposalId, SigningAuthority, Statement};
use shelfjunction_core::bundle::{manifest, validate};
use shelfjunction_core::identity::{Generation, OperatorId};
use shelfjunction_core::table::PlatformError;
use shelfjunction_protocol::operator::{
    AdminError, AdminErrorCode, BootstrapRequest, RolloutReply, RolloutRequest,
};

/// Times the rows are read again after a lost answer.
const SETTLE_ATTEMPTS: u32 = 3;

/// Accepts a proposal that has its signatures.
pub fn roll_out(
    context: &dyn AdminContext,
    access: &Access,
    request: &RolloutRequest,
) -> Result<RolloutReply, AdminError> {
    access.require(OperatorAction::Rollout)?;
    let generation = request.proposal.generation().ok_or_else(unknown_proposal)?;
    let current = storage::read_current(context)?;
    let held = current.as_ref().map(|current| &current.value);
    match settle(context, &request.proposal, generation, held)? {
        Verdict::Accepted(accepted) => return Ok(accept(context, accepted)),
        Verdict::Superseded { winner } => return Err(errors::conflict(winner)),
        Verdict::Open => {}
    }
    let row = proposals::find(context, &request.proposal)?.value;
    proposals::require_place(access, &row)?;
    require_signatures(&access.bundle.next.signers, &row)?;
    let version = current.map(|current| current.version);
    let plan = acceptance::plan(&row, &access.operator.operator, version);
    commit(context, &plan)
}

/// Accepts the first bundle, signed with the root keys, on a platform that holds none.
pub fn bootstrap(context: &dyn AdminContext, request: &BootstrapRequest) -> Result<RolloutReply, AdminError> {
    let packed = manifest::pack(&request.bundle);
    let operator = request
        .signatures
        .first()
        .map(|signature| signature.operator.clone())
        .unwrap_or_else(|| OperatorId::new("root"));
    let mut row = ProposalRow {
        statement: Statement {
            generation: FIRST_GENERATION,
            manifest: packed.manifest_digest(),
            proposal: request.proposal.clone(),
            authority: None,
        },
        label: request.bundle.label.clone(),
        proposed_by: operator.clone(),
        rollback_of: None,
        signatures: Vec::new(),
    };
    for signature in &request.signatures {
        row.add_signature(signature.clone());
    }
    if request.proposal.generation() != Some(FIRST_GENERATION) {
        return Err(unknown_proposal());
    }
    // Nobody is authenticated before this line; nothing is read or written for a stranger.
    require_signatures(context.roots(), &row)?;
    let faults = validate::validate(&request.bundle);
    if !faults.is_empty() {
        return Err(errors::invalid_bundle(faults));
    }
    let current = storage::read_current(context)?;
    let held = current.as_ref().map(|current| &current.value);
    match settle(context, &request.proposal, FIRST_GENERATION, held)? {
        Verdict::Accepted(accepted) => return Ok(accept(context, accepted)),
        Verdict::Superseded { winner } => return Err(errors::conflict(winner)),
        Verdict::Open => {}
    }
    storage::store_contents(context, &packed, None)?;
    commit(context, &acceptance::plan(&row, &operator, None))
}

fn unknown_proposal() -> AdminError {
    errors::error(
        AdminErrorCode::InvalidRequest,
        "a proposal's identifier is its generation, a hyphen, and letters and digits",
    )
}

fn require_signatures(signers: &SigningAuthority, row: &ProposalRow) -> Result<(), AdminError> {
    signers.verify(&row.signed()).map_err(|cause| {
        errors::error(
            AdminErrorCode::SignaturesMissing,
            format!("the signatures do not suffice: {cause:?}"),
        )
    })
}

fn commit(context: &dyn AdminContext, plan: &Acceptance) -> Result<RolloutReply, AdminError> {
    storage::store_content(context, plan.accepted.signed, &plan.signed.to_bytes())?;
    let verdict = match context.table().transact(&plan.transaction) {
        Ok(outcome) => acceptance::settle_answer(&plan.accepted, &outcome),
        // Nothing was done; the operator may try again.
        Err(cause @ (PlatformError::Unavailable | PlatformError::Throttled { .. })) => {
            return Err(errors::platform(&cause));
        }
        Err(PlatformError::AnswerLost | PlatformError::Malformed(_)) => Verdict::Open,
    };
    match verdict {
        Verdict::Accepted(accepted) => Ok(accept(context, accepted)),
        Verdict::Superseded { winner } => Err(lost(&plan.accepted, winner)),
        Verdict::Open => settle_lost_answer(context, &plan.accepted),
    }
}

/// Reads back what became of a transaction whose answer was lost.
fn settle_lost_answer(context: &dyn AdminContext, accepted: &CurrentRow) -> Result<RolloutReply, AdminError> {
    for _ in 0..SETTLE_ATTEMPTS {
        let Ok(current) = storage::read_current(context) else {
            continue;
        };
        let held = current.as_ref().map(|current| &current.value);
        match settle(context, &accepted.proposal, accepted.generation, held) {
            Ok(Verdict::Accepted(accepted)) => return Ok(accept(context, accepted)),
            Ok(Verdict::Superseded { winner }) => return Err(lost(accepted, winner)),
            Ok(Verdict::Open) | Err(_) => {}
        }
    }
    log::warn!(
        operator = accepted.operator.as_str(),
        proposal = accepted.proposal.0.as_str(),
        generation = accepted.generation.0;
        "bundle_rollout_unsettled"
    );
    Err(errors::unsettled())
}

/// What the rows say about a proposal; open while its place is free.
fn settle(
    context: &dyn AdminContext,
    proposal: &ProposalId,
    generation: Generation,
    current: Option<&CurrentRow>,
) -> Result<Verdict, AdminError> {
    let Some(current) = current.filter(|current| current.generation >= generation) else {
        return Ok(Verdict::Open);
    };
    let history = if current.generation > generation {
        storage::read_history(context, generation)?
    } else {
        None
    };
    let verdict = acceptance::settle_current(proposal, generation, Some(current), history.as_ref());
    Ok(match verdict {
        // The place is taken, but its history row has expired.
        Verdict::Open => Verdict::Superseded {
            winner: current.clone(),
        },
        settled => settled,
    })
}

fn accept(context: &dyn AdminContext, accepted: CurrentRow) -> RolloutReply {
    log::info!(
        operator = accepted.operator.as_str(),
        proposal = accepted.proposal.0.as_str(),
        generation = accepted.generation.0,
        bundle:% = accepted.signed;
        "bundle_accepted"
    );
    context.announce(accepted.head());
    RolloutReply { accepted }
}

fn lost(own: &CurrentRow, winner: CurrentRow) -> AdminError {
    log::info!(
        operator = own.operator.as_str(),
        proposal = own.proposal.0.as_str(),
        generation = own.generation.0,
        winner = winner.operator.as_str(),
        winner_bundle:% = winner.signed;
        "bundle_rollout_lost"
    );
    errors::conflict(winner)
}
