//! What a holder of the lease is certain of after the store has come back from an older copy.
//!
//! The copy may lack windows that were recorded and reported before the restore, and a recording of before, done late on the
//! restored rows, may have put other figures in their place. The first process that writes in the new era has to know these windows,
//! or to leave out every window that may be among them. A process knows them all if it held the lease, with the rows
//! claimed, until it saw the new era: nobody else recorded anything meanwhile. Any other process knows only that nothing was
//! recorded before the restore that ended after it, and the restore came before the first answer of the new era.

use crate::identity::FencingToken;
use crate::time::MonotonicTime;

#[derive(Clone, Copy, Debug)]
struct EraSeen {
    era: u64,
    first_at: MonotonicTime,
}

/// The last time that this process wrote its token into the row of progress.
#[derive(Clone, Copy, Debug)]
struct Claim {
    token: FencingToken,
    era: u64,
    /// Until when nobody else can have taken the lease.
    exclusive_until: MonotonicTime,
}

/// Eras that one process has seen, and what it held meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoreWatch {
    seen: Option<EraSeen>,
    claim: Option<Claim>,
}

impl RestoreWatch {
    /// Notes the newest era that an answer of the store has named; zero where none has.
    pub fn observe_era(&mut self, era: u64, now: MonotonicTime) {
        if self.seen.is_none_or(|seen| seen.era < era) {
            self.seen = Some(EraSeen { era, first_at: now });
        }
    }

    /// Newest era seen.
    pub fn era(&self) -> u64 {
        self.seen.map_or(0, |seen| seen.era)
    }

    /// Notes that under this token nobody else can have taken the lease before `until`.
    pub fn note_exclusive(&mut self, token: FencingToken, until: MonotonicTime) {
        if let Some(claim) = self.claim.as_mut().filter(|claim| claim.token == token) {
            claim.exclusive_until = claim.exclusive_until.max(until);
        }
    }

    /// Notes that the row of progress has this process's token.
    pub fn note_claimed(&mut self, token: FencingToken, era: u64) {
        match &mut self.claim {
            Some(claim) if claim.token == token => claim.era = era,
            claim => {
                *claim = Some(Claim {
                    token,
                    era,
                    exclusive_until: MonotonicTime::default(),
                });
            }
        }
    }

    /// Whether this process made its last claim of the rows in this era.
    pub fn has_claimed(&self, era: u64) -> bool {
        self.claim.is_some_and(|claim| claim.era == era)
    }

    /// For the first holder that writes in an era: until when windows may have ended that were reported before the restore and
    /// that this process doesn't know; absent where it knows all.
    pub fn unknown_until(&self, era: u64, now: MonotonicTime) -> Option<MonotonicTime> {
        if era == 0 {
            return None;
        }
        let seen = self.seen.filter(|seen| seen.era == era);
        let restored_before = seen.map_or(now, |seen| seen.first_at);
        let held_throughout = self
            .claim
            .is_some_and(|claim| claim.era + 1 == era && restored_before <= claim.exclusive_until);
        (!held_throughout).then_some(restored_before)
    }
}
