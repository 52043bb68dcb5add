//! The pauses of one stream, and by what it came late.

use super::accounting::Account;
use super::driver::Driver;
use crate::placing;
use shelfjunction_core::placing::question::DispatchProgress;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Most pauses of one stream that are logged; the first ones show what ran beside it, and a log is bounded.
const MOST_LOGGED: u32 = 2;

/// The pauses of a stream so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamPauses {
    /// The longest.
    pub(super) longest: Duration,
    /// Pauses longer than harmless.
    too_long: u32,
}

/// By what a stream came late, as this node saw it; the way to the caller comes on top.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lateness {
    InTime,
    FirstEvent,
    Pause,
    FirstEventAndPause,
}

impl Lateness {
    /// As logs and metrics name it.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::InTime => "no",
            Self::FirstEvent => "first_event",
            Self::Pause => "pause",
            Self::FirstEventAndPause => "first_event_and_pause",
        }
    }
}

impl Driver<'_> {
    /// By what the stream is late.
    pub(super) fn lateness(&self) -> Lateness {
        let target = self.route.target_latency;
        let first = self
            .first_event_at
            .is_some_and(|at| at.since(self.arrived) > target);
        match (first, self.pauses.too_long > 0) {
            (false, false) => Lateness::InTime,
            (true, false) => Lateness::FirstEvent,
            (false, true) => Lateness::Pause,
            (true, true) => Lateness::FirstEventAndPause,
        }
    }

    /// Takes one pause; one that is too long is logged with what is believed to run beside the stream.
    pub(super) fn judge_pause(&mut self, pause: Duration, now: MonotonicTime) {
        self.pauses.longest = self.pauses.longest.max(pause);
        let Some(allowed) = self.route.event_gap.filter(|allowed| pause > *allowed) else {
            return;
        };
        self.pauses.too_long += 1;
        if self.pauses.too_long <= MOST_LOGGED {
            self.log_pause(pause, allowed, now);
        }
    }

    fn log_pause(&self, pause: Duration, allowed: Duration, now: MonotonicTime) {
        let Some(exchange) = &self.exchange else {
            return;
        };
        let engine = &exchange.engine;
        let told = exchange.head.as_ref().and_then(|head| head.told);
        // Where a placer has counted the stream, it alone knows what else runs there, and logs it.
        let beside = match &exchange.account {
            Account::Own(ticket) => {
                let mut router = lock(&self.context.router);
                router.on_event_gap_exceeded(ticket);
                Some(router.concurrent_work(engine, now))
            }
            Account::Placer { at, .. } => {
                let part = pause.as_secs_f64() / allowed.as_secs_f64().max(f64::MIN_POSITIVE);
                let hundredths = (part * 100.0).min(f64::from(u16::MAX)) as u16;
                placing::tell(self.context, at, DispatchProgress::Paused { hundredths });
                None
            }
        };
        log::info!(
            request = self.call.request.as_str(),
            engine = engine.as_str(),
            purpose = exchange.purpose.name(),
            pause_millis = pause.as_millis() as u64,
            allowed_millis = allowed.as_millis() as u64,
            events = self.events_delivered,
            since_sent_millis = now.since(exchange.sent_at).as_millis() as u64,
            outputs_beside:? = beside.map(|beside| beside.outputs),
            prompt_tokens_beside:? = beside.map(|beside| beside.prompt_tokens),
            moving_tokens_beside:? = beside.map(|beside| beside.transfer_tokens),
            work_factor_percent:? = beside.map(|beside| beside.work_factor_percent),
            told_work_time_percent:? = told.and_then(|told| told.work_time_percent);
            "paused_too_long"
        );
    }
}
