//! Whether an engine has ended whose connection broke, or ended an answer: one that has lost an answer, reset a connection or sent what can't be
//! read still takes connections, one that has ended refuses them. A refusal counts only where other engines are reached.

use super::driver::Driver;
use super::exchange::Exchange;
use super::routing;
use crate::asking;
use crate::engine_contact;
use crate::ports::EngineReading;
use shelfjunction_core::identity::EngineId;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Longest wait for a connection that only shows whether its engine lives. An engine that has ended refuses within a
/// round trip, 3 ms between zones; the request waits for it.
const LOOK: Duration = Duration::from_millis(60);

/// The same after an answer that ended with its connection, where nothing else is under way: a sound engine may be silent for a second.
const END_LOOK: Duration = Duration::from_secs(1);

/// Why a connection broke that says nothing of its engine's end: connecting would only wait as long again.
pub(super) const SILENT: &str = "silent";

/// What became of an engine whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineFate {
    /// It takes connections.
    Lives,
    /// It takes connections of another node, and none of this one.
    Unreached,
    /// It refuses them, from a node that reaches other engines too, or it has started again since; nobody had said that it was
    /// about to leave.
    Crashed,
    /// It refuses them, as was to be expected of one that leaves.
    Left,
    /// Nothing was learned.
    Unknown,
}

impl EngineFate {
    fn name(self) -> &'static str {
        match self {
            Self::Lives => "lives",
            Self::Unreached => "unreached",
            Self::Crashed => "crashed",
            Self::Left => "left",
            Self::Unknown => "unknown",
        }
    }
}

impl Driver<'_> {
    /// Learns what became of the engine of a dispatch that broke.
    pub(super) fn look_at_engine(&mut self, exchange: &Exchange, cause: &'static str) -> EngineFate {
        if cause == SILENT {
            return EngineFate::Unknown;
        }
        let fate = self.fate(&exchange.engine, LOOK);
        log::info!(
            request = self.call.request.as_str(),
            fingerprint:% = self.subjects.request,
            engine = exchange.engine.as_str(),
            purpose = exchange.purpose.name(),
            relayed = exchange.link.tunnel().is_some(),
            fate = fate.name();
            "engine_looked_at"
        );
        // An engine that had not been sent all of a request could not begin to run it.
        if fate == EngineFate::Crashed && exchange.all_sent {
            self.charge_crash(&exchange.engine);
        }
        fate
    }

    /// Whether an answer whose end only its connection told is whole: it isn't where its engine has crashed or left, whose
    /// connections end likewise, and a series without any event has not begun.
    pub(super) fn is_whole(&mut self, reading: &EngineReading) -> bool {
        let Some(exchange) = &self.exchange else {
            return false;
        };
        if !exchange.link.ended_by_close() {
            return true;
        }
        let is_series = *reading == EngineReading::Ended;
        if is_series && !exchange.has_events && self.machine.last_event().is_none() {
            return false;
        }
        let engine = exchange.engine.clone();
        // Without a report over the connection the answer may come from a later start than the listed one.
        let knows_start = exchange.link.is_start_confirmed();
        let was_direct = exchange.link.tunnel().is_none();
        let fate = self.fate(&engine, END_LOOK);
        let takes_connections = matches!(fate, EngineFate::Lives | EngineFate::Unreached);
        // One that this node reached when it sent the request, and no longer does, may have started again.
        let is_lost = was_direct && fate == EngineFate::Unreached;
        let compares_starts = takes_connections && (knows_start || is_lost);
        let is_same_start = !compares_starts || self.is_same_start(&engine);
        log::info!(
            request = self.call.request.as_str(),
            engine = engine.as_str(),
            fate = fate.name(),
            is_same_start;
            "answer_ended_by_close"
        );
        let has_not_crashed = matches!(fate, EngineFate::Lives | EngineFate::Unreached | EngineFate::Left);
        has_not_crashed && is_same_start
    }

    /// Whether what takes connections at an engine's address is the start that its entry names.
    fn is_same_start(&self, engine: &EngineId) -> bool {
        let address = lock(&self.context.router)
            .engine(engine)
            .map(|state| state.engine.address);
        let wait = END_LOOK.min(routing::left(self.deadline, self.context.now()));
        let link =
            address.and_then(|address| engine_contact::take_link(self.context, engine, address, wait).ok());
        link.is_some_and(|mut link| {
            let is_confirmed = asking::confirms_start(self.context, &mut link, engine, wait);
            self.context.rest_link(engine, link, self.context.now());
            is_confirmed
        })
    }

    /// Whether this node has lost paths to engines, so that its view of one says little.
    fn doubts_own_paths(&self) -> bool {
        !lock(&self.context.engine_reach).is_complete()
    }

    fn fate(&self, engine: &EngineId, max_wait: Duration) -> EngineFate {
        let state = lock(&self.context.router).engine(engine).map(|state| {
            (
                state.engine.address,
                state.is_active(),
                state.was_replaced_unannounced(),
            )
        });
        let Some((address, stays, replaced)) = state else {
            return EngineFate::Unknown;
        };
        if replaced {
            return EngineFate::Crashed;
        }
        let now = self.context.now();
        let wait = max_wait.min(routing::left(self.deadline, now));
        // A connection that rests may not have noticed the end yet, so a new one is made.
        match engine_contact::connect(self.context, engine, address, wait) {
            Ok(link) => {
                let is_relayed = link.tunnel().is_some();
                self.context.rest_link(engine, link, now);
                if is_relayed {
                    EngineFate::Unreached
                } else {
                    EngineFate::Lives
                }
            }
            Err(failure) if !failure.shows_end() || self.doubts_own_paths() => EngineFate::Unknown,
            Err(_) if stays => EngineFate::Crashed,
            Err(_) => EngineFate::Left,
        }
    }
}
