//! Connections to engines that rest between two requests.

use crate::ports::{EngineLink, EngineProtocol};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Most connections that rest for one engine.
const RESTING_PER_ENGINE: usize = 24;

struct RestingLink {
    link: Box<dyn EngineLink>,
    until: MonotonicTime,
}

/// Resting connections by engine. A connection belongs to one start of an engine, so an address that was given to
/// another never meets a connection of the first.
pub(crate) struct Links {
    protocol: Arc<dyn EngineProtocol>,
    resting: Mutex<BTreeMap<EngineId, Vec<RestingLink>>>,
}

impl Links {
    pub(crate) fn new(protocol: Arc<dyn EngineProtocol>) -> Self {
        Self {
            protocol,
            resting: Mutex::new(BTreeMap::new()),
        }
    }

    /// A connection on which nothing is under way: one that rested, or a new one.
    pub(crate) fn take(
        &self,
        engine: &EngineId,
        address: SocketAddr,
        wait: Duration,
        now: MonotonicTime,
    ) -> io::Result<Box<dyn EngineLink>> {
        while let Some(mut resting) = self.pop(engine) {
            if resting.until > now && resting.link.is_quiet() {
                return Ok(resting.link);
            }
        }
        self.connect(address, wait)
    }

    /// A new connection.
    pub(crate) fn connect(&self, address: SocketAddr, wait: Duration) -> io::Result<Box<dyn EngineLink>> {
        self.protocol.connect(address, wait)
    }

    /// Lets a connection rest if it can be used again.
    pub(crate) fn give_back(&self, engine: &EngineId, link: Box<dyn EngineLink>, now: MonotonicTime) {
        let Some(rest) = link.rest() else {
            return;
        };
        let mut resting = lock(&self.resting);
        let links = resting.entry(engine.clone()).or_default();
        if links.len() < RESTING_PER_ENGINE {
            links.push(RestingLink {
                link,
                until: now + rest,
            });
        }
    }

    /// Closes the resting connections of an engine.
    pub(crate) fn forget(&self, engine: &EngineId) {
        lock(&self.resting).remove(engine);
    }

    fn pop(&self, engine: &EngineId) -> Option<RestingLink> {
        lock(&self.resting).get_mut(engine)?.pop()
    }
}
