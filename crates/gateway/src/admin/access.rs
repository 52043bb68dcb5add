//! Who the operator is and what its scope allows.

use super::context::AdminContext;
use super::errors;
use shelfjunction_core::bundle::BundleInForce;
use shelfjunction_core::bundle::content::{OperatorAction, OperatorRule};
use shelfjunction_core::tenancy::{self, OperatorDirectory};
use shelfjunction_protocol::operator::{AdminError, AdminErrorCode};
use std::sync::Arc;

/// An authenticated operator with the bundle that says so.
pub struct Access {
    /// The operator.
    pub operator: OperatorRule,
    /// The bundle in force.
    pub bundle: Arc<BundleInForce>,
}

impl Access {
    /// Finds the operator of a bearer token.
    pub fn authenticate(context: &dyn AdminContext, token: Option<&str>) -> Result<Self, AdminError> {
        let bundle = context.bundle().ok_or_else(errors::no_bundle)?;
        let operator = token
            .and_then(|token| OperatorDirectory::new(&bundle).authenticate(token).cloned())
            .ok_or_else(|| {
                errors::error(
                    AdminErrorCode::Unauthenticated,
                    "no operator has this bearer token",
                )
            })?;
        Ok(Self { operator, bundle })
    }

    /// Refuses unless the operator may do this.
    pub fn require(&self, action: OperatorAction) -> Result<(), AdminError> {
        if tenancy::may(&self.operator, action) {
            return Ok(());
        }
        Err(errors::error(
            AdminErrorCode::Forbidden,
            format!("operator {} lacks the action {action:?}", self.operator.operator),
        ))
    }
}
