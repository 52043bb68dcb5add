//! One node's own paths to the engines, which fail all at once while other nodes still reach the engines.
//!
//! For each engine there is a relay that only this node uses; it learns the relays' addresses from the store's list of engines, in
//! which the node's link to the store puts them in place of the engines' own.

use crate::relay::{LinkFault, Relay};
use rustix::net::{AddressFamily, SocketType, bind, listen, socket, sockopt};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How a node's paths to the engines fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathCut {
    /// Open connections are reset and new ones refused.
    Reset,
    /// New connections are refused; open ones live on.
    RefuseNew,
    /// Open connections are silent and new ones time out.
    Hang,
}

/// Connections that fill the queue of an address at which nobody accepts.
const MAX_FILLING: usize = 8;

/// Time after which the queue counts as full.
const FILLING_WAIT: Duration = Duration::from_millis(30);

/// Paths of one node.
#[derive(Default)]
pub struct EnginePaths {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    relays: BTreeMap<SocketAddr, Relay>,
    cut: Option<PathCut>,
    /// Addresses of the relays while they take no connections.
    kept: Vec<KeptAddress>,
}

/// An address at which connections are refused, or time out where its queue is full. It is kept from others who ask for any port.
struct KeptAddress {
    _socket: OwnedFd,
    _filling: Vec<TcpStream>,
}

impl EnginePaths {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address at which the node reaches the engine that listens at an address.
    pub fn address_for(&self, engine: SocketAddr) -> io::Result<SocketAddr> {
        let mut state = self.state();
        if let Some(relay) = state.relays.get(&engine) {
            return Ok(relay.address());
        }
        let relay = Relay::start((Ipv4Addr::LOCALHOST, 0).into(), engine)?;
        if let Some(cut) = state.cut {
            state.kept.push(cut_one(&relay, cut)?);
        }
        let address = relay.address();
        state.relays.insert(engine, relay);
        Ok(address)
    }

    /// Cuts all paths; whether they were whole.
    pub fn cut(&self, cut: PathCut) -> io::Result<bool> {
        let mut state = self.state();
        if state.cut.is_some() {
            return Ok(false);
        }
        state.cut = Some(cut);
        let relays: Vec<Relay> = state.relays.values().cloned().collect();
        for relay in relays {
            state.kept.push(cut_one(&relay, cut)?);
        }
        Ok(true)
    }

    /// Mends all paths.
    pub fn mend(&self) -> io::Result<()> {
        let mut state = self.state();
        if state.cut.take().is_none() {
            return Ok(());
        }
        state.kept.clear();
        for relay in state.relays.values() {
            relay.mend();
            relay.listen_again()?;
        }
        Ok(())
    }
}

fn cut_one(relay: &Relay, cut: PathCut) -> io::Result<KeptAddress> {
    if cut == PathCut::Hang {
        relay.set_fault(LinkFault::Silent);
    }
    relay.refuse_new();
    if cut == PathCut::Reset {
        relay.reset();
    }
    KeptAddress::take(relay.address(), cut == PathCut::Hang)
}

impl KeptAddress {
    fn take(address: SocketAddr, times_out: bool) -> io::Result<Self> {
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None)?;
        sockopt::set_socket_reuseaddr(&socket, true)?;
        bind(&socket, &address)?;
        let mut filling = Vec::new();
        if times_out {
            listen(&socket, 0)?;
            let connect = |_| TcpStream::connect_timeout(&address, FILLING_WAIT).ok();
            filling.extend((0..MAX_FILLING).map_while(connect));
        }
        Ok(Self {
            _socket: socket,
            _filling: filling,
        })
    }
}
