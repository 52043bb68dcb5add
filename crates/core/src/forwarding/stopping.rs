//! Which calls a stopping process still takes, and until when it waits for their engines.
//!
//! ```text
//! end      = grace - min(7% of grace, 500 ms)        (the process ends by itself, before it is ended by force)
//! answered = end - min(end / 10, 500 ms)      (every call that is under way then ends with an answer)
//! ```

use std::time::Duration;

/// Part of the time until the end by force within which every call is taken: whoever sends callers here needs that
/// long to notice, and a call taken so early has the longest time that calls get.
const TAKES_ALL: f64 = 0.3;

/// Part of the time until the end by force by which the process ends earlier; with [`ANSWER_PART`], calls that are under way have five
/// sixths of that time, which callers and engines count on.
const MARGIN_PART: f64 = 0.07;

/// Longest such time.
const MAX_MARGIN: Duration = Duration::from_millis(500);

/// Time after the signal to stop at which the process ends by itself, where it is ended by force `grace` after the signal.
pub fn ends_after(grace: Duration) -> Duration {
    grace - grace.mul_f64(MARGIN_PART).min(MAX_MARGIN)
}

/// Part of the time until the end by force that is left for answers to calls whose engines have not answered.
const ANSWER_PART: f64 = 0.1;

/// Longest such time.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);

/// Time after the signal to stop at which every call that is still under way ends with an answer of the process's own, where the
/// process ends `end` after the signal: a caller whose connection just closes can't know what became of its request.
pub fn answered_after(end: Duration) -> Duration {
    end - end.mul_f64(ANSWER_PART).min(MAX_ANSWER_TIME)
}

/// Whether a call is taken `since` the signal to stop, where the process ends `end` after the signal and the call may
/// last for `longest`. One that is not taken is told so and goes elsewhere, which is better than cutting it off.
pub fn takes(since: Duration, end: Duration, longest: Duration) -> bool {
    since <= end.mul_f64(TAKES_ALL) || since + longest <= answered_after(end)
}
