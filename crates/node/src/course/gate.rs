//! The gate through which every request to an engine leaves: what the engine said of itself, and its rate limit.

use super::accounting::PlacedChoice;
use super::driver::Driver;
use super::exchange::Purpose;
use super::routing;
use super::waiting::LONGEST_POLL;
use crate::placing;
use crate::rate_limits;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use shelfjunction_core::engine_signals::MAX_BACKOFF;
use shelfjunction_core::identity::{AttemptId, EngineId};
use shelfjunction_core::placing::question::DispatchProgress;
use shelfjunction_core::rate_limit::Slot;
use shelfjunction_core::rate_limit::max_wait::WaitFactors;
use shelfjunction_core::request::event::Event;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Shortest time after which a caller is asked to come back where no engine accepts requests.
const LEAST_RETURN: Duration = Duration::from_millis(100);

/// The longest: that of the longest backoff.
const MOST_RETURN: Duration = MAX_BACKOFF;

/// Longest time by which that is lengthened at random, so that not all callers come at once: that in which load returns to an
/// engine. A shorter wait is doubled at most.
const RETURN_SPREAD: Duration = Duration::from_secs(1);

impl Driver<'_> {
    /// What becomes of a dispatch instead where its engine takes nothing now; takes a slot for it, and waits for that, where the
    /// engine names a rate limit. Every request to an engine passes here, also one that a placer chose or that was sent before:
    /// what held for some ways to an engine only would not hold.
    pub(super) fn pass_gate(
        &mut self,
        choice: Option<&PlacedChoice>,
        engine: &EngineId,
        attempt: &AttemptId,
        purpose: Purpose,
    ) -> Option<Event> {
        let instead = self
            .withheld_from_queue(engine, attempt)
            .or_else(|| self.not_accepted(engine, attempt, purpose))
            .or_else(|| self.take_slot(choice, engine, attempt, purpose))
            // The engine may have said more while the request waited for its slot.
            .or_else(|| self.not_accepted(engine, attempt, purpose));
        if let Some(choice) = choice.filter(|_| instead.is_some()) {
            placing::tell(self.context, &choice.at, DispatchProgress::Abandoned);
        }
        instead
    }

    fn not_accepted(&mut self, engine: &EngineId, attempt: &AttemptId, purpose: Purpose) -> Option<Event> {
        let cause = lock(&self.context.router).not_accepting(engine, self.context.now())?;
        log::info!(
            request = self.call.request.as_str(),
            engine = engine.as_str(),
            purpose = purpose.name(),
            cause = cause.name(),
            remaining_millis:? = cause.remaining().map(|remaining| remaining.as_millis() as u64);
            "dispatch_held_back"
        );
        self.context.metrics.signals.held_back(cause.name());
        self.last_not_sent = true;
        Some(Event::NotSent {
            attempt: attempt.clone(),
        })
    }

    fn take_slot(
        &mut self,
        choice: Option<&PlacedChoice>,
        engine: &EngineId,
        attempt: &AttemptId,
        purpose: Purpose,
    ) -> Option<Event> {
        let max_wait = self.max_wait_of(purpose, self.context.now());
        let (limit, slot) = rate_limits::take_slot(self.context, engine, max_wait)?;
        log::info!(
            request = self.call.request.as_str(),
            engine = engine.as_str(),
            purpose = purpose.name(),
            rate_limit:% = limit,
            max_wait_millis = max_wait.as_millis() as u64,
            slot:? = slot;
            "slot_asked"
        );
        let instead = match slot {
            Slot::After(wait) => self.wait_for_slot(wait),
            Slot::NotInTime(_) => {
                self.last_not_sent = true;
                Some(Event::NotSent {
                    attempt: attempt.clone(),
                })
            }
        };
        if let Some(choice) = choice.filter(|_| instead.is_some()) {
            // It chose the engine without asking for a slot, and knows now when there is one.
            rate_limits::notify_placer(self.context, engine, choice.at.address);
        }
        instead
    }

    /// Longest wait for a slot; `purpose` is what the engine is for, where it is known.
    fn max_wait_of(&self, purpose: Purpose, now: MonotonicTime) -> Duration {
        let waiting = WaitFactors {
            rank: self.rank(),
            remaining: routing::left(self.deadline, now),
            is_retry_or_prefilled: self.returned || purpose == Purpose::Output,
            overuse_factor: self.overuse_factor,
        };
        waiting.max_wait()
    }

    /// The same before an engine is chosen.
    pub(super) fn slot_max_wait(&self, now: MonotonicTime) -> Duration {
        let purpose = if self.prompt_is_read {
            Purpose::Output
        } else {
            Purpose::Whole
        };
        self.max_wait_of(purpose, now)
    }

    /// Waits for a slot; what ends the wait before it comes.
    fn wait_for_slot(&mut self, wait: Duration) -> Option<Event> {
        let until = self.context.now() + wait;
        loop {
            self.heed_stop();
            let now = self.context.now();
            let left = until.since(now).min(LONGEST_POLL);
            if left.is_zero() {
                return None;
            }
            if now >= self.deadline {
                return Some(self.time_over());
            }
            let flags = if self.watch_caller {
                PollFlags::IN
            } else {
                PollFlags::empty()
            };
            let timeout = Timespec::try_from(left).unwrap_or_default();
            let mut caller = [PollFd::from_borrowed_fd(self.caller.descriptor(), flags)];
            // An interrupted wait is begun again by the next round.
            let _ = poll(&mut caller, Some(&timeout));
            if caller[0].revents().is_empty() {
                continue;
            }
            if self.caller.is_gone() && !self.context.state.is_closing() {
                self.caller_gone = true;
                return Some(Event::CallerGone);
            }
            self.watch_caller = false;
            // A reset shows whatever is watched; the next write says so.
            self.context
                .stop
                .wait(until.since(self.context.now()).min(LONGEST_POLL));
        }
    }

    /// When a caller should come back where what engines said of themselves left none for its request: when one accepts requests
    /// again, spread so that not all callers come at once.
    pub(super) fn return_when_accepted(&self) -> Option<Duration> {
        let now = self.context.now();
        let next = lock(&self.context.router).time_until_accepted(&self.query(&[], now), now)?;
        log::info!(
            request = self.call.request.as_str(),
            accepted_in_millis = next.as_millis() as u64;
            "no_engine_accepts"
        );
        self.context.metrics.signals.held_back("no_engine_accepts");
        let spread = next
            .min(RETURN_SPREAD)
            .mul_f64(self.draw as f64 / u64::MAX as f64);
        Some((next + spread).clamp(LEAST_RETURN, MOST_RETURN))
    }
}
