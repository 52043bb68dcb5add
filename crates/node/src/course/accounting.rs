//! Where a dispatch is counted, and who is reported what becomes of it: this node's own router, or the placer that chose
//! the engine.

use super::driver::Driver;
use crate::belief_log;
use crate::context::Context;
use crate::placing::{self, PlacedAt};
use shelfjunction_core::engine::EngineRefusalReason;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::placing::question::{ChosenEngine, DispatchProgress};
use shelfjunction_core::routing::pool::{PoolTicket, ReportedLoad};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Most pauses that are reported of one answer.
const MOST_PAUSES: usize = 16;

/// Units of a pause as it is reported: hundredths of the longest harmless one.
const PAUSE_UNITS: f64 = 100.0;

/// An engine that a placer chose and counted.
#[derive(Clone, Debug)]
pub(super) struct PlacedChoice {
    /// The engine.
    pub(super) engine: EngineId,
    /// What spoke for it.
    pub(super) chosen: ChosenEngine,
    /// Time until the prompt should have been read there; zero where it is not sent to be read.
    pub(super) expected: Duration,
    /// Who has counted it.
    pub(super) at: PlacedAt,
}

/// Where a dispatch is counted.
#[derive(Debug)]
pub(super) enum Account {
    /// In this node's router.
    Own(PoolTicket),
    /// At a placer.
    Placer {
        /// Which one.
        at: PlacedAt,
        /// The engine.
        engine: EngineId,
        /// Pauses between events, to be reported at the end.
        pauses: Vec<u16>,
    },
}

impl Account {
    /// The engine that the dispatch went to.
    pub(super) fn engine(&self) -> &EngineId {
        match self {
            Self::Own(ticket) => ticket.engine(),
            Self::Placer { engine, .. } => engine,
        }
    }

    /// The placer that has counted it, if one has.
    pub(super) fn placer(&self) -> Option<&PlacedAt> {
        match self {
            Self::Own(_) => None,
            Self::Placer { at, .. } => Some(at),
        }
    }

    /// Notes a pause between two events, as part of the longest that is harmless.
    pub(super) fn note_pause(&mut self, context: &Context, part: f64, now: MonotonicTime) {
        match self {
            Self::Own(ticket) => lock(&context.router).on_pause(ticket, part, now),
            Self::Placer { pauses, .. } if pauses.len() < MOST_PAUSES => {
                pauses.push((part * PAUSE_UNITS).clamp(0.0, f64::from(u16::MAX)) as u16);
            }
            Self::Placer { .. } => {}
        }
    }
}

impl Driver<'_> {
    /// The prompt has been read; a placer learns it from the question for the output.
    pub(super) fn count_prompt_read(&self, account: &Account, now: MonotonicTime) {
        if let Account::Own(ticket) = account {
            lock(&self.context.router).on_prompt_prefilled(ticket, &self.prefixes, now);
        }
        self.context.peers.note_change();
    }

    /// The first event has come.
    pub(super) fn count_begun(
        &self,
        account: &Account,
        reported_load: Option<ReportedLoad>,
        now: MonotonicTime,
    ) {
        match account {
            Account::Own(ticket) => {
                lock(&self.context.router).on_output_started(ticket, &self.prefixes, now);
                belief_log::tell_changes(self.context);
                self.context.peers.note_change();
            }
            Account::Placer { at, .. } => {
                placing::tell(self.context, at, DispatchProgress::Started { reported_load })
            }
        }
    }

    /// The dispatch has ended well.
    pub(super) fn count_answered(&self, account: Account, now: MonotonicTime) {
        match account {
            Account::Own(ticket) => {
                let mut router = lock(&self.context.router);
                router.on_output_ended(&ticket, now);
                router.on_completed(&ticket);
                drop(router);
                belief_log::tell_changes(self.context);
                self.context.peers.note_change();
            }
            Account::Placer { at, pauses, .. } => {
                placing::tell(self.context, &at, DispatchProgress::Answered { pauses });
            }
        }
    }

    /// The engine has refused the dispatch before running it.
    pub(super) fn count_refused(
        &self,
        account: &Account,
        reason: EngineRefusalReason,
        reported_load: Option<ReportedLoad>,
        now: MonotonicTime,
    ) {
        match account {
            Account::Own(ticket) => {
                let mut router = lock(&self.context.router);
                if let Some(reported_load) = reported_load {
                    router.on_reported_load(ticket.engine(), reported_load, now);
                }
                router.on_refused(ticket, reason, now);
            }
            Account::Placer { at, .. } => placing::tell(
                self.context,
                at,
                DispatchProgress::Refused {
                    reason,
                    reported_load,
                },
            ),
        }
    }

    /// The connection broke or was refused.
    pub(super) fn count_broken(&self, account: &Account) {
        match account {
            Account::Own(ticket) => {
                lock(&self.context.router).on_connection_failed(ticket, self.context.now())
            }
            Account::Placer { at, .. } => placing::tell(self.context, at, DispatchProgress::ConnectionFailed),
        }
    }

    /// The engine said nothing for too long, or no connection could be made in time.
    pub(super) fn count_silent(&self, account: &Account) {
        match account {
            Account::Own(ticket) => {
                lock(&self.context.router).on_unanswered_request(ticket, self.context.now());
                belief_log::tell_changes(self.context);
            }
            Account::Placer { at, .. } => placing::tell(self.context, at, DispatchProgress::Unresponsive),
        }
    }

    /// The dispatch has ended for a cause that is not the engine's.
    pub(super) fn count_abandoned(&self, account: &Account) {
        match account {
            Account::Own(ticket) => lock(&self.context.router).on_abandoned(ticket),
            Account::Placer { at, .. } => placing::tell(self.context, at, DispatchProgress::Abandoned),
        }
    }
}
