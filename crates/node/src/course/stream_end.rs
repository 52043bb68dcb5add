//! Who ended a stream that had begun and is closed without its end, and what had been planned shortly before.

use super::crash_evidence::{END_NOT_CONFIRMED, SILENT};
use super::driver::{Driver, End};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::outcome::{Failure, Outcome};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// The last dispatch of a request that broke.
pub(super) struct BrokenDispatch {
    pub(super) engine: EngineId,
    /// Why it counts as broken.
    pub(super) cause: &'static str,
    /// How long its engine had said nothing.
    pub(super) silence: Duration,
}

/// Who closed a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndedBy {
    Caller,
    Deadline,
    Engine,
    /// This node's own conclusion: its engine had not ended the stream.
    Node,
    Stop,
}

impl EndedBy {
    /// As logs and metrics name it.
    fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Deadline => "deadline",
            Self::Engine => "engine",
            Self::Node => "node",
            Self::Stop => "stop",
        }
    }
}

impl Driver<'_> {
    /// Logs and counts a stream that is closed without its end.
    pub(super) fn note_stream_cut(&self, end: &End, now: MonotonicTime) {
        let is_cut = self.events_open && !matches!(end, End::Finished(Outcome::Completed));
        if !is_cut {
            return;
        }
        let ended_by = self.ended_by(end);
        let broken = self.last_broken.as_ref();
        let cause = broken.map_or("none", |broken| broken.cause);
        let not_continued = self.not_continued.unwrap_or("none");
        let streams = &self.context.metrics.streams;
        streams.count_cut(ended_by.name(), cause, not_continued);
        let millis = |age: Option<Duration>| age.map(|age| age.as_millis() as u64);
        let config_age = self.context.config_age();
        log::info!(
            request = self.call.request.as_str(),
            route:% = self.route.id,
            ended_by = ended_by.name(),
            cause,
            not_continued,
            engine = broken.map_or("none", |broken| broken.engine.as_str()),
            silent_millis:? = millis(broken.map(|broken| broken.silence)),
            events = self.events_delivered,
            left_millis = self.deadline.since(now).as_millis() as u64,
            config_version:? = config_age.map(|(version, _)| version),
            since_configuration_millis:? = millis(config_age.map(|(_, age)| age)),
            since_reload_millis:? = millis(self.context.reload_age()),
            since_stop_millis:? = millis(self.context.stop_age());
            "stream_cut"
        );
    }

    fn ended_by(&self, end: &End) -> EndedBy {
        let failure = match end {
            End::CallerGone => return EndedBy::Caller,
            End::Finished(Outcome::Failed(failure) | Outcome::Unknown(failure)) => Some(*failure),
            End::Finished(Outcome::Completed | Outcome::NotRun(_)) => None,
        };
        match (failure, &self.last_broken) {
            (Some(Failure::NodeStopped), _) => EndedBy::Stop,
            (Some(Failure::DeadlinePassed), _) => EndedBy::Deadline,
            (_, Some(broken)) if ![SILENT, END_NOT_CONFIRMED].contains(&broken.cause) => EndedBy::Engine,
            _ => EndedBy::Node,
        }
    }
}
