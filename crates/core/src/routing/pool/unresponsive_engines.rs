//! Engines that fell silent: what this node's requests show, and what other placers tell of theirs.
//!
//! One placer of a large fleet sees an eighth of the requests. Until each had learned of every silent engine and path by
//! itself, eight times as many requests waited for them.

use super::dispatches::PoolTicket;
use super::paths::PathChange;
use super::peer_reports::SilenceReport;
use super::router::PoolRouter;
use crate::identity::{EngineId, ZoneId};
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Most silences that wait to be told; more within one round of messages tell nothing new.
const MAX_PENDING_SILENCES: usize = 16;

/// A silence that has not been told yet.
#[derive(Clone, Debug)]
pub(super) struct PendingSilence {
    engine: SubjectHandle,
    from: ZoneId,
    sent_at: MonotonicTime,
}

/// An engine that is left alone because it said nothing, or that is used again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineAvailabilityChange {
    /// The engine.
    pub engine: EngineId,
    /// For how long it is left alone; absent where load returns because it has answered somebody.
    pub pause: Option<Duration>,
    /// Whether another node told.
    pub from_peer: bool,
}

/// Most changes that wait to be taken.
const MAX_PENDING_CHANGES: usize = 64;

impl PoolRouter {
    /// Notes that an engine said nothing for too long, or that no connection to it could be made in time.
    pub fn on_silence(&mut self, ticket: &PoolTicket, now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(ticket.engine()) else {
            return;
        };
        let Some(work) = state.in_flight.remove(&ticket.number()) else {
            return;
        };
        let pause = state.health.on_unresponsive(now);
        state.breaks.record_failure(now);
        let (zone, engine) = (state.engine.zone.clone(), state.handle);
        let from = ticket.from();
        if pause.is_some() {
            self.record_availability_change(ticket.engine().clone(), pause, false);
        }
        if self.pending_silences.len() < MAX_PENDING_SILENCES && self.paths.allows_transfer(from, &zone) {
            self.pending_silences.push(PendingSilence {
                engine,
                from: from.clone(),
                sent_at: work.sent_at,
            });
        }
        let engines = self.engines_in(&zone);
        self.paths
            .record_silence(from, &zone, engine, engines, work.sent_at, now);
    }

    /// Takes another placer's word of engines that fell silent. What nobody has heard since the request was sent is left
    /// alone for a moment where `leaves_alone`, unless the path to it is what is suspected.
    pub fn on_peer_silence_reports(
        &mut self,
        words: &[SilenceReport],
        leaves_alone: bool,
        now: MonotonicTime,
    ) {
        for word in words {
            let sent_before = Duration::from_millis(word.sent_before_millis.into());
            let sent_at = now.earlier(sent_before).unwrap_or_default();
            let Some(state) = self.state_by_handle(word.engine) else {
                continue;
            };
            let zone = state.engine.zone.clone();
            let is_heard = state.last_answer_at.is_some_and(|at| at > sent_at);
            let engines = self.engines_in(&zone);
            self.paths
                .record_reported_silence(&word.from, &zone, word.engine, engines, sent_at, now);
            let path_works = self.paths.allows_transfer(&word.from, &zone);
            if let Some(state) = self.state_by_handle(word.engine)
                && leaves_alone
                && path_works
                && !is_heard
            {
                let pause = state.health.on_unresponsive(now);
                let engine = state.engine.id.clone();
                if pause.is_some() {
                    self.record_availability_change(engine, pause, true);
                }
            }
        }
    }

    /// Silences since the last call, for other placers; at most `most`, the rest follows at the next call.
    pub fn take_silence_reports(&mut self, most: usize, now: MonotonicTime) -> Vec<SilenceReport> {
        let rest = self
            .pending_silences
            .split_off(most.min(self.pending_silences.len()));
        let told = std::mem::replace(&mut self.pending_silences, rest);
        let words = told.into_iter().map(|silence| SilenceReport {
            engine: silence.engine,
            from: silence.from,
            sent_before_millis: u32::try_from(now.since(silence.sent_at).as_millis()).unwrap_or(u32::MAX),
        });
        words.collect()
    }

    /// Whether there are silences to tell.
    pub fn has_pending_silence_reports(&self) -> bool {
        !self.pending_silences.is_empty()
    }

    /// Changes of what is believed of the paths between zones since the last call.
    pub fn take_path_changes(&mut self) -> Vec<PathChange> {
        self.paths.take_changes()
    }

    /// Engines that were left alone or are used again since the last call.
    pub fn take_availability_changes(&mut self) -> Vec<EngineAvailabilityChange> {
        std::mem::take(&mut self.availability_changes)
    }

    pub(super) fn record_availability_change(
        &mut self,
        engine: EngineId,
        pause: Option<Duration>,
        from_peer: bool,
    ) {
        if self.availability_changes.len() < MAX_PENDING_CHANGES {
            self.availability_changes.push(EngineAvailabilityChange {
                engine,
                pause,
                from_peer,
            });
        }
    }

    fn engines_in(&self, zone: &ZoneId) -> usize {
        let engines = self.engines.values();
        engines.filter(|state| state.engine.zone == *zone).count()
    }
}
