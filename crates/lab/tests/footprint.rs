//! The kernel's figures of a process are read as `proc(5)` lays them out.

use shelfjunction_lab::footprint::{ParseError, ProcessTimes, StatusFigures, parse_stat, parse_status};
use std::time::Duration;

#[test]
fn figures_are_found_whatever_the_command_is_called() {
    let stat = "41 (a) b (c) S 1 41 41 0 -1 4194560 900 0 3 0 250 75 9 9 20 0 37 0 1234 99 88\n";
    let times = ProcessTimes {
        user: Duration::from_millis(2_500),
        system: Duration::from_millis(750),
    };
    assert_eq!(parse_stat(stat), Ok(times));
    assert_eq!(parse_stat("41 (a) S 1"), Err(ParseError { field: "utime" }));

    let status = "Name:\tVmRSS\nVmHWM:\t 9000 kB\nVmRSS:\t    8124 kB\nRssAnon:\t    3000 kB\nThreads:\t37\n";
    let figures = StatusFigures {
        resident_kib: 8_124,
        anonymous_kib: 3_000,
        threads: 37,
    };
    assert_eq!(parse_status(status), Ok(figures));
    assert_eq!(
        parse_status("VmRSS:\t8 kB\n"),
        Err(ParseError { field: "RssAnon" })
    );
}
