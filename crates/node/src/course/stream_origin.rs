//! Where the events of an answer come from.

use super::driver::Driver;
use super::exchange::{Exchange, Purpose};
use crate::asking;
use crate::links::Connection;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use shelfjunction_core::forwarding::{RepeatRule, max_wait};
use shelfjunction_core::identity::{EngineId, EngineStart};
use shelfjunction_core::routing::pool::PoolEngine;
use shelfjunction_core::streams::{LIFETIME_IN_TIMEOUTS, StreamKey, StreamOrigin, StreamRecord};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Time between two choices while no engine of a stream's version takes work.
const RECHOOSE_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for an engine of the version of a stream that a caller takes up: it may as well be refused.
const MAX_CONTINUATION_WAIT: Duration = Duration::from_millis(1_500);

impl Driver<'_> {
    /// The origin of a stream that begins at an engine.
    pub(super) fn origin_at(&self, engine: &EngineId) -> StreamOrigin {
        let listed = lock(&self.context.router)
            .engine(engine)
            .map(|state| StreamOrigin::of(&state.engine));
        listed.unwrap_or_else(|| StreamOrigin::at(engine, None))
    }

    /// Whether an engine may produce the next events of the answer.
    pub(super) fn may_continue_at(&self, engine: &PoolEngine) -> bool {
        self.origin
            .as_ref()
            .is_none_or(|origin| origin.allows_engine(engine))
    }

    /// Whether an engine with this origin may produce the next events of the answer.
    pub(super) fn may_continue_as(&self, origin: &StreamOrigin) -> bool {
        self.origin
            .as_ref()
            .is_none_or(|began| began.allows(origin.start, origin.software_version.as_ref()))
    }

    /// Learns which start of an engine a request goes to, where starts share a name: the engine compares only the name. A later start than
    /// the listed one may take it, unless the software version of a stream that begins or is continued there must be known. False
    /// where the request can't go there over this connection.
    pub(super) fn may_take_request(
        &self,
        link: &mut Connection,
        engine: &EngineId,
        purpose: Purpose,
        wait: Duration,
    ) -> bool {
        if purpose == Purpose::Prompt || engine.start() == EngineStart::default() {
            return true;
        }
        let start = asking::learn_start(self.context, link, engine, wait);
        if self.route.repeat == RepeatRule::Resumable {
            start == Some(engine.start())
        } else {
            start.is_some() || link.rest().is_some()
        }
    }

    /// Whether the request waits for an engine that may continue its stream: engines of the version are listed, and the caller has
    /// not waited too long. Call after a choice that found none.
    pub(super) fn waits_for_continuation(&mut self, now: MonotonicTime) -> bool {
        // A kept run goes on instead.
        if self.kept_run.is_some() || self.origin.is_none() || now + RECHOOSE_INTERVAL >= self.deadline {
            return false;
        }
        let since = *self.without_engine_since.get_or_insert(now);
        let has_engine = lock(&self.context.router).has_continuing_engine(&self.query(&[], now));
        // A stream that has begun can't be refused any more, so it waits as long as its caller does.
        let max_wait = if self.events_open {
            max_wait::caller_gap(self.route)
        } else {
            MAX_CONTINUATION_WAIT
        };
        let waits = has_engine && now.since(since) < max_wait;
        log::info!(
            request = self.call.request.as_str(),
            began_at = self.origin.as_ref().map_or("unknown", StreamOrigin::version_name),
            has_engine,
            waited_millis = now.since(since).as_millis() as u64,
            waits;
            "continuation_without_engine"
        );
        waits
    }

    /// Waits until engines are to be chosen again, or the caller leaves.
    pub(super) fn wait_to_choose_again(&mut self) {
        let timeout = Timespec::try_from(RECHOOSE_INTERVAL).unwrap_or_default();
        if !self.watch_caller {
            std::thread::sleep(RECHOOSE_INTERVAL);
            return;
        }
        let mut waits = [PollFd::from_borrowed_fd(self.caller.descriptor(), PollFlags::IN)];
        // An interrupted wait only leads to an earlier choice.
        let _ = poll(&mut waits, Some(&timeout));
        if waits[0].revents().is_empty() {
            return;
        }
        if self.caller.is_gone() && !self.context.state.is_closing() {
            self.caller_gone = true;
        } else {
            self.watch_caller = false;
        }
    }

    /// Notes the engine of an event that is about to be passed to the caller.
    pub(super) fn note_event_origin(&mut self) {
        let is_first = |exchange: &mut Exchange| !std::mem::replace(&mut exchange.has_passed_events, true);
        if !self.exchange.as_mut().is_some_and(is_first) {
            return;
        }
        let Some(exchange) = &self.exchange else {
            return;
        };
        match &self.origin {
            None => {
                self.log_begun(exchange);
                let origin = self.origin_at(&exchange.engine).or_earlier(&exchange.origin);
                self.report_origin(&origin);
                self.origin = Some(origin);
            }
            Some(began) => self.log_continued(exchange, began),
        }
    }

    /// Reports the origin to other nodes, ahead of the event: the caller may take the stream up as soon as it has that.
    fn report_origin(&self, origin: &StreamOrigin) {
        if self.route.repeat != RepeatRule::Resumable {
            return;
        }
        let keys = [
            StreamKey::of(self.access.tenant.as_ref(), &self.call.request),
            StreamKey::of_content(&self.subjects.request, self.call.prompt.as_ref()),
        ];
        let record = StreamRecord {
            pool: self.pool.clone(),
            origin: origin.clone(),
        };
        let lifetime = self.route.timeout * LIFETIME_IN_TIMEOUTS;
        self.context
            .stream_origins
            .report(self.context, keys, record, lifetime);
    }

    fn log_begun(&self, exchange: &Exchange) {
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            start:% = exchange.engine.start(),
            software_version = exchange.origin.version_name();
            "stream_began"
        );
    }

    fn log_continued(&self, exchange: &Exchange, began: &StreamOrigin) {
        let comparison = self
            .context
            .metrics
            .streams
            .count_continued(began, &exchange.origin);
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            start:% = exchange.engine.start(),
            began_at = began.version_name(),
            software_version = exchange.origin.version_name(),
            version = comparison,
            after_event:? = self.machine.last_event();
            "stream_continued"
        );
    }
}
