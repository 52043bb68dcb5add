//! Opaque requests: their answers' pieces, and the KV cache that waits between the two phases.

use super::event::{Action, ForwardAction, OpaquePart};
use super::machine::{RequestMachine, State};
use crate::engine::{EngineRefusalReason, KvTransfer};
use crate::identity::EngineId;
use crate::outcome::Outcome;
use crate::time::MonotonicTime;

/// Engines that may refuse the output of one KV cache before the prompt is read anew: a refusal does not tell whether
/// the engine was full or the cache was gone.
const OUTPUT_REFUSALS: u32 = 2;

/// Text of an engine's failure whose words stay with the driver.
const OPAQUE_FAILURE: &str = "opaque";

/// A KV cache that an engine holds until another fetches it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldTransfer {
    /// Engine that holds it.
    pub(super) source: EngineId,
    /// How another engine fetches it.
    pub(super) transfer: KvTransfer,
    /// Engines that refused the output.
    pub(super) refusals: u32,
}

impl RequestMachine {
    /// Identifier of the last event that the caller has; a further run goes on behind it.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Begins behind an event that the caller has from an earlier answer.
    pub fn after_event(mut self, last_event: Option<u64>) -> Self {
        self.last_event = last_event;
        self
    }

    pub(super) fn on_forwarded(&mut self, part: OpaquePart, engine: EngineId) -> Vec<Action> {
        match part {
            OpaquePart::Event { id } if self.last_event.is_some_and(|last| id <= last) => Vec::new(),
            OpaquePart::Event { id } => {
                self.last_event = Some(id);
                vec![deliver(part)]
            }
            OpaquePart::Ended | OpaquePart::Whole => {
                let mut actions = vec![deliver(part)];
                actions.extend(self.finish(Outcome::Completed));
                actions
            }
            OpaquePart::Failure => self.on_engine_failed(OPAQUE_FAILURE, engine),
        }
    }

    /// Asks for the engine of the output now that the prompt was read: reading takes long enough for the one that
    /// was chosen beforehand to fill up or to leave. The KV cache is kept, so that a refusal does not cost the prompt.
    pub(super) fn choose_output(&mut self, source: EngineId, transfer: KvTransfer) -> Vec<Action> {
        self.transfer = Some(HeldTransfer {
            source,
            transfer,
            refusals: 0,
        });
        self.choose(MonotonicTime::default())
    }

    /// Counts a refusal of the output that may mean that the KV cache is gone; after the last one the prompt is read anew.
    pub(super) fn note_output_refused(&mut self, reason: EngineRefusalReason) {
        let held = self.transfer.as_mut();
        if let Some(held) = held.filter(|_| reason == EngineRefusalReason::TransferGone) {
            held.refusals += 1;
            if held.refusals >= OUTPUT_REFUSALS {
                self.transfer = None;
            }
        }
    }

    /// The caller is gone: nobody can fetch an opaque answer later, so its engine need not go on.
    pub(super) fn abandon_opaque(&mut self) -> Vec<Action> {
        let mut actions = self.cancel_at_engine();
        self.state = State::Over;
        actions.push(Action::Detach);
        actions
    }

    /// Goes back to an earlier state of the course, in which an engine has the request that was left aside while another one was
    /// looked for. What the search has used up stays used up; what it holds is freed.
    pub fn return_to(&mut self, earlier: Self) -> Option<Action> {
        let search = std::mem::replace(self, earlier);
        // The run that is returned to was counted as over.
        self.runs = search.runs.saturating_sub(1).max(self.runs);
        self.placements = search.placements;
        self.attempts = search.attempts;
        let held = search.transfer.filter(|_| self.transfer.is_none())?;
        Some(Action::Forward(ForwardAction::FreeTransfer {
            source: held.source,
            transfer: held.transfer,
        }))
    }

    /// Frees a KV cache that nobody will fetch, ahead of the action that ends the course.
    pub(super) fn free_transfer_before_the_end(&mut self, actions: &mut Vec<Action>) {
        if let Some(held) = self.transfer.take() {
            let end = actions.len().saturating_sub(1);
            let free = ForwardAction::FreeTransfer {
                source: held.source,
                transfer: held.transfer,
            };
            actions.insert(end, Action::Forward(free));
        }
    }
}

fn deliver(part: OpaquePart) -> Action {
    Action::Forward(ForwardAction::Deliver(part))
}
