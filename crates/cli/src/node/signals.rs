//! SIGTERM and SIGINT begin a planned stop; SIGHUP says that the settings have changed.

use crate::exit::CommandError;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Waits for signals of a program that can take new settings while it runs.
pub struct NodeSignals {
    signals: Signals,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeSignal {
    /// A planned stop; the name of the signal.
    Stop(&'static str),
    /// Read the settings again.
    Reload,
}

impl NodeSignals {
    /// Takes over the signals from now on.
    pub fn register() -> Result<Self, CommandError> {
        Signals::new([SIGTERM, SIGINT, SIGHUP])
            .map(|signals| Self { signals })
            .map_err(|cause| CommandError::Failed(format!("signals can't be handled: {cause}")))
    }

    /// Waits for a signal.
    pub fn wait(&mut self) -> NodeSignal {
        match self.signals.forever().next() {
            Some(SIGHUP) => NodeSignal::Reload,
            Some(SIGINT) => NodeSignal::Stop("SIGINT"),
            _ => NodeSignal::Stop("SIGTERM"),
        }
    }
}

/// Waits for the first signal, to be called after everything has started.
pub struct StopSignals {
    signals: Signals,
}

impl StopSignals {
    /// Takes over the signals from now on, so that none that arrives during the start is lost.
    pub fn register() -> Result<Self, CommandError> {
        Signals::new([SIGTERM, SIGINT])
            .map(|signals| Self { signals })
            .map_err(|cause| CommandError::Failed(format!("signals can't be handled: {cause}")))
    }

    /// Waits for a signal and says which it was.
    pub fn wait(&mut self) -> &'static str {
        match self.signals.forever().next() {
            Some(SIGINT) => "SIGINT",
            _ => "SIGTERM",
        }
    }
}
