//! The paths between the nodes of different regions, which can be cut and slowed in each direction.
//!
//! For each node and each other region there is a door: an address at which the nodes of that region reach the node, by datagrams
//! and by connections. A datagram arrives from the door that stands for its sender in the region of its receiver, since nodes take the
//! address from which they hear another for its own. Nodes learn the doors from the store's list of nodes, in which each one's
//! link to the store puts them in place of the nodes' own addresses.
//!
//! Nodes of one region reach each other directly. Links to engines are shared by all nodes and not cut here.

use super::layout::Layout;
use crate::relay::{LinkFault, Relay};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two looks at whether the soak has ended.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Longest datagram that is passed on; nodes send shorter ones.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Tries to find a port that is free for datagrams and for connections.
const PORT_TRIES: u32 = 50;

/// What is wrong with the path from one region to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathFault {
    /// Nothing.
    #[default]
    None,
    /// Nothing passes.
    Cut,
    /// Everything arrives so much later.
    Delayed(Duration),
}

/// A datagram that is passed on later.
struct Delayed {
    due: Instant,
    bytes: Vec<u8>,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
}

/// A node and a region whose nodes reach it here.
type DoorName = (usize, usize);

struct Shared {
    layout: Layout,
    /// Where each node hears others.
    nodes: Vec<SocketAddr>,
    sockets: BTreeMap<DoorName, Arc<UdpSocket>>,
    /// What is wrong with the path from one region to another.
    paths: Mutex<BTreeMap<(usize, usize), PathFault>>,
    /// Datagrams that a cut path has dropped.
    dropped: AtomicU64,
    stopped: AtomicBool,
}

/// The doors of all nodes to other regions. Their threads end when this is dropped.
pub struct RegionLinks {
    shared: Arc<Shared>,
    relays: BTreeMap<DoorName, Relay>,
}

impl RegionLinks {
    /// Opens the doors; `nodes` are the addresses at which nodes hear others.
    pub fn start(layout: Layout, nodes: Vec<SocketAddr>) -> io::Result<Self> {
        let (mut sockets, mut relays) = (BTreeMap::new(), BTreeMap::new());
        for (node, address) in nodes.iter().enumerate() {
            for region in (0..layout.regions()).filter(|region| *region != layout.region_of_node(node)) {
                let (socket, relay) = open_door(*address)?;
                sockets.insert((node, region), Arc::new(socket));
                relays.insert((node, region), relay);
            }
        }
        let shared = Arc::new(Shared {
            layout,
            nodes,
            sockets,
            paths: Mutex::default(),
            dropped: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let (sender, receiver) = channel();
        for (name, socket) in &shared.sockets {
            let (shared, socket, sender) = (Arc::clone(&shared), Arc::clone(socket), sender.clone());
            let node = name.0;
            thread::Builder::new()
                .name("region-door".to_owned())
                .spawn(move || shared.pass(node, &socket, &sender))?;
        }
        thread::Builder::new()
            .name("region-delay".to_owned())
            .spawn(move || send_when_due(&receiver))?;
        Ok(Self { shared, relays })
    }

    /// The address by which nodes of a region reach the node that listens at an address; the address itself within its region and
    /// for anybody else.
    pub fn address_for(&self, region: usize, address: SocketAddr) -> SocketAddr {
        let node = self.shared.nodes.iter().position(|own| *own == address);
        node.and_then(|node| self.relays.get(&(node, region)))
            .map_or(address, Relay::address)
    }

    /// Makes something wrong with the path from one region to another, in place of what was.
    pub fn set_fault(&self, from: usize, to: usize, fault: PathFault) {
        let mut paths = self.shared.lock_paths();
        paths.insert((from, to), fault);
        let fault_of = |from, to| paths.get(&(from, to)).copied().unwrap_or_default();
        for ((node, region), relay) in &self.relays {
            let home = self.shared.layout.region_of_node(*node);
            relay.set_fault(link_fault(fault_of(*region, home), fault_of(home, *region)));
        }
    }

    /// Datagrams that cut paths have dropped so far.
    pub fn dropped_datagrams(&self) -> u64 {
        self.shared.dropped.load(Ordering::SeqCst)
    }

    /// Mends all paths.
    pub fn mend(&self) {
        self.shared.lock_paths().clear();
        self.relays.values().for_each(Relay::mend);
    }
}

impl Drop for RegionLinks {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.relays.values().for_each(Relay::stop);
    }
}

/// A fault of a link whose near side is `towards` and whose far side is `back`.
fn link_fault(towards: PathFault, back: PathFault) -> LinkFault {
    match (towards, back) {
        (PathFault::Cut, PathFault::Cut) => LinkFault::Silent,
        (PathFault::Cut, _) => LinkFault::SilentTowardsTarget,
        (_, PathFault::Cut) => LinkFault::SilentFromTarget,
        (PathFault::Delayed(delay), _) | (_, PathFault::Delayed(delay)) => LinkFault::Delayed(delay),
        (PathFault::None, PathFault::None) => LinkFault::None,
    }
}

/// A socket and a relay to a node at one port.
fn open_door(node: SocketAddr) -> io::Result<(UdpSocket, Relay)> {
    let mut fault = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_TRIES {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        match Relay::start(socket.local_addr()?, node) {
            Ok(relay) => {
                socket.set_read_timeout(Some(LOOK_EVERY))?;
                return Ok((socket, relay));
            }
            Err(error) => fault = error,
        }
    }
    Err(fault)
}

impl Shared {
    fn lock_paths(&self) -> std::sync::MutexGuard<'_, BTreeMap<(usize, usize), PathFault>> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes on the datagrams that arrive at a door of `node`.
    fn pass(&self, node: usize, door: &UdpSocket, delayed: &Sender<Delayed>) {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        while !self.stopped.load(Ordering::Relaxed) {
            // A time-out, or the word that a node that was killed took nothing.
            let Ok((length, from)) = door.recv_from(&mut bytes) else {
                continue;
            };
            self.pass_one(node, &bytes[..length], from, delayed);
        }
    }

