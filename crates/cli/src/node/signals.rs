//! SIGTERM and SIGINT begin a planned stop.

use crate::exit::CommandError;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

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
