//! How long an engine's answers are, and how long its work takes on a machine that others use as well.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Body of a request whose answer is longer than the buffers between an engine and a caller hold.
pub const LONG_ANSWER_BODY: &str = "wants a long answer";

/// Events of a long answer.
pub const LONG_ANSWER_EVENTS: u64 = 80;

/// Bytes with which each event of a long answer is filled up; together 5 MB, more than the kernel keeps for a caller that doesn't
/// read: nodes set to let callers go after 0.3 s did so 45 times in a calm run of 30 s.
pub const FILLING_BYTES: usize = 65_000;

/// What work takes on a machine that does nothing else.
pub const USUAL_PACE_PERCENT: u32 = 100;

/// Work of one event or one short answer, of which only what others on the machine add is waited for.
const WORK: Duration = Duration::from_millis(10);

/// Begin of the body of a request whose events name the software version of their engine.
pub const VERSIONED_BODY: &str = "names versions";

/// Whether the events of a request's answer name the version.
pub fn names_versions(body: &[u8]) -> bool {
    body.starts_with(VERSIONED_BODY.as_bytes())
}

/// One event that names the software version of its engine.
pub fn versioned_event(id: u64, software_version: &str) -> String {
    format!("id: {id}\ndata: {id} {software_version}\n\n")
}

/// End of the body of a request whose stream breaks at the engine that begins it, and not at one that continues it.
pub const BREAKING_BODY: &str = "breaks at its first engine";

/// Events before the break.
pub const EVENTS_BEFORE_BREAK: u64 = 2;

/// Whether the stream of a request with this body breaks at the engine that begins it.
pub fn breaks_at_first(body: &[u8]) -> bool {
    body.ends_with(BREAKING_BODY.as_bytes())
}

/// Begin of the body of a request whose stream takes seconds.
pub const LASTING_ANSWER_BODY: &str = "wants a lasting answer";

/// Body of a request whose stream takes seconds, and whose first engine says nothing for a while in the middle.
pub const STALLING_ANSWER_BODY: &str = "wants a lasting answer that stalls";

/// Events of a stream that takes seconds.
pub const LASTING_ANSWER_EVENTS: u64 = 15;

/// Time between two of them.
const LASTING_EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Event before which a stream stalls.
const STALLED_EVENT: u64 = 8;

/// How long it stalls: longer than nodes wait for the next event.
const STALL: Duration = Duration::from_millis(1_400);

/// Begin of the body of a request whose answer takes a while, so that it is aboard when its engine crashes over another one.
pub const SLOW_ANSWER_BODY: &str = "wants a slow answer";

/// Time between two events of a slow answer.
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(40);

/// Body of a short call that its engine works on for a while.
pub const WORKING_ANSWER_BODY: &str = "wants work";

/// How long it works on one.
const LONG_WORK: Duration = Duration::from_millis(50);

/// Time before the answer to a short call with this body, on a machine that does nothing else.
pub fn answer_pause(body: &[u8]) -> Duration {
    if body == WORKING_ANSWER_BODY.as_bytes() {
        LONG_WORK
    } else {
        Duration::ZERO
    }
}

/// Time before an event of the answer to a request with this body, on a machine that does nothing else; `begins` is whether the stream
/// begins at this engine.
pub fn event_pause(body: &[u8], id: u64, begins: bool) -> Duration {
    if begins && id == STALLED_EVENT && body == STALLING_ANSWER_BODY.as_bytes() {
        STALL
    } else if is_lasting(body) {
        LASTING_EVENT_PAUSE
    } else if body.starts_with(SLOW_ANSWER_BODY.as_bytes()) {
        SLOW_EVENT_PAUSE
    } else {
        Duration::ZERO
    }
}

/// Whether a request's body asks for a long answer.
pub fn wants_long_answer(body: &[u8]) -> bool {
    body == LONG_ANSWER_BODY.as_bytes()
}

fn is_lasting(body: &[u8]) -> bool {
    body.starts_with(LASTING_ANSWER_BODY.as_bytes())
}

/// Events of the answer to a request with this body, where others have so many as is usual.
pub fn answer_events(body: &[u8], usual: u64) -> u64 {
    if wants_long_answer(body) {
        LONG_ANSWER_EVENTS
    } else if is_lasting(body) {
        LASTING_ANSWER_EVENTS
    } else {
        usual
    }
}

/// One event of an answer.
pub fn event(id: u64, is_long: bool) -> String {
    if is_long {
        format!("id: {id}\ndata: {id}{}\n\n", "x".repeat(FILLING_BYTES))
    } else {
        format!("id: {id}\ndata: {id}\n\n")
    }
}

/// A long answer's body with the filling of each event taken out. An event that is not at its end may have less of it; filling
/// of any other length stays and shows.
pub fn without_filling(body: &str) -> String {
    let filling = "x".repeat(FILLING_BYTES);
    body.split_inclusive("\n\n")
        .map(|event| match event.strip_suffix("\n\n") {
            Some(whole) => format!("{}\n\n", whole.strip_suffix(&filling).unwrap_or(whole)),
            None => begun_without_filling(event),
        })
        .collect()
}

/// An event that broke off, without what came of its filling.
fn begun_without_filling(event: &str) -> String {
    let (text, end) = match event.strip_suffix('\n') {
        Some(text) => (text, "\n"),
        None => (event, ""),
    };
    let bare = text.trim_end_matches('x');
    let filling = text.len() - bare.len();
    let is_a_beginning = filling == FILLING_BYTES || (end.is_empty() && filling < FILLING_BYTES);
    let kept = if is_a_beginning { bare } else { text };
    format!("{kept}{end}")
}

/// How long work takes on an engine's machine now, in percent of the usual.
#[derive(Debug)]
pub struct MachinePace(AtomicU32);

impl Default for MachinePace {
    fn default() -> Self {
        Self(AtomicU32::new(USUAL_PACE_PERCENT))
    }
}

impl MachinePace {
    /// Changes it.
    pub fn set(&self, percent: u32) {
        self.0.store(percent, Ordering::Relaxed);
    }

    /// What `Server-Load` tells as its fourth figure.
    pub fn percent(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }

    /// Time that one piece of work takes beyond the usual.
    pub fn added_time(&self) -> Duration {
        WORK * self.percent().saturating_sub(USUAL_PACE_PERCENT) / USUAL_PACE_PERCENT
    }
}
