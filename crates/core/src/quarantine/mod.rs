//! Requests that crash the engines that run them (queries of death).
//!
//! A request is known by a [`Fingerprint`] of what it asks for, since each attempt of its caller bears a name of its own and may
//! come to any node. Each engine that crashes while it is under way there counts against it, once, whoever saw it
//! ([`Quarantine`]):
//!
//! ```text
//! crashes                    standing      runs
//! 0 to limit - 2             free          as any other
//! limit - 1                  suspected     on trial: one suspect of a pool at a time, never on a pool's last engine ([`TrialBoard`])
//! limit, none on trial       quarantined   once more, on trial, at the one node that claims this run in the store
//! limit, one on trial        quarantined   not at all: confirmed
//! ```
//!
//! Requests that are all different may share a part of their prompts that crashes engines, so that the parts are charged as well
//! ([`RequestSubjects`]). A charge counts against a part only while nothing else aboard explains the crash better (`attribution`). A
//! request runs by the worst of what it holds ([`Verdict`]).
//!
//! A crash charges everything that ran at the engine, so engines that crash within the time in which nodes learn of it can
//! quarantine a request that only ran beside the cause. Only a crash on trial tells the two apart. The claim bounds how often the
//! cause reaches engines again, whatever reports were lost.
//!
//! One whole answer of an engine that lives clears a request. What was answered a short time ago is not charged at all
//! ([`RecentlyAnswered`]). Nodes report to each other what they know; the store keeps what has one crash to go, so that a fleet
//! that is killed as a whole does not begin anew.

mod answered;
mod attribution;
pub mod config;
mod fingerprint;
pub mod notification;
mod register;
pub mod report;
pub mod row;
mod subjects;
mod suspect;
mod trial;
mod verdict;

pub use answered::RecentlyAnswered;
pub use fingerprint::{Fingerprint, NoFingerprint, RequestContent};
pub use register::{Counts, Entry, Quarantine, Selection, Standing};
pub use subjects::RequestSubjects;
pub use trial::TrialBoard;
pub use verdict::{RefusalCause, TrialSubjects, Verdict};

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
