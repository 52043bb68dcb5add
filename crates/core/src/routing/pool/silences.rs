//! Requests that engines did not answer in time, observed by this node or reported by other placers.
//!
//! Placers share these observations because each of them sees only a fraction of the requests. Without the reports,
//! every placer would have to let requests time out before it avoids an engine; with eight placers,
//! eight times as many requests would.

use super::beliefs::UnansweredRequestReport;
use super::dispatches::PoolTicket;
use super::paths::PathChange;
use super::router::PoolRouter;
use crate::identity::{EngineId, ZoneId};
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Maximum number of unanswered requests queued for the next message to other placers. More of them within one round of
/// messages add no information.
const MAX_PENDING_UNANSWERED_REQUESTS: usize = 16;

/// An unanswered request that has not been reported to other placers yet.
#[derive(Clone, Debug)]
pub(super) struct PendingUnansweredRequest {
    engine: SubjectHandle,
    /// Zone of the node that sent the request.
    from: ZoneId,
    sent_at: MonotonicTime,
}

/// An engine that is avoided because it did not answer, or that gets requests again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineAvailabilityChange {
    /// Start of the engine to which the change applies.
    pub engine: EngineId,
    /// Time for which the engine is avoided; absent if it answered a request and load returns.
    pub pause: Option<Duration>,
    /// Whether the change results from a report of another node.
    pub from_peer: bool,
}

/// Maximum number of changes queued until the next call of [`PoolRouter::take_availability_changes`].
const MAX_PENDING_AVAILABILITY_CHANGES: usize = 64;

impl PoolRouter {
    /// Records that an engine did not answer a request, or accept a connection, within its timeout.
    pub fn on_unanswered_request(&mut self, ticket: &PoolTicket, now: MonotonicTime) {
        let Some(state) = self.engines.get_mut(ticket.engine()) else {
            return;
        };
        let Some(work) = state.in_flight.remove(&ticket.number()) else {
            return;
        };
        if work.fetches_from_other_region {
            self.on_distant_fetch_unanswered(now);
        }
        let Some(state) = self.engines.get_mut(ticket.engine()) else {
            return;
        };
        let pause = state.health.on_unresponsive(now);
        state.failure_rate.record_failure(now);
        let (zone, engine) = (state.engine.zone.clone(), state.handle);
        let from = ticket.sender_zone();
        if pause.is_some() {
            self.record_availability_change(ticket.engine().clone(), pause, false);
        }
        if self.pending_unanswered_requests.len() < MAX_PENDING_UNANSWERED_REQUESTS
            && self.paths.allows_transfer(from, &zone)
        {
            self.pending_unanswered_requests.push(PendingUnansweredRequest {
                engine,
                from: from.clone(),
                sent_at: work.sent_at,
            });
        }
        let engine_count = self.engine_count_in(&zone);
        self.paths
            .record_unanswered_request(from, &zone, engine, engine_count, work.sent_at, now);
    }

    /// Applies another placer's reports of unanswered requests. If `avoids_engines`, an engine is avoided for a while
    /// if it has answered no node since the reported request was sent, unless the path to its zone is suspected.
    pub fn on_unanswered_request_reports(
        &mut self,
        reports: &[UnansweredRequestReport],
        avoids_engines: bool,
        now: MonotonicTime,
    ) {
        for report in reports {
            let age = Duration::from_millis(report.sent_before_millis.into());
            let sent_at = now.earlier(age).unwrap_or_default();
            let Some(state) = self.state_of(report.engine) else {
                continue;
            };
            let zone = state.engine.zone.clone();
            let has_answered_since = state.last_answer_at.is_some_and(|at| at > sent_at);
            let engine_count = self.engine_count_in(&zone);
            self.paths.record_reported_unanswered_request(
                &report.from,
                &zone,
                report.engine,
                engine_count,
                sent_at,
                now,
            );
            let path_is_usable = self.paths.allows_transfer(&report.from, &zone);
            if let Some(state) = self.state_of(report.engine)
                && avoids_engines
                && path_is_usable
                && !has_answered_since
            {
                let pause = state.health.on_unresponsive(now);
                let engine = state.engine.id.clone();
                if pause.is_some() {
                    self.record_availability_change(engine, pause, true);
                }
            }
        }
    }

    /// Takes up to `max_reports` pending unanswered requests as reports for other placers; the rest stays for the next
    /// call.
    pub fn take_unanswered_request_reports(
        &mut self,
        max_reports: usize,
        now: MonotonicTime,
    ) -> Vec<UnansweredRequestReport> {
        let rest = self
            .pending_unanswered_requests
            .split_off(max_reports.min(self.pending_unanswered_requests.len()));
        let taken = std::mem::replace(&mut self.pending_unanswered_requests, rest);
        let reports = taken.into_iter().map(|request| UnansweredRequestReport {
            engine: request.engine,
            from: request.from,
            sent_before_millis: u32::try_from(now.since(request.sent_at).as_millis()).unwrap_or(u32::MAX),
        });
        reports.collect()
    }

    /// Whether unanswered requests wait to be reported to other placers.
    pub fn has_pending_unanswered_requests(&self) -> bool {
        !self.pending_unanswered_requests.is_empty()
    }

    /// Takes the state changes of the paths between zones since the last call.
    pub fn take_path_changes(&mut self) -> Vec<PathChange> {
        self.paths.take_changes()
    }

    /// Takes the changes of engine availability since the last call.
    pub fn take_availability_changes(&mut self) -> Vec<EngineAvailabilityChange> {
        std::mem::take(&mut self.availability_changes)
    }

    pub(super) fn record_availability_change(
        &mut self,
        engine: EngineId,
        pause: Option<Duration>,
        from_peer: bool,
    ) {
        if self.availability_changes.len() < MAX_PENDING_AVAILABILITY_CHANGES {
            self.availability_changes.push(EngineAvailabilityChange {
                engine,
                pause,
                from_peer,
            });
        }
    }

    fn engine_count_in(&self, zone: &ZoneId) -> usize {
        let engines = self.engines.values();
        engines.filter(|state| state.engine.zone == *zone).count()
    }
}
