//! The waits of a course: for its engine, its caller, and the times that end it.

use super::crash_evidence::SILENT;
use super::driver::Driver;
use super::exchange::Exchange;
use crate::context::Context;
use crate::ports::EngineReading;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use shelfjunction_core::forwarding::{Delivery, max_wait};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::request::event::Event;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Longest wait in the kernel, whose clock stands still while the machine is suspended: a request whose time ran out meanwhile
/// is ended no later than this after it goes on, and one that waits notices as soon that the process stops.
pub(super) const LONGEST_POLL: Duration = Duration::from_millis(500);

impl Driver<'_> {
    /// Waits until the engine has something to say, the caller leaves or a time is over.
    pub(super) fn wait(&mut self) -> Option<Event> {
        self.heed_stop();
        let now = self.context.now();
        if now >= self.deadline {
            return Some(self.time_over());
        }
        if self.caller_gone {
            return Some(Event::CallerGone);
        }
        let reads_on = match self.hand_on() {
            Delivery::LetGo => return Some(Event::CallerGone),
            delivery => delivery == Delivery::ReadOn && self.has_room_for_answer(),
        };
        if let Some(event) = self.review_kept_run(now) {
            return Some(event);
        }
        if let Some(event) = self.push_and_read(reads_on) {
            return Some(event);
        }
        self.exchange.as_ref()?;
        self.poll(now, reads_on)
    }

    /// Whether the account allows more of the engine's answer to be read.
    fn has_room_for_answer(&self) -> bool {
        let exchange = self.exchange.as_ref();
        exchange.is_none_or(|exchange| exchange.held_answer.reads_on())
    }

    /// Hands on what the caller takes now, and looks whether it takes enough.
    fn hand_on(&mut self) -> Delivery {
        if self.caller.undelivered() == 0 && !self.undelivered.any() {
            return Delivery::ReadOn;
        }
        let left = self.caller.deliver().is_err();
        let delivery = self.undelivered.look(self.caller);
        if !left && delivery == Delivery::LetGo {
            self.undelivered.let_go(&self.call.request);
        }
        self.caller_gone = left || delivery == Delivery::LetGo;
        if self.caller_gone {
            return Delivery::LetGo;
        }
        delivery
    }

    fn push_and_read(&mut self, reads_on: bool) -> Option<Event> {
        let exchange = self.exchange.as_mut()?;
        if !exchange.all_sent {
            match exchange.link.push() {
                Ok(all_sent) => exchange.all_sent = all_sent,
                Err(_) => return Some(self.broken("write_failed")),
            }
        }
        if !reads_on {
            // What the engine has to say waits for the caller, so its silence means nothing.
            let now = self.context.now();
            let max_wait = max_wait::next_event(self.route);
            exchange.restart_wait(now, max_wait);
            exchange.reads_again = false;
            // Nor is the pause until its next event the engine's.
            self.last_event_at = self.last_event_at.map(|_| now);
            return None;
        }
        let reading = self.read_engine()?;
        self.exchange.as_mut()?.reads_again = reading == EngineReading::ReadAgain;
        self.on_reading(reading)
    }

    fn poll(&mut self, now: MonotonicTime, reads_on: bool) -> Option<Event> {
        let exchange = self.exchange.as_ref()?;
        let silent_from = silent_from(self.context, exchange);
        let until = silent_from.map_or(self.deadline, |silent| silent.min(self.deadline));
        let max_wait = if exchange.reads_again {
            Duration::ZERO
        } else {
            let longest = self.kept_run_wait().unwrap_or(LONGEST_POLL);
            until.since(now).min(longest)
        };
        let timeout = Timespec::try_from(max_wait).unwrap_or_default();
        let mut engine_flags = PollFlags::empty();
        if reads_on {
            engine_flags |= PollFlags::IN;
        }
        if !exchange.all_sent {
            engine_flags |= PollFlags::OUT;
        }
        let caller_readable = {
            let mut waits = Vec::with_capacity(3);
            // A connection that was reset is reported whatever is asked, again and again until it is read.
            if !engine_flags.is_empty() {
                waits.push(PollFd::from_borrowed_fd(exchange.link.descriptor(), engine_flags));
            }
            let first_of_caller = waits.len();
            let mut caller_flags = PollFlags::empty();
            if self.watch_caller {
                caller_flags |= PollFlags::IN;
            }
            if self.undelivered.any() {
                caller_flags |= PollFlags::OUT;
            }
            if !caller_flags.is_empty() {
                waits.push(PollFd::from_borrowed_fd(self.caller.descriptor(), caller_flags));
            }
            let watches_caller = waits.len() > first_of_caller;
            if let Some(kept) = &self.kept_run {
                let descriptor = kept.exchange().link.descriptor();
                waits.push(PollFd::from_borrowed_fd(descriptor, PollFlags::IN));
            }
            // An interrupted wait is begun again by the next round.
            let _ = poll(&mut waits, Some(&timeout));
            let takes_more = PollFlags::OUT;
            waits
                .get(first_of_caller)
                .filter(|_| watches_caller)
                .is_some_and(|wait| !wait.revents().difference(takes_more).is_empty())
        };
        if caller_readable {
            // A stop says that it closes before it ends the reading from callers: asked in the other order, a connection that
            // was closed from here between the two questions would look like a caller that left.
            if self.caller.is_gone() && !self.context.state.is_closing() {
                self.caller_gone = true;
                return Some(Event::CallerGone);
            }
            // The caller has sent its next call already, or this side has stopped reading: only writing will show
            // whether it left.
            self.watch_caller = false;
        }
        let now = self.context.now();
        let silent = silent_from.is_some_and(|silent| now >= silent);
        if silent && now < self.deadline {
            return self.push_and_read(reads_on).or_else(|| self.silent(now));
        }
        None
    }

    /// The engine's time to answer is over. One that answers others is only busy: asking another
    /// engine would have the prompt read twice.
    fn silent(&mut self, now: MonotonicTime) -> Option<Event> {
        let exchange = self.exchange.as_mut()?;
        let lives = lives(self.context, exchange, now);
        if !lives {
            // Whatever made this connection silent may have struck those that rest as well, here and at the engine that is
            // asked next, and each would cost a caller this wait; a new one is open within a few milliseconds.
            self.context.links.forget(&exchange.engine);
            self.distrusts_resting = true;
            // An answer that has begun can only be cut, so its run is not dropped for a search that may find nothing.
            if self.events_open && self.kept_run.is_none() {
                return Some(self.keep_run(now));
            }
            return Some(self.broken(SILENT));
        }
        let waited = now.since(exchange.asked_at);
        exchange.asked_at = now;
        exchange.silent_from = Some(now + waited);
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            waited_millis = waited.as_millis() as u64;
            "waits_longer"
        );
        None
    }
}

