//! The administration API: operators propose, sign, roll out and roll back bundles, and look at the fleet.
//!
//! Apart from HTTP: [`handle`] takes one request and gives one answer; what it needs of the gateway is the trait
//! [`AdminContext`]. Every path begins with [`PATH_PREFIX`].

mod acceptance;
mod access;
mod context;
mod errors;
mod proposals;
mod router;
mod storage;
mod views;

pub use context::AdminContext;
pub use router::{AdminMethod, AdminRequest, AdminResponse, handle};

/// First part of the path of every call of this API.
pub const PATH_PREFIX: &str = "/admin/";
