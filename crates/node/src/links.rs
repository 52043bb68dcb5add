//! Connections to engines that rest between two requests.

use crate::ports::{EngineLink, EngineProtocol, EngineStream};
use crate::relay::Tunnel;
use shelfjunction_core::identity::{EngineId, EngineStart};
use shelfjunction_core::reachability::reach::Route;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Most connections that rest at this node; callers and what is under way need the other descriptors.
const MOST_RESTING: usize = 1_000;

/// Time between two looks for connections that engines are about to close.
const SWEEP_EVERY: Duration = Duration::from_secs(5);

/// A connection to an engine.
pub(crate) struct Connection {
    link: Box<dyn EngineLink>,
    /// Present where it passes through another node.
    tunnel: Option<Tunnel>,
    /// The start that the engine has reported over it.
    reported_start: Option<EngineStart>,
}

impl Connection {
    fn direct(link: Box<dyn EngineLink>) -> Self {
        Self {
            link,
            tunnel: None,
            reported_start: None,
        }
    }

    pub(crate) fn relayed(link: Box<dyn EngineLink>, tunnel: Tunnel) -> Self {
        Self {
            link,
            tunnel: Some(tunnel),
            reported_start: None,
        }
    }

    /// The node through which it passes, if it passes through one.
    pub(crate) fn tunnel(&self) -> Option<&Tunnel> {
        self.tunnel.as_ref()
    }

    /// The start that the engine has reported over it, if it has.
    pub(crate) fn reported_start(&self) -> Option<EngineStart> {
        self.reported_start
    }

    /// Notes what it has reported.
    pub(crate) fn note_reported_start(&mut self, start: EngineStart) {
        self.reported_start = Some(start);
    }

    fn route(&self) -> Route {
        match self.tunnel {
            Some(_) => Route::Relayed,
            None => Route::Direct,
        }
    }

    /// Whether nothing came on it while it rested.
    fn is_usable(&mut self) -> bool {
        let has_unread = self.tunnel.as_ref().is_some_and(Tunnel::has_unread);
        !has_unread && self.link.is_quiet()
    }
}

impl Deref for Connection {
    type Target = dyn EngineLink;

    fn deref(&self) -> &Self::Target {
        self.link.as_ref()
    }
}

impl DerefMut for Connection {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.link.as_mut()
    }
}

struct RestingLink {
    connection: Connection,
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

    /// Closes what has rested too long, and what something has come on: an engine that is used no more would keep its connections for
    /// ever, and might send on them without an end.
    fn sweep(&mut self, now: MonotonicTime) {
        if now.since(self.swept_at) < SWEEP_EVERY {
            return;
        }
        self.swept_at = now;
        self.links.retain(|_, links| {
            links.retain_mut(|resting| resting.until > now && resting.connection.is_usable());
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

    /// A resting connection over the given route that can be used again.
    pub(crate) fn take_resting(
        &self,
        engine: &EngineId,
        route: Route,
        now: MonotonicTime,
    ) -> Option<Connection> {
        while let Some(mut resting) = self.pop(engine, route) {
            if resting.until > now && resting.connection.is_usable() {
                return Some(resting.connection);
            }
        }
        None
    }

    /// A new connection over this node's own links.
    pub(crate) fn connect(&self, address: SocketAddr, wait: Duration) -> io::Result<Connection> {
        let stream = self.connect_stream(address, wait)?;
        self.open(Box::new(stream)).map(Connection::direct)
    }

    /// The same, for bytes that another node speaks.
    pub(crate) fn connect_stream(&self, address: SocketAddr, wait: Duration) -> io::Result<TcpStream> {
        self.protocol.connect(address, wait)
    }

    /// Speaks to an engine over a connection that is open.
    pub(crate) fn open(&self, stream: Box<dyn EngineStream>) -> io::Result<Box<dyn EngineLink>> {
        self.protocol.open(stream)
    }

    /// Lets a connection rest if it can be used again and no more than `most` rest for the engine.
    pub(crate) fn give_back(
        &self,
        engine: &EngineId,
        connection: Connection,
        most: usize,
        now: MonotonicTime,
    ) {
        let Some(rest) = connection.rest() else {
            return;
        };
        let mut resting = lock(&self.resting);
        resting.sweep(now);
        if resting.count() >= MOST_RESTING {
            return;
        }
        let links = resting.links.entry(engine.clone()).or_default();
        if links.len() < most {
            if let Some(tunnel) = connection.tunnel() {
                tunnel.note_rest();
            }
            links.push(RestingLink {
                connection,
                until: now + rest,
            });
        }
    }

    /// Closes resting connections that can't be used again, if the last look at them is some seconds ago.
    pub(crate) fn sweep(&self, now: MonotonicTime) {
        lock(&self.resting).sweep(now);
    }

    /// Closes the resting connections of an engine.
    pub(crate) fn forget(&self, engine: &EngineId) {
        lock(&self.resting).links.remove(engine);
    }

    /// Closes the resting connections over a route, of engines that `includes` names.
    pub(crate) fn forget_route(&self, route: Route, includes: impl Fn(&EngineId) -> bool) {
        for (engine, links) in &mut lock(&self.resting).links {
            if includes(engine) {
                links.retain(|resting| resting.connection.route() != route);
            }
        }
    }

    fn pop(&self, engine: &EngineId, route: Route) -> Option<RestingLink> {
        let mut resting = lock(&self.resting);
        let links = resting.links.get_mut(engine)?;
        let last = links
            .iter()
            .rposition(|resting| resting.connection.route() == route)?;
        Some(links.remove(last))
    }
}
