//! When silence becomes a suspicion, and a suspicion a death.
//!
//! One watcher may only suspect. Death needs a second watcher that misses the subject too and has left the first
//! one's suspicion open to refutation. Anyone in contact with the subject refutes, and so does the subject itself.

use super::record::Liveness;
use super::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Most times that a refuted accuser doubles its patience.
const MAXIMUM_PATIENCE: u32 = 8;

/// Limits of the detector.
#[derive(Clone, Copy, Debug)]
pub struct DetectorLimits {
    /// Silence that makes a suspicion.
    pub suspect_after: Duration,
    /// Time a suspicion of another witness stays open.
    pub confirm_after: Duration,
}

/// What the newest version of the subject's record says, and who wrote it.
#[derive(Clone, Copy, Debug)]
pub struct Belief {
    /// What it says.
    pub liveness: Liveness,
    /// Who wrote it.
    pub observer: SubjectHandle,
    /// When this node came to hold it.
    pub held_since: MonotonicTime,
}

/// One watcher's contact with one subject.
#[derive(Clone, Debug)]
pub struct Watch {
    last_contact: MonotonicTime,
    contacted: bool,
    patience: u32,
    accused: bool,
}

impl Watch {
    /// Begins to watch; silence counts from now.
    pub fn begin(now: MonotonicTime) -> Self {
        Self {
            last_contact: now,
            contacted: false,
            patience: 1,
            accused: false,
        }
    }

    /// Notes a sign of life.
    pub fn contact(&mut self, now: MonotonicTime) {
        self.last_contact = now;
        self.contacted = true;
        self.patience = 1;
        self.accused = false;
    }

    /// Leaves a time out of the silence, as when this process itself stood still.
    pub fn forgive(&mut self, pause: Duration) {
        self.last_contact = self.last_contact + pause;
    }

    /// Time of the last sign of life, or of the begin.
    pub fn last_contact(&self) -> MonotonicTime {
        self.last_contact
    }

    /// What this watcher should write about the subject; absent when nothing.
    pub fn verdict(
        &mut self,
        own: SubjectHandle,
        belief: Belief,
        limits: &DetectorLimits,
        now: MonotonicTime,
    ) -> Option<Liveness> {
        let silent = now.since(self.last_contact) >= limits.suspect_after * self.patience;
        match belief.liveness {
            Liveness::Suspect | Liveness::Dead if self.contacted && self.last_contact > belief.held_since => {
                Some(Liveness::Alive)
            }
            Liveness::Alive | Liveness::Leaving if self.accused => {
                self.accused = false;
                self.patience = (self.patience * 2).min(MAXIMUM_PATIENCE);
                None
            }
            Liveness::Alive | Liveness::Leaving if silent => {
                self.accused = true;
                Some(Liveness::Suspect)
            }
            Liveness::Suspect
                if silent
                    && belief.observer != own
                    && now.since(belief.held_since) >= limits.confirm_after =>
            {
                Some(Liveness::Dead)
            }
            _ => None,
        }
    }
}
