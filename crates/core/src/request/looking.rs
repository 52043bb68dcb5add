//! Looks at the claim's row: before "not run" is said of a key, and to follow a joined claim that moved.

use super::event::{Action, Event};
use super::machine::{LookUp, RequestMachine, State};
use super::stream_check::StreamCheck;
use crate::identity::EngineId;
use crate::ledger::row::{StoredClaim, claim_key};
use crate::outcome::{Failure, Outcome, Refusal};
use crate::table::RowVersion;
use crate::time::MonotonicTime;

impl RequestMachine {
    pub(super) fn look_up(&mut self, purpose: LookUp) -> Vec<Action> {
        let Some(key) = &self.specification.key else {
            return Vec::new();
        };
        let key = claim_key(&self.specification.tenant, key);
        self.state = State::LookingUp(purpose);
        vec![Action::LookUpClaim { key }]
    }

    pub(super) fn on_looked_up(&mut self, event: Event, purpose: LookUp, now: MonotonicTime) -> Vec<Action> {
        match purpose {
            LookUp::BeforeRefusal(refusal) => self.on_looked_up_before_refusal(event, refusal, now),
            LookUp::WhereItStands { engine, incarnation } => {
                self.on_looked_where_it_stands(event, engine, incarnation, now)
            }
        }
    }

    fn on_looked_up_before_refusal(
        &mut self,
        event: Event,
        refusal: Refusal,
        now: MonotonicTime,
    ) -> Vec<Action> {
        match event {
            Event::ClaimAbsent => self.refuse_free_key(refusal),
            Event::ClaimExists(stored) if stored.is_released() => self.refuse_free_key(refusal),
            Event::ClaimExists(stored) => self.on_claim_exists(stored, now),
            Event::ClaimFailed(_) => self.finish(Outcome::Unknown(Failure::LedgerUnavailable)),
            _ => Vec::new(),
        }
    }

    fn refuse_free_key(&mut self, refusal: Refusal) -> Vec<Action> {
        self.key_was_free = true;
        self.give_up_at_once(refusal, Failure::ClaimUnsettled)
    }

    fn on_looked_where_it_stands(
        &mut self,
        event: Event,
        engine: EngineId,
        incarnation: u64,
        now: MonotonicTime,
    ) -> Vec<Action> {
        match event {
            Event::ClaimAbsent => self.begin_anew(None, now),
            Event::ClaimExists(stored) if stored.is_released() => self.begin_anew(Some(stored.version), now),
            Event::ClaimExists(stored) if self.holds_version(&stored) => {
                let claimed = self.claim.as_ref().map(|claim| claim.row.incarnation);
                if claimed == Some(incarnation) {
                    self.ask(engine, now)
                } else {
                    self.unsettled()
                }
            }
            Event::ClaimExists(stored) => {
                self.count_move();
                self.on_claim_exists(stored, now)
            }
            Event::ClaimFailed(_) => self.ask(engine, now),
            _ => Vec::new(),
        }
    }

    fn holds_version(&self, stored: &StoredClaim) -> bool {
        self.claim
            .as_ref()
            .is_some_and(|claim| claim.version == stored.version)
    }

    /// A claim that moves has a living owner, so its engine is asked as often as the first one; the count of moves
    /// bounds the questions in all.
    fn count_move(&mut self) {
        if self.moves_met < self.limits.placements {
            self.moves_met += 1;
            self.questions = 0;
        }
    }

    /// The claim that was joined was released: nothing ran under it and nothing will be sent, so this course claims the
    /// key for itself. The claim checks that the row is still as it was found.
    fn begin_anew(&mut self, released: Option<RowVersion>, now: MonotonicTime) -> Vec<Action> {
        if self.evidence.output_ran() {
            return self.unsettled();
        }
        self.specification.request = self.own_request.clone();
        self.check = StreamCheck::new(self.own_request.clone(), self.check.next_offset());
        self.evidence.handed_over_nowhere();
        self.claim = None;
        self.released = released;
        self.rejoined = false;
        self.key_was_free = false;
        self.choose(now)
    }
}