/// Instant from which an engine counts as silent: at once where this node has lost its links since it was asked.
fn silent_from(context: &Context, exchange: &Exchange) -> Option<MonotonicTime> {
    let silent_from = exchange.silent_from?;
    if !is_cut_off(context, exchange) {
        return Some(silent_from);
    }
    Some(silent_from.min(exchange.asked_at))
}

/// Whether no engine is reached over links of the kind that carries an exchange.
fn is_cut_off(context: &Context, exchange: &Exchange) -> bool {
    let since = lock(&context.engine_reach).isolated_since();
    exchange.link.tunnel().is_none() && since.is_some_and(|since| since >= exchange.asked_at)
}

/// Whether an engine has answered anybody a moment ago, as far as this node or the placer that chose it knows; false where this
/// node would not see its answer.
fn lives(context: &Context, exchange: &Exchange, now: MonotonicTime) -> bool {
    if is_cut_off(context, exchange) {
        return false;
    }
    let told = exchange.account.placer().and_then(|at| {
        let engine = SubjectHandle::of_engine(&exchange.engine);
        context.placements.ask_liveness(context, engine, at)
    });
    told.unwrap_or_else(|| {
        lock(&context.router)
            .engine(&exchange.engine)
            .is_some_and(|state| state.answered_recently(now))
    })
}
