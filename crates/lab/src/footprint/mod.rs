//! Memory, threads and processor time of running processes, read from `/proc`.

mod process;
mod watch;

pub use process::{ParseError, ProcessTimes, StatusFigures, parse_stat, parse_status};
pub use watch::{Footprint, FootprintError, WatchedProcess, watch};
