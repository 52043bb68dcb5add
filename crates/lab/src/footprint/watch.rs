//! Watches processes side by side for a while.

use super::process::{ParseError, ProcessTimes, StatusFigures, parse_stat, parse_status};
use serde::Serialize;
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

/// Between two looks at memory and threads.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// A process to watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedProcess {
    /// What it is called in the figures.
    pub name: &'static str,
    /// Its process id.
    pub pid: u32,
}

/// Why there are no figures.
#[derive(Debug)]
pub enum FootprintError {
    /// The process is gone, or `/proc` can't be read.
    Unreadable(String, std::io::Error),
    /// `/proc` did not give a figure.
    Unknown(u32, ParseError),
}

/// What one process used; sizes in KiB. A highest figure is the highest of the looks, not of the moments between.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Footprint {
    /// What the process is.
    pub process: &'static str,
    /// Its process id.
    pub pid: u32,
    /// Time between the first look and the last.
    pub seconds: f64,
    /// Processor time used in the program's own code, in steps of 10 ms.
    pub user_seconds: f64,
    /// Processor time used in the kernel, in steps of 10 ms.
    pub system_seconds: f64,
    /// Processor time by time: 1 is one whole core.
    pub processor_share: f64,
    /// Resident memory at the last look.
    pub resident_kib: u64,
    /// Resident memory that no file stands behind, at the last look.
    pub anonymous_kib: u64,
    /// Threads at the last look.
    pub threads: u64,
    /// Highest resident memory.
    pub highest_resident_kib: u64,
    /// Highest resident memory that no file stands behind.
    pub highest_anonymous_kib: u64,
    /// Most threads.
    pub highest_threads: u64,
}

struct Watch {
    process: WatchedProcess,
    started: Instant,
    first_times: ProcessTimes,
    highest: StatusFigures,
}

/// Looks at the processes until the time is over.
pub fn watch(processes: &[WatchedProcess], duration: Duration) -> Result<Vec<Footprint>, FootprintError> {
    let mut watches = Vec::new();
    for process in processes {
        watches.push(Watch::start(process.clone())?);
    }
    let until = Instant::now() + duration;
    while Instant::now() < until {
        std::thread::sleep(SAMPLE_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        for watch in &mut watches {
            watch.look()?;
        }
    }
    watches.iter_mut().map(Watch::finish).collect()
}

impl Watch {
    fn start(process: WatchedProcess) -> Result<Self, FootprintError> {
        Ok(Self {
            started: Instant::now(),
            first_times: times(process.pid)?,
            highest: status(process.pid)?,
            process,
        })
    }

    fn look(&mut self) -> Result<StatusFigures, FootprintError> {
        let now = status(self.process.pid)?;
        let highest = &mut self.highest;
        highest.resident_kib = highest.resident_kib.max(now.resident_kib);
        highest.anonymous_kib = highest.anonymous_kib.max(now.anonymous_kib);
        highest.threads = highest.threads.max(now.threads);
        Ok(now)
    }

    fn finish(&mut self) -> Result<Footprint, FootprintError> {
        let last = self.look()?;
        let times = times(self.process.pid)?;
        let seconds = self.started.elapsed().as_secs_f64();
        let used = times.total().saturating_sub(self.first_times.total());
        Ok(Footprint {
            process: self.process.name,
            pid: self.process.pid,
            seconds,
            user_seconds: times.user.saturating_sub(self.first_times.user).as_secs_f64(),
            system_seconds: times.system.saturating_sub(self.first_times.system).as_secs_f64(),
            processor_share: used.as_secs_f64() / seconds,
            resident_kib: last.resident_kib,
            anonymous_kib: last.anonymous_kib,
            threads: last.threads,
            highest_resident_kib: self.highest.resident_kib,
            highest_anonymous_kib: self.highest.anonymous_kib,
            highest_threads: self.highest.threads,
        })
    }
}

fn times(pid: u32) -> Result<ProcessTimes, FootprintError> {
    parse_stat(&read(pid, "stat")?).map_err(|error| FootprintError::Unknown(pid, error))
}

fn status(pid: u32) -> Result<StatusFigures, FootprintError> {
    parse_status(&read(pid, "status")?).map_err(|error| FootprintError::Unknown(pid, error))
}

fn read(pid: u32, file: &str) -> Result<String, FootprintError> {
    let path = format!("/proc/{pid}/{file}");
    std::fs::read_to_string(&path).map_err(|error| FootprintError::Unreadable(path, error))
}

impl Display for FootprintError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, error) => write!(formatter, "{path}: {error}"),
            Self::Unknown(pid, error) => write!(formatter, "process {pid}: no {}", error.field),
        }
    }
}

impl Display for Footprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "process={} pid={} seconds={:.1} user_seconds={:.2} system_seconds={:.2} processor_share={:.4}",
            self.process,
            self.pid,
            self.seconds,
            self.user_seconds,
            self.system_seconds,
            self.processor_share
        )?;
        write!(
            formatter,
            " resident_kib={} anonymous_kib={} threads={}",
            self.resident_kib, self.anonymous_kib, self.threads
        )?;
        write!(
            formatter,
            " highest_resident_kib={} highest_anonymous_kib={} highest_threads={}",
            self.highest_resident_kib, self.highest_anonymous_kib, self.highest_threads
        )
    }
}
