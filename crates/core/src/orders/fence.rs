//! Whether an engine is known to accept nothing below the holder's token.

use crate::engine::EngineStatus;
use crate::identity::FencingToken;
use crate::time::MonotonicTime;

/// The fence at one engine as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fence {
    /// Not raised since the taking or since the engine's last start.
    Absent,
    /// Raised at this instant, in an incarnation not yet reported.
    Raised(MonotonicTime),
    /// Reported by the engine itself.
    Confirmed {
        /// The start of the engine's process that holds the fence.
        incarnation: u64,
    },
}

impl Fence {
    /// The fence after a status; [`Fence::Absent`] when the engine has restarted and forgotten it.
    pub(super) fn after_status(
        self,
        status: &EngineStatus,
        observed_at: MonotonicTime,
        token: FencingToken,
    ) -> Self {
        let forgotten = match self {
            Self::Absent => return self,
            // A status from before the fence says nothing about it.
            Self::Raised(at) if observed_at < at => return self,
            Self::Raised(_) => status.fence < token,
            Self::Confirmed { incarnation } => status.incarnation != incarnation || status.fence < token,
        };
        if forgotten {
            return Self::Absent;
        }
        Self::Confirmed {
            incarnation: status.incarnation,
        }
    }
}
