//! HTTP adapter of the platform's services.
//!
//! Each call uses a connection of its own: a pooled connection that the other side has closed would make an
//! action that was never sent look as if its answer had been lost.

mod agent;
pub mod wire;

use crate::services::{MachineList, ObjectStore, TableService, WeightStore};
use agent::{PlatformAgent, Reply};
use shelfjunction_core::identity::{ModelId, WeightVersion};
use shelfjunction_core::machine::Machine;
use shelfjunction_core::table::{PlatformError, Row, RowKey, Transaction, TransactionOutcome};
use std::net::SocketAddr;
use std::time::Duration;
use wire::WeightMillisBody;

/// Limits on the time that one call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformTimeouts {
    /// Longest time to connect.
    pub connect: Duration,
    /// Longest time from the start of the call to the end of the answer.
    pub call: Duration,
}

impl Default for PlatformTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
        }
    }
}

/// Client of all the platform's services at one address.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    agent: PlatformAgent,
}

impl HttpPlatform {
    /// A client; nothing is connected before the first call.
    pub fn new(address: SocketAddr, timeouts: PlatformTimeouts) -> Self {
        Self {
            agent: PlatformAgent::new(address, timeouts),
        }
    }
}

impl TableService for HttpPlatform {
    fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.agent.get("/table/row", &[("key", &key.0)])?.json()
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        self.agent.get("/table/scan", &[("prefix", prefix)])?.json()
    }

    fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, PlatformError> {
        let body =
            serde_json::to_vec(transaction).map_err(|error| PlatformError::Malformed(error.to_string()))?;
        self.agent.post("/table/transact", &body)?.json()
    }
}

impl ObjectStore for HttpPlatform {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        self.agent.put(&object_path(name)?, bytes)?.success().map(drop)
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        match self.agent.get(&object_path(name)?, &[])? {
            Reply::Missing => Ok(None),
            reply => reply.success().map(Some),
        }
    }
}

impl MachineList for HttpPlatform {
    fn machines(&self) -> Result<Vec<Machine>, PlatformError> {
        self.agent.get("/machines", &[])?.json()
    }
}

impl WeightStore for HttpPlatform {
    fn queue_millis(&self, model: &ModelId, version: &WeightVersion) -> Result<u64, PlatformError> {
        let query = [("model", model.as_str()), ("version", version.as_str())];
        let body: WeightMillisBody = self.agent.get("/weights", &query)?.json()?;
        Ok(body.millis)
    }
}

/// Path of an object; a name that would not stay one path segment is refused before anything is sent.
fn object_path(name: &str) -> Result<String, PlatformError> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if name.is_empty() || !name.bytes().all(plain) {
        return Err(PlatformError::Malformed(format!("object name {name:?}")));
    }
    Ok(format!("/objects/{name}"))
}
