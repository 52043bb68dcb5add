//! Requests that crash the engines that run them (queries of death).
//!
//! A request is known by a [`Fingerprint`] of what it asks for, since each attempt of its caller bears a name of its own and may
//! come to any node. Each engine that crashes while it is under way there counts against it, once, whoever saw it
//! ([`Quarantine`]). With the last but one it becomes a suspect, which runs alone and never on a pool's last engine
//! ([`TrialBoard`]); with the last it is refused, at every node. One whole answer of an engine that lives clears it: those that
//! only ran beside the cause get one soon, the cause never does. What was answered a short time ago is
//! not charged at all ([`RecentlyAnswered`]).
//!
//! Nodes tell each other what they know; the store keeps what has one crash to go, so that a fleet that is killed as a whole
//! does not begin anew.

mod answered;
pub mod config;
mod fingerprint;
pub mod notification;
mod register;
pub mod report;
pub mod row;
mod suspect;
mod trial;

pub use answered::RecentlyAnswered;
pub use fingerprint::{Fingerprint, NoFingerprint, RequestContent};
pub use register::{Counts, Entry, Quarantine, Selection, Standing};
pub use trial::TrialBoard;

use crate::forwarding::{PoolId, RouteId};
use crate::identity::TenantId;
use serde::{Deserialize, Serialize};

/// What an operator is told of a request beside its fingerprint; no content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    /// Its route.
    pub route: RouteId,
    /// Its pool.
    pub pool: PoolId,
    /// Its tenant; absent where callers need no key.
    pub tenant: Option<TenantId>,
}
