//! What the kernel tells of one process, as `proc(5)` lays it out.

use std::time::Duration;

/// Length of one unit of processor time in `/proc/PID/stat`; Linux shows 100 units a second on every platform.
const PROCESSOR_TICK: Duration = Duration::from_millis(10);

/// Place of `utime` among the fields of `/proc/PID/stat` that follow the command's closing parenthesis.
const USER_TIME_FIELD: usize = 11;

/// A figure that `/proc` did not give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Name of the missing or unreadable figure.
    pub field: &'static str,
}

/// Processor time of all threads of a process since it started, ended threads included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessTimes {
    /// Time in the program's own code.
    pub user: Duration,
    /// Time in the kernel on the program's behalf.
    pub system: Duration,
}

/// Memory and threads of a process at one moment; sizes in KiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusFigures {
    /// Resident memory, with pages of the program's file.
    pub resident_kib: u64,
    /// Resident memory that no file stands behind: heaps and stacks.
    pub anonymous_kib: u64,
    /// Threads.
    pub threads: u64,
}

impl ProcessTimes {
    /// User and system time together.
    pub fn total(&self) -> Duration {
        self.user + self.system
    }
}

/// Reads the text of `/proc/PID/stat`; the command's name may hold spaces and parentheses.
pub fn parse_stat(text: &str) -> Result<ProcessTimes, ParseError> {
    let (_, fields) = text.rsplit_once(')').ok_or(ParseError { field: "comm" })?;
    let mut times = fields.split_whitespace().skip(USER_TIME_FIELD);
    Ok(ProcessTimes {
        user: ticks(times.next(), "utime")?,
        system: ticks(times.next(), "stime")?,
    })
}

/// Reads the text of `/proc/PID/status`.
pub fn parse_status(text: &str) -> Result<StatusFigures, ParseError> {
    Ok(StatusFigures {
        resident_kib: line_value(text, "VmRSS")?,
        anonymous_kib: line_value(text, "RssAnon")?,
        threads: line_value(text, "Threads")?,
    })
}

fn ticks(field: Option<&str>, name: &'static str) -> Result<Duration, ParseError> {
    let ticks: u32 = field
        .and_then(|text| text.parse().ok())
        .ok_or(ParseError { field: name })?;
    Ok(PROCESSOR_TICK * ticks)
}

fn line_value(text: &str, name: &'static str) -> Result<u64, ParseError> {
    text.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.split_whitespace().next()?.parse().ok())
        .ok_or(ParseError { field: name })
}
