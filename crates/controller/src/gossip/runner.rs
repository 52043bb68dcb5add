//! The thread between the socket and the state machine.

use super::{DatagramTransport, Shared};
use log::debug;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::membership::events::Outgoing;
use shelfjunction_core::membership::wire::MAXIMUM_DATAGRAM_BYTES;
use shelfjunction_core::time::MonotonicTime;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Shortest wait that the socket accepts.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Feeds the state machine until it is told to stop.
pub(super) struct Runner {
    shared: Arc<Shared>,
    transport: Box<dyn DatagramTransport>,
    tick: Duration,
    random: ChaCha8Rng,
    next_tick: MonotonicTime,
}

impl Runner {
    pub(super) fn new(
        shared: Arc<Shared>,
        transport: Box<dyn DatagramTransport>,
        tick: Duration,
        random_seed: u64,
    ) -> std::io::Result<Self> {
        transport.set_wait(tick)?;
        let next_tick = shared.clock.now();
        Ok(Self {
            shared,
            transport,
            tick,
            random: ChaCha8Rng::seed_from_u64(random_seed),
            next_tick,
        })
    }

    pub(super) fn run(mut self) {
        // One byte more than the limit, so that a longer datagram shows as too long.
        let mut buffer = [0; MAXIMUM_DATAGRAM_BYTES + 1];
        while !self.is_stopping() {
            self.tick_when_due();
            let wait = self.next_tick.since(self.shared.clock.now()).max(SHORTEST_WAIT);
            if self.transport.set_wait(wait).is_err() {
                return;
            }
            // Errors other than the timeout, such as a refused earlier send, concern one peer and pass.
            if let Ok((length, from)) = self.transport.receive_from(&mut buffer) {
                self.take_datagram(from, &buffer[..length]);
            }
        }
    }

    fn is_stopping(&self) -> bool {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .stopping
    }

    fn tick_when_due(&mut self) {
        let now = self.shared.clock.now();
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + self.tick;
        let outgoing = {
            let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
            let outgoing = state.gossiper.tick(now, &mut self.random);
            let events = state.gossiper.take_events();
            state.events.extend(events);
            outgoing
        };
        self.shared.changed.notify_all();
        self.send(outgoing);
    }

    fn take_datagram(&mut self, from: std::net::SocketAddr, bytes: &[u8]) {
        let now = self.shared.clock.now();
        let taken = {
            let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
            let taken = state.gossiper.datagram(from, bytes, now, &mut self.random);
            let events = state.gossiper.take_events();
            state.events.extend(events);
            taken
        };
        self.shared.changed.notify_all();
        match taken {
            Ok(outgoing) => self.send(outgoing),
            Err(reason) => debug!(peer:% = from, reason:? = reason; "datagram dropped"),
        }
    }

    fn send(&self, outgoing: Vec<Outgoing>) {
        for datagram in outgoing {
            // A datagram that can't be sent is a lost one; gossip makes up for losses.
            let _ = self.transport.send_to(&datagram.bytes, datagram.to);
        }
    }
}
