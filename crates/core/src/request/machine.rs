//! The state machine of one request.

use super::event::{Action, Event, ForwardAction};
use super::forwarding::HeldTransfer;
use super::outcome::Evidence;
use super::specification::{CourseLimits, Placement, RequestSpecification, Target};
use super::stream_check::StreamCheck;
use crate::engine::Phase;
use crate::identity::{AttemptId, EngineId, RequestId};
use crate::ledger::row::ClaimRow;
use crate::outcome::{Failure, Refusal};
use crate::table::RowVersion;
use crate::time::MonotonicTime;
use std::time::Duration;

/// When to come back after engines refused or no retry was left.
pub(super) const ENGINES_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Text by which an engine says that a request was cancelled.
pub const CANCELLED_REASON: &str = "cancelled";

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits for `Admitted`.
    New,
    /// Waits for engines.
    Choosing,
    /// Waits for what the claim's row holds.
    LookingUp(LookUp),
    /// Waits for the claim.
    Claiming {
        placement: Placement,
        asked: MonotonicTime,
    },
    /// The prompt runs on one engine; the output will run on another.
    Prefilling {
        attempt: AttemptId,
        prefill: Target,
        decode: Target,
    },
    /// A dispatch or a resumed stream is open or being opened.
    Reading {
        attempt: AttemptId,
        engine: EngineId,
        kind: ReadingKind,
    },
    /// An engine is asked what became of the request.
    Asking { engine: EngineId },
    /// Waits for the retry budget.
    AwaitingRetry,
    /// Nothing follows.
    Over,
}

/// How a stream came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadingKind {
    /// The request was handed over by this stream's call.
    Dispatch,
    /// The engine had the request before.
    Resume,
}

/// Why the claim's row is looked at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LookUp {
    /// Before "not run" is said: an earlier call with the key may have run.
    BeforeRefusal(Refusal),
    /// The engine that a joined claim names has never seen the request; it may have moved.
    WhereItStands {
        /// The engine that was asked.
        engine: EngineId,
        /// The engine's start.
        incarnation: u64,
    },
}

/// The claim as this machine holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldClaim {
    pub(super) version: RowVersion,
    pub(super) row: ClaimRow,
    /// Made by this request; false where another claim was met and is joined.
    pub(super) own: bool,
}

/// Course of one request: events in, actions out.
#[derive(Clone, Debug)]
pub struct RequestMachine {
    pub(super) specification: RequestSpecification,
    pub(super) limits: CourseLimits,
    pub(super) state: State,
    pub(super) evidence: Evidence,
    pub(super) check: StreamCheck,
    pub(super) claim: Option<HeldClaim>,
    /// The last write of the claim was not answered; the row may name this request.
    pub(super) claim_in_doubt: bool,
    /// Version that the last write of the claim checked for.
    pub(super) claim_checked: Option<RowVersion>,
    /// Version of the released row that this course has met, over which the key may be claimed.
    pub(super) released: Option<RowVersion>,
    /// Released rows met in place of a claim's success.
    pub(super) releases_met: u32,
    /// The key's claim is this course's own, or this course has just looked and found none.
    pub(super) key_was_free: bool,
    /// The course ended before the claim was answered.
    pub(super) claim_awaited: bool,
    pub(super) excluded: Vec<EngineId>,
    pub(super) whole_only: bool,
    pub(super) placements: u32,
    pub(super) attempts: u32,
    pub(super) resumes: u32,
    pub(super) questions: u32,
    pub(super) rejoined: bool,
    pub(super) moves_met: u32,
    /// The request as this course named it before it joined another claim.
    pub(super) own_request: RequestId,
    pub(super) last_refusal: Option<Refusal>,
    /// Engines that ran the request, as far as anybody can tell.
    pub(super) runs: u32,
    /// Identifier of the last event of an opaque answer that was delivered.
    pub(super) last_event: Option<u64>,
    /// KV cache that an engine holds for an opaque request whose output has not begun.
    pub(super) transfer: Option<HeldTransfer>,
    pub(super) dispatch_not_after: MonotonicTime,
}

impl RequestMachine {
    /// A request that has just been admitted.
    pub fn new(specification: RequestSpecification, limits: CourseLimits) -> Self {
        let check = StreamCheck::new(specification.request.clone(), 0);
        // A claim names one engine; where the whole request runs there, "nothing ran" stays easy to know.
        let whole_only = specification.key.is_some();
        Self {
            dispatch_not_after: specification.deadline,
            own_request: specification.request.clone(),
            specification,
            limits,
            state: State::New,
            evidence: Evidence::default(),
            check,
            claim: None,
            claim_in_doubt: false,
            claim_checked: None,
            released: None,
            releases_met: 0,
            key_was_free: false,
            claim_awaited: false,
            excluded: Vec::new(),
            whole_only,
            placements: 0,
            attempts: 0,
            resumes: 0,
            questions: 0,
            rejoined: false,
            moves_met: 0,
            last_refusal: None,
            runs: 0,
            last_event: None,
            transfer: None,
        }
    }

    /// A request that was handed to `engine` before, whose answer is read again from `offset` on.
    /// Returns the machine and its first actions.
    pub fn rejoin(
        specification: RequestSpecification,
        limits: CourseLimits,
        engine: EngineId,
        offset: u32,
        now: MonotonicTime,
    ) -> (Self, Vec<Action>) {
        let mut machine = Self::new(specification, limits);
        machine.check = StreamCheck::new(machine.specification.request.clone(), offset);
        machine.rejoined = true;
        machine.evidence.handed_over();
        let actions = machine.ask(engine, now);
        (machine, actions)
    }

