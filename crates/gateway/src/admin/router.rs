//! From method and path to the call, and from its result to status and body.

use super::access::Access;
use super::context::AdminContext;
use super::{acceptance, errors, proposals, views};
use serde::Serialize;
use serde::de::DeserializeOwned;
use shelfjunction_core::bundle::signature::ProposalId;
use shelfjunction_core::identity::{Generation, RequestId};
use shelfjunction_protocol::operator::{AdminError, AdminErrorCode};

/// Method of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminMethod {
    /// GET.
    Get,
    /// POST.
    Post,
    /// DELETE.
    Delete,
}

/// One call, read whole.
#[derive(Clone, Copy, Debug)]
pub struct AdminRequest<'a> {
    /// The method.
    pub method: AdminMethod,
    /// The path without its query.
    pub path: &'a str,
    /// The bearer token, if one was sent.
    pub token: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON.
    pub body: Vec<u8>,
}

/// Carries out one call.
pub fn handle(context: &dyn AdminContext, request: &AdminRequest<'_>) -> AdminResponse {
    match route(context, request) {
        Ok(body) => AdminResponse { status: 200, body },
        Err(error) => {
            log::debug!(path = request.path, code:? = error.code; "admin_call_refused");
            AdminResponse {
                status: errors::status(error.code),
                body: serde_json::to_vec(&error).unwrap_or_default(),
            }
        }
    }
}

fn route(context: &dyn AdminContext, request: &AdminRequest<'_>) -> Result<Vec<u8>, AdminError> {
    let path = request.path.strip_prefix(super::PATH_PREFIX).unwrap_or_default();
    let segments: Vec<&str> = path.split('/').collect();
    if (request.method, segments.as_slice()) == (AdminMethod::Post, &["bootstrap"]) {
        return json(&acceptance::bootstrap(context, &body(request)?)?);
    }
    let access = Access::authenticate(context, request.token)?;
    match request.method {
        AdminMethod::Get => read(context, &access, &segments),
        AdminMethod::Post => change(context, &access, &segments, request),
        AdminMethod::Delete => match segments.as_slice() {
            ["requests", identifier] => json(&views::cancel(context, &access, &RequestId::new(*identifier))?),
            _ => Err(unknown_path()),
        },
    }
}

fn read(context: &dyn AdminContext, access: &Access, segments: &[&str]) -> Result<Vec<u8>, AdminError> {
    match segments {
        ["status"] => json(&views::status(context, access)?),
        ["engines"] => json(&views::engines(context, access)?),
        ["usage"] => json(&views::usage(context, access)?),
        ["history"] => json(&views::history(context, access)?),
        ["proposals"] => json(&views::proposals(context, access)?),
        ["proposals", identifier] => json(&proposals::show(context, access, &proposal(identifier))?),
        ["bundles", "current"] => json(&views::bundle(context, access, None)?),
        ["bundles", generation] => {
            let generation = generation.parse().map_err(|_| unknown_path())?;
            json(&views::bundle(context, access, Some(Generation(generation)))?)
        }
        ["requests", identifier] => json(&views::request(context, access, &RequestId::new(*identifier))?),
        _ => Err(unknown_path()),
    }
}

fn change(
    context: &dyn AdminContext,
    access: &Access,
    segments: &[&str],
    request: &AdminRequest<'_>,
) -> Result<Vec<u8>, AdminError> {
    match segments {
        ["bundles"] => json(&proposals::propose(context, access, &body(request)?)?),
        ["bundles", identifier, "signatures"] => {
            let signature = body(request)?;
            json(&proposals::add_signature(
                context,
                access,
                &proposal(identifier),
                &signature,
            )?)
        }
        ["rollout"] => json(&acceptance::roll_out(context, access, &body(request)?)?),
        ["rollback"] => json(&proposals::propose_rollback(context, access, &body(request)?)?),
        _ => Err(unknown_path()),
    }
}

fn proposal(identifier: &str) -> ProposalId {
    ProposalId(identifier.to_owned())
}

fn unknown_path() -> AdminError {
    errors::error(AdminErrorCode::NotFound, "no such call")
}

fn body<T: DeserializeOwned>(request: &AdminRequest<'_>) -> Result<T, AdminError> {
    serde_json::from_slice(request.body).map_err(|cause| {
        errors::error(
            AdminErrorCode::InvalidRequest,
            format!("the body is not understood: {cause}"),
        )
    })
}

fn json<T: Serialize>(value: &T) -> Result<Vec<u8>, AdminError> {
    serde_json::to_vec(value).map_err(|cause| {
        errors::error(
            AdminErrorCode::InvalidRequest,
            format!("the answer can't be written: {cause}"),
        )
    })
}
