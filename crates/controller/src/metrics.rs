//! Counts and gauges of a controller, in the Prometheus text format.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use shelfjunction_core::membership::events::GossipCounters;
use std::fmt;
use std::sync::atomic::Ordering;

/// Prefix of every metric's name.
const PREFIX: &str = "shelfjunction_controller";

/// Counts and gauges; none names a tenant.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Calls to the platform that failed.
    pub platform_errors: Counter,
    /// Statuses read from engines.
    pub engine_polls: Counter,
    /// Statuses that could not be read.
    pub engine_poll_failures: Counter,
    /// Records known.
    pub fleet_records: Gauge,
    /// Peer connections open now.
    pub peer_connections: Gauge,
    /// Peer connections closed because the limit was reached.
    pub peer_connections_refused: Counter,
    /// Peer connections closed because the sender broke the protocol.
    pub peer_violations: Counter,
    /// Requests served to peers.
    pub peer_requests: Counter,
    /// Generation of the bundle in force.
    pub bundle_generation: Gauge,
    /// Bundles that were refused because they could not be verified.
    pub bundles_rejected: Counter,
    /// 1 while this controller may order engines, else 0.
    pub lease_held: Gauge,
    /// Fencing token under which this controller last ordered.
    pub lease_token: Gauge,
    /// Orders sent to engines.
    pub orders_sent: Counter,
    /// Planned changes that were given up because the engine did not empty in time.
    pub changes_given_up: Counter,
    /// Planned changes that were carried out.
    pub changes_completed: Counter,
    /// Bytes of membership received, headers included.
    pub gossip_bytes_in: Counter,
    /// Bytes of membership sent, headers included.
    pub gossip_bytes_out: Counter,
    /// Datagrams that could not be understood.
    pub gossip_rubbish: Counter,
}

impl Metrics {
    /// Takes over what membership counted; it keeps its own counts.
    pub fn set_gossip(&self, counts: GossipCounters) {
        for (counter, count) in [
            (&self.gossip_bytes_in, counts.bytes_in),
            (&self.gossip_bytes_out, counts.bytes_out),
            (&self.gossip_rubbish, counts.rubbish),
        ] {
            counter.inner().store(count, Ordering::Relaxed);
        }
    }

    /// The text that a scraper reads.
    pub fn render(&self) -> Result<String, fmt::Error> {
        let mut registry = Registry::with_prefix(PREFIX);
        self.register_counters(&mut registry);
        self.register_gauges(&mut registry);
        let mut rendered = String::new();
        text::encode(&mut rendered, &registry)?;
        Ok(rendered)
    }

    fn register_counters(&self, registry: &mut Registry) {
        let counters = [
            (
                "platform_errors",
                "Calls to the platform that failed",
                &self.platform_errors,
            ),
            ("engine_polls", "Statuses read from engines", &self.engine_polls),
            (
                "engine_poll_failures",
                "Statuses that could not be read",
                &self.engine_poll_failures,
            ),
            (
                "peer_connections_refused",
                "Peer connections closed at the limit",
                &self.peer_connections_refused,
            ),
            (
                "peer_violations",
                "Peer connections closed for rubbish",
                &self.peer_violations,
            ),
            ("peer_requests", "Requests served to peers", &self.peer_requests),
            (
                "bundles_rejected",
                "Bundles that could not be verified",
                &self.bundles_rejected,
            ),
            ("orders_sent", "Orders sent to engines", &self.orders_sent),
            (
                "changes_given_up",
                "Planned changes given up",
                &self.changes_given_up,
            ),
            (
                "changes_completed",
                "Planned changes carried out",
                &self.changes_completed,
            ),
            (
                "gossip_bytes_in",
                "Bytes of membership received",
                &self.gossip_bytes_in,
            ),
            (
                "gossip_bytes_out",
                "Bytes of membership sent",
                &self.gossip_bytes_out,
            ),
            (
                "gossip_rubbish",
                "Datagrams that could not be understood",
                &self.gossip_rubbish,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }

    fn register_gauges(&self, registry: &mut Registry) {
        let gauges = [
            ("fleet_records", "Records known", &self.fleet_records),
            (
                "peer_connections",
                "Peer connections open",
                &self.peer_connections,
            ),
            (
                "bundle_generation",
                "Generation in force",
                &self.bundle_generation,
            ),
            (
                "lease_held",
                "1 while this controller may order engines",
                &self.lease_held,
            ),
            ("lease_token", "Fencing token last held", &self.lease_token),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}
