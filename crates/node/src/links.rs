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

/// Most connections that rest at this node; callers and what is under way need the other descriptors.
const MOST_RESTING: usize = 1_000;

/// Time between two looks for connections that engines are about to close.
const SWEEP_EVERY: Duration = Duration::from_secs(5);

struct RestingLink {
    link: Box<dyn EngineLink>,
    until: MonotonicTime,
}

/// Resting connections by engine. A connection belongs to one start of an engine, so an address that was given to
/// another never meets a connection of the first.
pub(crate) struct Links {
    protocol: Arc<dyn EngineProtocol>,
    resting: Mutex<Resting>,
}

#[derive(Default)]
struct Resting {
    links: BTreeMap<EngineId, Vec<RestingLink>>,
    swept_at: MonotonicTime,
}

impl Resting {
    fn count(&self) -> usize {
        self.links.values().map(Vec::len).sum()
    }

    /// Closes what has rested too long: an engine that is used no more would keep its connections for ever.
    fn sweep(&mut self, now: MonotonicTime) {
        if now.since(self.swept_at) < SWEEP_EVERY {
            return;
        }
        self.swept_at = now;
        self.links.retain(|_, links| {
            links.retain(|resting| resting.until > now);
            !links.is_empty()
        });
    }
}

impl Links {
    pub(crate) fn new(protocol: Arc<dyn EngineProtocol>) -> Self {
        Self {
            protocol,
            resting: Mutex::default(),
        }
    }

    /// A resting connection that can be used again.
    pub(crate) fn take_resting(&self, engine: &EngineId, now: MonotonicTime) -> Option<Box<dyn EngineLink>> {
        while let Some(mut resting) = self.pop(engine) {
            if resting.until > now && resting.link.is_quiet() {
                return Some(resting.link);
            }
        }
        None
    }

    /// A new connection.
    pub(crate) fn connect(&self, address: SocketAddr, wait: Duration) -> io::Result<Box<dyn EngineLink>> {
        let stream = self.protocol.connect(address, wait)?;
        self.protocol.open(stream)
    }

    /// Lets a connection rest if it can be used again and no more than `most` rest for the engine.
    pub(crate) fn give_back(
        &self,
        engine: &EngineId,
        link: Box<dyn EngineLink>,
        most: usize,
        now: MonotonicTime,
    ) {
        let Some(rest) = link.rest() else {
            return;
        };
        let mut resting = lock(&self.resting);
        resting.sweep(now);
        if resting.count() >= MOST_RESTING {
            return;
        }
        let links = resting.links.entry(engine.clone()).or_default();
        if links.len() < most {
            links.push(RestingLink {
                link,
                until: now + rest,
            });
        }
    }

    /// Closes the resting connections of an engine.
    pub(crate) fn forget(&self, engine: &EngineId) {
        lock(&self.resting).links.remove(engine);
    }

    fn pop(&self, engine: &EngineId) -> Option<RestingLink> {
        lock(&self.resting).links.get_mut(engine)?.pop()
    }
}