    /// The request's fixed part.
    pub fn specification(&self) -> &RequestSpecification {
        &self.specification
    }

    /// Whether the course is over.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    /// Whether the course ended before its claim was answered; the answer is then still to be handed in.
    pub fn awaits_claim(&self) -> bool {
        self.is_over() && self.claim_awaited
    }

    /// Whether any engine was handed the request without having refused it.
    pub fn handed_over(&self) -> bool {
        self.evidence.was_handed_over()
    }

    /// The engine that was last handed the request, or is asked for its answer.
    pub fn engine(&self) -> Option<&EngineId> {
        match &self.state {
            State::Reading { engine, .. } | State::Asking { engine } => Some(engine),
            _ => self.claim.as_ref().map(|claim| &claim.row.engine),
        }
    }

    /// Takes an event at `now` and returns what is to be done, in order.
    pub fn handle(&mut self, event: Event, now: MonotonicTime) -> Vec<Action> {
        if self.is_over() {
            return self.on_late_claim(&event);
        }
        let mut actions = self.advance(event, now);
        if self.is_over() {
            self.free_transfer_before_the_end(&mut actions);
        }
        actions
    }

    fn advance(&mut self, event: Event, now: MonotonicTime) -> Vec<Action> {
        match event {
            Event::DeadlineReached => return self.on_deadline(),
            Event::NodeStopping => return self.on_node_stopping(),
            Event::CallerCancelled => return self.on_cancelled(),
            Event::CallerGone => return self.on_caller_gone(),
            _ => {}
        }
        match self.state.clone() {
            State::New => self.on_new(event, now),
            State::Choosing => self.on_choosing(event, now),
            State::LookingUp(purpose) => self.on_looked_up(event, purpose, now),
            State::Claiming { placement, asked } => self.on_claiming(event, placement, asked, now),
            State::Prefilling {
                attempt,
                prefill,
                decode,
            } => self.on_prefilling(event, &attempt, prefill, decode),
            State::Reading {
                attempt,
                engine,
                kind,
            } => self.on_reading(event, &attempt, engine, kind, now),
            State::Asking { engine } => self.on_asking(event, engine, now),
            State::AwaitingRetry => self.on_awaiting_retry(event),
            State::Over => Vec::new(),
        }
    }

    fn on_new(&mut self, event: Event, now: MonotonicTime) -> Vec<Action> {
        match event {
            Event::Admitted => self.choose(now),
            Event::NotAdmitted(refusal) => self.give_up(refusal, Failure::ClaimUnsettled),
            _ => Vec::new(),
        }
    }

    pub(super) fn choose(&mut self, not_before: MonotonicTime) -> Vec<Action> {
        self.state = State::Choosing;
        if let Some(held) = &self.transfer {
            return vec![Action::Forward(ForwardAction::ChooseOutput {
                source: held.source.clone(),
                excluded: self.excluded.clone(),
            })];
        }
        vec![Action::Choose {
            not_before,
            excluded: self.excluded.clone(),
            whole_only: self.whole_only,
        }]
    }

    fn on_choosing(&mut self, event: Event, now: MonotonicTime) -> Vec<Action> {
        match event {
            Event::Nowhere(_) if self.whole_only => {
                self.whole_only = false;
                self.choose(now)
            }
            Event::Nowhere(refusal) => {
                let refusal = match self.last_refusal.take() {
                    Some(last) => Refusal {
                        retry_after: last.retry_after.max(refusal.retry_after),
                        ..last
                    },
                    None => refusal,
                };
                self.give_up(refusal, Failure::EngineError)
            }
            Event::Placed(placement) => self.on_placed(placement, now),
            Event::TransferLost => {
                self.transfer = None;
                self.ask_retry()
            }
            _ => Vec::new(),
        }
    }

    fn on_placed(&mut self, placement: Placement, now: MonotonicTime) -> Vec<Action> {
        if now >= self.specification.deadline {
            return self.on_deadline();
        }
        self.placements += 1;
        self.attempts += 1;
        if let (Some(held), Placement::Whole(target)) = (&self.transfer, &placement) {
            let import = held.transfer.clone();
            return self.dispatch(target.clone(), Phase::Whole, Some(import));
        }
        self.ask_for_claim(placement, now)
    }

    pub(super) fn ask_retry(&mut self) -> Vec<Action> {
        if self.placements >= self.limits.placements {
            return self.give_up_as_refused();
        }
        self.state = State::AwaitingRetry;
        vec![Action::AskRetry {
            tried: self.placements,
        }]
    }

    fn on_awaiting_retry(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::RetryGranted { not_before } if not_before >= self.specification.deadline => {
                self.give_up_as_refused()
            }
            Event::RetryGranted { not_before } => self.choose(not_before),
            Event::RetryDenied => self.give_up_as_refused(),
            _ => Vec::new(),
        }
    }

    pub(super) fn attempt(&self) -> AttemptId {
        AttemptId(format!("{}-{}", self.specification.request, self.attempts))
    }

    pub(super) fn body_digest(&self) -> String {
        let key = self.specification.key.as_ref();
        key.map(|key| key.body_digest.clone()).unwrap_or_default()
    }
}
