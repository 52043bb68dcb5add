//! Logs: one line of key=value pairs for each event, through `logforth`.
//!
//! An event is written with the `log` macros. The message is the event's name, everything else is a pair:
//!
//! ```
//! log::info!(request = "r-1", zone = "sthlm-a", generation = 7; "request_finished");
//! ```
//!
//! gives `event=request_finished level=info time=… module=… request=r-1 zone=sthlm-a generation=7`.

mod layout;
mod queue;

pub use layout::EventLayout;
pub use queue::{LogLosses, QueuedLines};

use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::record::{Level, LevelFilter};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Least severe level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// What needs a person.
    Error,
    /// What may need one.
    Warn,
    /// Each change of state, and each request that ended.
    #[default]
    Info,
    /// Each step.
    Debug,
    /// Everything.
    Trace,
}

/// The texts of the levels, for messages about settings.
pub const LEVELS: &str = "off, error, warn, info, debug or trace";

/// The text is not the name of a level; see [`LEVELS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownLevel;

/// A logger was installed before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyInstalled;

/// Why no queue of lines could be installed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstallError {
    /// A logger was installed before.
    AlreadyInstalled,
    /// The thread that writes could not be started.
    NoThread,
}

impl FromStr for LogLevel {
    type Err = UnknownLevel;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "off" => Ok(Self::Off),
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err(UnknownLevel),
        }
    }
}

impl fmt::Display for UnknownLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "expected {LEVELS}")
    }
}

impl LogLevel {
    fn filter(self) -> LevelFilter {
        match self {
            Self::Off => LevelFilter::Off,
            Self::Error => LevelFilter::MoreSevereEqual(Level::Error),
            Self::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
            Self::Info => LevelFilter::MoreSevereEqual(Level::Info),
            Self::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
            Self::Trace => LevelFilter::MoreSevereEqual(Level::Trace),
        }
    }

    fn log_filter(self) -> log::LevelFilter {
        match self {
            Self::Off => log::LevelFilter::Off,
            Self::Error => log::LevelFilter::Error,
            Self::Warn => log::LevelFilter::Warn,
            Self::Info => log::LevelFilter::Info,
            Self::Debug => log::LevelFilter::Debug,
            Self::Trace => log::LevelFilter::Trace,
        }
    }
}

/// Changes the least severe level that is written, at most down to the level at the start.
pub fn set_level(level: LogLevel) {
    log::set_max_level(level.log_filter());
}

/// Writes events to standard error from now on; call once for each process.
pub fn install(level: LogLevel) -> Result<(), AlreadyInstalled> {
    install_to(level, Stderr::default().with_layout(EventLayout))
}

/// Writes events to standard output from now on, through a bounded queue; call once for each process.
pub fn install_queued(level: LogLevel) -> Result<Arc<LogLosses>, InstallError> {
    let lines = QueuedLines::start(std::io::stdout()).map_err(|_| InstallError::NoThread)?;
    let losses = lines.losses();
    install_to(level, lines).map_err(|_| InstallError::AlreadyInstalled)?;
    Ok(losses)
}

/// Writes what waits in the queue, for the end of the program.
pub fn flush() {
    log::logger().flush();
}

/// Writes events to the given target from now on; call once for each process.
pub fn install_to(level: LogLevel, target: impl logforth::Append) -> Result<(), AlreadyInstalled> {
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(level.filter()).append(target))
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger))).map_err(|_| AlreadyInstalled)?;
    log::set_max_level(level.log_filter());
    Ok(())
}
