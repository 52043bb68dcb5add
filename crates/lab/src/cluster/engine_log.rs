//! Reads what a stand-in engine was told and ran.
//!
//! A caller knows a request as `req-NONCE` or `req-NONCE-TAG`, an engine as `NONCE.SEAL`; the nonce joins them.

use crate::engine::EngineLog;
use std::fmt;
use std::net::SocketAddr;

/// Longest log that is read, in bytes.
const MAXIMUM_LOG_BYTES: u64 = 512 * 1024 * 1024;

/// Why a log could not be read.
#[derive(Debug)]
pub enum LogError {
    /// The engine does not answer.
    Http(ureq::Error),
    /// The answer is not a log.
    Malformed(serde_json::Error),
}

impl fmt::Display for LogError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Http(error) => write!(formatter, "{error}"),
            Self::Malformed(error) => write!(formatter, "not a log: {error}"),
        }
    }
}

/// Reads an engine's whole log.
pub fn read_log(engine: SocketAddr) -> Result<EngineLog, LogError> {
    let mut response = ureq::get(format!("http://{engine}/log"))
        .call()
        .map_err(LogError::Http)?;
    let body = response.body_mut().with_config().limit(MAXIMUM_LOG_BYTES);
    let bytes = body.read_to_vec().map_err(LogError::Http)?;
    serde_json::from_slice(&bytes).map_err(LogError::Malformed)
}

/// The part of a caller's request identifier that engines see too.
pub fn nonce_of_caller(request: &str) -> &str {
    let rest = request.strip_prefix("req-").unwrap_or(request);
    rest.split('-').next().unwrap_or(rest)
}

/// The part of an engine's request identifier that callers see too.
pub fn nonce_of_engine(request: &str) -> &str {
    request.split('.').next().unwrap_or(request)
}
