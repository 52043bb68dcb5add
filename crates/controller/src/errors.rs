//! Why a controller could not start.

use crate::gossip::GossipError;
use shelfjunction_core::setting::FieldError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a controller could not start; nothing of it runs after this.
#[derive(Debug)]
pub enum StartError {
    /// Settings are wrong.
    Settings(Vec<FieldError>),
    /// An address could not be bound.
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// What the system said.
        error: String,
    },
    /// The system gave no thread, or no option of a socket.
    Thread(io::Error),
}

impl From<GossipError> for StartError {
    fn from(error: GossipError) -> Self {
        match error {
            GossipError::Socket(error) | GossipError::Thread(error) => Self::Thread(error),
        }
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(errors) => {
                write!(formatter, "{} settings are wrong", errors.len())?;
                errors.iter().try_for_each(|error| write!(formatter, "; {error}"))
            }
            Self::Bind { address, error } => write!(formatter, "can't listen on {address}: {error}"),
            Self::Thread(error) => write!(formatter, "the system gives no thread or socket option: {error}"),
        }
    }
}
