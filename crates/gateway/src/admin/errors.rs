//! Refusals and failures of the administration API and their HTTP status.

use shelfjunction_core::bundle::acceptance::CurrentRow;
use shelfjunction_core::setting::FieldError;
use shelfjunction_core::table::PlatformError;
use shelfjunction_protocol::operator::{AdminError, AdminErrorCode};

/// HTTP status that goes with a cause.
pub fn status(code: AdminErrorCode) -> u16 {
    match code {
        AdminErrorCode::Unauthenticated => 401,
        AdminErrorCode::Forbidden => 403,
        AdminErrorCode::NotFound => 404,
        AdminErrorCode::InvalidRequest | AdminErrorCode::InvalidBundle | AdminErrorCode::InvalidSignature => {
            400
        }
        AdminErrorCode::SignaturesMissing | AdminErrorCode::Conflict => 409,
        AdminErrorCode::NoBundle
        | AdminErrorCode::Behind
        | AdminErrorCode::PlatformUnavailable
        | AdminErrorCode::Unsettled => 503,
    }
}

/// An error without particulars.
pub fn error(code: AdminErrorCode, message: impl Into<String>) -> AdminError {
    AdminError {
        code,
        message: message.into(),
        faults: Vec::new(),
        winner: None,
    }
}

/// A bundle that breaks the rules.
pub fn invalid_bundle(faults: Vec<FieldError>) -> AdminError {
    AdminError {
        faults: faults.into_iter().map(Into::into).collect(),
        ..error(AdminErrorCode::InvalidBundle, "the bundle breaks the rules")
    }
}

/// A lost race.
pub fn conflict(winner: CurrentRow) -> AdminError {
    let message = format!(
        "generation {} was taken by operator {} with bundle {}",
        winner.generation, winner.operator, winner.signed
    );
    AdminError {
        winner: Some(Box::new(winner)),
        ..error(AdminErrorCode::Conflict, message)
    }
}

/// No bundle is in force, so nobody can be known.
pub fn no_bundle() -> AdminError {
    error(
        AdminErrorCode::NoBundle,
        "no bundle is in force here; bring in the first one, signed with the root keys",
    )
}

/// The platform failed a call that changes nothing, or failed it before it changed anything.
pub fn platform(cause: &PlatformError) -> AdminError {
    error(
        AdminErrorCode::PlatformUnavailable,
        format!("the platform did not answer ({cause:?}); nothing was changed"),
    )
}

/// The platform may have carried out the change and nothing could be read back.
pub fn unsettled() -> AdminError {
    error(
        AdminErrorCode::Unsettled,
        "the platform's answer was lost; repeat the same call to learn what became of it",
    )
}
