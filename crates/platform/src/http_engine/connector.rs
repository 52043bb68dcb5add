//! A connector that marks its own failures, so that "never connected" is known and not guessed from error kinds.
//!
//! The kinds alone do not tell: an established connection can also end with "host unreachable" or "connection
//! refused" when the network reports it late, and by then the call may run.

use std::fmt;
use ureq::Error;
use ureq::unversioned::transport::{ConnectionDetails, Connector, TcpConnector};

/// Opens TCP connections; each failure to do so is an [`Error::Other`] that holds [`NeverConnected`].
#[derive(Debug, Default)]
pub struct TrackedConnector {
    inner: TcpConnector,
}

impl Connector<()> for TrackedConnector {
    type Out = <TcpConnector as Connector<()>>::Out;

    fn connect(&self, details: &ConnectionDetails, chained: Option<()>) -> Result<Option<Self::Out>, Error> {
        self.inner
            .connect(details, chained)
            .map_err(|error| Error::Other(Box::new(NeverConnected(error))))
    }
}

/// The connection could not be opened, so nothing was sent.
#[derive(Debug)]
struct NeverConnected(Error);

impl fmt::Display for NeverConnected {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "never connected: {}", self.0)
    }
}

impl std::error::Error for NeverConnected {}

/// Whether the error proves that nothing was sent.
pub fn never_connected(error: &Error) -> bool {
    match error {
        Error::Other(cause) => cause.is::<NeverConnected>(),
        _ => false,
    }
}
