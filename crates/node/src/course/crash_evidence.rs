//! Whether an engine has ended whose connection broke: one that has lost an answer, reset a connection or sent what can't be read still
//! takes connections, one that has ended refuses them. A refusal counts only where other engines are reached. Where a connection ended an
//! answer, only the engine's own word shows that it lives.

use super::driver::Driver;
use super::exchange::Exchange;
use super::routing;
use crate::asking;
use crate::engine_contact;
use crate::links::Connection;
use crate::ports::EngineReading;
use shelfjunction_core::forwarding::max_wait;
use shelfjunction_core::identity::{EngineId, EngineStart};
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a connection that only shows whether its engine lives. An engine that has ended refuses within a
/// round trip, 3 ms between zones; the request waits for it.
const LOOK: Duration = Duration::from_millis(60);

/// Longest wait for one answer of an engine whose connection ended an answer and that is asked whether it lives.
const END_LOOK: Duration = Duration::from_secs(1);

/// Pause before such an engine is asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(50);

/// Why a connection broke that says nothing of its engine's end: connecting would only wait as long again.
pub(super) const SILENT: &str = "silent";

/// Why an answer counts as broken whose end only its connection told, and whose engine did not confirm that it lives.
pub(super) const END_NOT_CONFIRMED: &str = "end_not_confirmed";

/// Why nothing could be asked of an engine that takes no connection any more.
const CONNECTION_REFUSED: &str = "connection_refused";

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

/// What a start of an engine says of itself after the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// It lives.
    Confirmed,
    /// Something else answers at its address.
    Replaced,
    /// It could not be asked, or did not say; the cause.
    Unknown(&'static str),
}

impl Presence {
    fn name(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Replaced => "replaced",
            Self::Unknown(cause) => cause,
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

    /// Whether an answer whose end only its connection told is whole. The connections of an engine that ends, as planned or not, close in the
    /// same way, so the start that answered must say afterwards that it lives. A series without any event has not begun.
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
        let (engine, address) = (exchange.engine.clone(), exchange.address);
        // Starts that share a name follow one another: where the one that was there before the request is there after the answer,
        // no other has answered.
        let start = exchange.link.reported_start().unwrap_or(engine.start());
        let presence = self.await_presence(&engine, address, start);
        log::info!(
            request = self.call.request.as_str(),
            engine = engine.as_str(),
            start:%,
            presence = presence.name();
            "answer_ended_by_close"
        );
        presence == Presence::Confirmed
    }

    /// Asks whether a start of an engine lives, again while it is too busy to say, for as long as the caller waits for the next event.
    fn await_presence(&mut self, engine: &EngineId, address: SocketAddr, start: EngineStart) -> Presence {
        let until = self.context.now() + max_wait::caller_gap(self.route);
        loop {
            self.heed_stop();
            let left = routing::left(until.min(self.deadline), self.context.now());
            let presence = self.presence(engine, address, start, left.min(END_LOOK));
            let is_final = !matches!(presence, Presence::Unknown(cause) if cause != CONNECTION_REFUSED);
            if is_final || left <= ASK_AGAIN_AFTER {
                return presence;
            }
            self.context.stop.wait(ASK_AGAIN_AFTER);
        }
    }

    /// Asks whether a start of an engine lives.
    fn presence(
        &self,
        engine: &EngineId,
        address: SocketAddr,
        start: EngineStart,
        max_wait: Duration,
    ) -> Presence {
        let until = self.context.now() + max_wait;
        let left = || routing::left(until, self.context.now());
        // A connection that rests may not have noticed an end yet. Where the engine takes no more connections, one may still do.
        let connected = engine_contact::connect(self.context, engine, address, left());
        match connected.map(|link| self.presence_over(link, engine, start, left())) {
            Err(failure) if failure.shows_end() => Presence::Unknown(CONNECTION_REFUSED),
            Ok(Presence::Unknown(_)) | Err(_) if !left().is_zero() => {
                let resting = engine_contact::take_link(self.context, engine, address, left());
                resting.map_or(Presence::Unknown("not_connected"), |link| {
                    self.presence_over(link, engine, start, left())
                })
            }
            asked => asked.unwrap_or(Presence::Unknown("not_connected")),
        }
    }

    fn presence_over(
        &self,
        mut link: Connection,
        engine: &EngineId,
        start: EngineStart,
        wait: Duration,
    ) -> Presence {
        let presence = match asking::check_identity(self.context, &mut link, engine, start, wait) {
            Ok(true) => Presence::Confirmed,
            Ok(false) => Presence::Replaced,
            Err(cause) => Presence::Unknown(cause),
        };
        if presence == Presence::Confirmed {
            link.note_reported_start(start);
            self.context.rest_link(engine, link, self.context.now());
        }
        presence
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