    fn pass_one(&self, node: usize, bytes: &[u8], from: SocketAddr, delayed: &Sender<Delayed>) {
        let Some(sender) = self.nodes.iter().position(|own| *own == from) else {
            return;
        };
        let (region, home) = (
            self.layout.region_of_node(sender),
            self.layout.region_of_node(node),
        );
        let Some(socket) = self.sockets.get(&(sender, home)) else {
            return;
        };
        let fault = self
            .lock_paths()
            .get(&(region, home))
            .copied()
            .unwrap_or_default();
        let to = self.nodes[node];
        match fault {
            PathFault::Cut => {
                self.dropped.fetch_add(1, Ordering::SeqCst);
            }
            PathFault::None => {
                // A node that does not run takes nothing.
                let _ = socket.send_to(bytes, to);
            }
            PathFault::Delayed(delay) => {
                let datagram = Delayed {
                    due: Instant::now() + delay,
                    bytes: bytes.to_vec(),
                    socket: Arc::clone(socket),
                    to,
                };
                // The receiver ends with the last door.
                let _ = delayed.send(datagram);
            }
        }
    }
}

/// Sends delayed datagrams when they are due, until all doors are closed.
fn send_when_due(incoming: &Receiver<Delayed>) {
    let mut waiting: BTreeMap<(Instant, u64), Delayed> = BTreeMap::new();
    let mut taken = 0;
    loop {
        let next = waiting.first_key_value().map(|((due, _), _)| *due);
        let wait = next.map_or(LOOK_EVERY, |due| due.saturating_duration_since(Instant::now()));
        match incoming.recv_timeout(wait) {
            Ok(datagram) => {
                taken += 1;
                waiting.insert((datagram.due, taken), datagram);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        while let Some(first) = waiting.first_entry()
            && first.key().0 <= now
        {
            let datagram = first.remove();
            let _ = datagram.socket.send_to(&datagram.bytes, datagram.to);
        }
    }
}
