//! Which calls a process that has been told to stop still takes.

use std::time::Duration;

/// Part of the time until the end by force within which every call is taken: whoever sends callers here needs that
/// long to notice, and a call taken so early has the longest time that calls get.
const TAKES_ALL: f64 = 0.3;

/// Whether a call is taken `since` the signal to stop, where the process ends `end` after the signal and the call may
/// last for `longest`. One that is not taken is told so and goes elsewhere, which is better than cutting it off.
pub fn takes(since: Duration, end: Duration, longest: Duration) -> bool {
    since <= end.mul_f64(TAKES_ALL) || since + longest < end
}
