//! Reports between nodes on requests under which engines crashed.

use super::{Asked, Fingerprint};
use crate::forwarding::PoolId;
use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The start of the engine that crashed.
    pub engine: SubjectHandle,
    /// Time for which it still counts.
    pub counts_for: Duration,
    /// Whether the request was on trial there, so that no other suspect of its pool ran. Datagrams of format 1 have no room for
    /// it; it follows in a [`ConfirmationReport`].
    #[serde(skip)]
    pub is_isolated: bool,
}

/// Crashes of engines at which a request was on trial; sent after the report on the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The starts of the engines.
    pub engines: Vec<SubjectHandle>,
}

/// All that a node knows of one request. Reports may be lost, doubled or late: the receiver takes the union of the engines, so
/// that none is counted twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What was asked, for operators.
    pub asked: Asked,
    /// Crashes that count.
    pub crashes: Vec<CrashReport>,
    /// Crashes that count for no longer than this are cleared; zero if none are.
    pub cleared_for: Duration,
}

impl SuspectReport {
    /// Crashes, those on trial counted twice: grows with all that other nodes and the store have to know.
    pub fn evidence(&self) -> usize {
        self.crashes.len() + self.isolated_engines().count()
    }

    /// The part that a datagram of format 1 leaves out; absent if there is none.
    pub fn confirmation(&self) -> Option<ConfirmationReport> {
        let engines: Vec<SubjectHandle> = self.isolated_engines().collect();
        (!engines.is_empty()).then_some(ConfirmationReport {
            fingerprint: self.fingerprint,
            engines,
        })
    }

    fn isolated_engines(&self) -> impl Iterator<Item = SubjectHandle> {
        let isolated = self.crashes.iter().filter(|crash| crash.is_isolated);
        isolated.map(|crash| crash.engine)
    }
}

/// A node lets a suspect run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Pool at whose engines it runs.
    pub pool: PoolId,
    /// The trial.
    pub trial: TrialId,
    /// Time after which it is over in any case; zero: it is.
    pub lasts_for: Duration,
}

/// Names a trial. Of two that begin at once the lesser one goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TrialId {
    /// Number that the node has drawn.
    pub number: u64,
    /// The node.
    pub node: SubjectHandle,
}
