//! Settings of a controller, and what is allowed in them.

use serde::{Deserialize, Serialize};
use shelfjunction_core::bundle::signature::SigningAuthority;
use shelfjunction_core::identity::{NodeId, RegionId, ZoneId};
use shelfjunction_core::lease::LeaseTimings;
use shelfjunction_core::membership::config::MembershipConfig;
use shelfjunction_core::orders::OrderTimings;
use shelfjunction_core::setting::FieldError;
use std::net::SocketAddr;
use std::time::Duration;

/// Where a controller runs and whom it speaks to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerConfig {
    /// This machine.
    pub node: NodeId,
    /// Zone that holds the machine.
    pub zone: ZoneId,
    /// Region that holds the zone.
    pub region: RegionId,
    /// Address of the peer protocol, the same port over TCP and UDP; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Address of health and metrics over HTTP; port 0 picks a free one.
    pub http_listen: SocketAddr,
    /// Address of the gateway on the same machine, told to others.
    pub gateway_address: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Controllers to speak to before the platform's list was read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Keys that sign the first bundle.
    pub roots: SigningAuthority,
    /// Times of the lease.
    #[serde(default)]
    pub lease: LeaseTimings,
    /// Times of orders.
    #[serde(default)]
    pub orders: OrderTimings,
    /// Timings and budgets of membership.
    #[serde(default)]
    pub membership: MembershipConfig,
    /// Intervals and limits of time.
    #[serde(default)]
    pub timings: Timings,
    /// Limits of size and number.
    #[serde(default)]
    pub limits: Limits,
}

/// Intervals and limits of time, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timings {
    /// Between two reads of the platform's machine list.
    pub machine_list_millis: u64,
    /// Longest wait between reads of the platform after failures.
    pub platform_backoff_millis: u64,
    /// Longest wait for an answer of the platform.
    pub platform_timeout_millis: u64,
    /// Between two reads of one engine's status by the holder of the zone's lease.
    pub engine_poll_millis: u64,
    /// The same while a planned change of the engine is under way.
    pub changing_poll_millis: u64,
    /// Longest wait for an engine's status or reply to an order.
    pub engine_timeout_millis: u64,
    /// Longest wait for a peer to accept a connection or to answer.
    pub peer_timeout_millis: u64,
    /// A peer connection without a request for this long is closed.
    pub peer_idle_millis: u64,
    /// Longest silence on a stream of records.
    pub watch_keepalive_millis: u64,
    /// Between two reads of the row that names the bundle in force, by the zone's poller.
    pub bundle_poll_millis: u64,
    /// Between two exchanges of heads with a peer of another zone.
    pub vouch_millis: u64,
    /// Between two steps of the zone's commander.
    pub command_step_millis: u64,
    /// Between two runs of the role planner.
    pub plan_millis: u64,
    /// A change whose engine is not empty this long after its drain is given up.
    pub drain_limit_millis: u64,
    /// An engine whose change was given up is left alone this long.
    pub give_up_pause_millis: u64,
    /// A load of weights begins only while the weight store's queue is at most this long.
    pub weight_queue_millis: u64,
    /// Between two reports of demand towards the planner.
    pub demand_millis: u64,
    /// A report of demand counts for this long.
    pub demand_retention_millis: u64,
    /// Longest wait of a planned stop for the release of the lease.
    pub release_wait_millis: u64,
}

/// Limits of size and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Threads that read engines' statuses.
    pub engine_workers: u32,
    /// Most peer connections at once; further ones are closed at once.
    pub peer_connections: u32,
    /// Threads that send orders to engines.
    pub order_workers: u32,
    /// Threads that commit orders to the table service; the lease has one of its own.
    pub table_workers: u32,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            machine_list_millis: 2_000,
            platform_backoff_millis: 15_000,
            platform_timeout_millis: 2_000,
            engine_poll_millis: 1_000,
            changing_poll_millis: 100,
            engine_timeout_millis: 1_000,
            peer_timeout_millis: 1_000,
            peer_idle_millis: 60_000,
            watch_keepalive_millis: 1_000,
            bundle_poll_millis: 1_000,
            vouch_millis: 5_000,
            command_step_millis: 50,
            plan_millis: 2_000,
            drain_limit_millis: 60_000,
            give_up_pause_millis: 30_000,
            weight_queue_millis: 2_000,
            demand_millis: 2_000,
            demand_retention_millis: 10_000,
            release_wait_millis: 3_000,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            engine_workers: 4,
            peer_connections: 256,
            order_workers: 8,
            table_workers: 4,
        }
    }
}

impl ControllerConfig {
    /// Every wrong setting; empty when the controller may start.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = self.timings.validate();
        errors.extend(self.limits.validate());
        errors.extend(self.lease.validate());
        errors.extend(self.orders.validate());
        errors.extend(self.membership.validate());
        if self.timings.engine_timeout_millis >= self.lease.margin_millis {
            // An order on its way must have arrived or been given up before the lease can have ended.
            let allowed = "less than lease.margin_millis";
            let value = self.timings.engine_timeout_millis;
            errors.push(field_error(
                "controller.timings.engine_timeout_millis",
                value,
                allowed,
            ));
        }
        if self.listen.ip().is_unspecified() {
            let allowed = "an address that other machines reach, since they are told it";
            errors.push(field_error("controller.listen", self.listen, allowed));
        }
        for (field, value) in [
            ("controller.node", self.node.as_str()),
            ("controller.zone", self.zone.as_str()),
            ("controller.region", self.region.as_str()),
        ] {
            if value.is_empty() || value.contains('/') {
                errors.push(field_error(field, value, "a name without '/'"));
            }
        }
        errors
    }
}

impl Timings {
    fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        for (field, value) in self.fields() {
            if value == 0 {
                errors.push(field_error(
                    &format!("controller.timings.{field}"),
                    value,
                    "1 or more",
                ));
            }
        }
        errors
    }

    fn fields(&self) -> [(&'static str, u64); 19] {
        [
            ("machine_list_millis", self.machine_list_millis),
            ("platform_backoff_millis", self.platform_backoff_millis),
            ("platform_timeout_millis", self.platform_timeout_millis),
            ("engine_poll_millis", self.engine_poll_millis),
            ("changing_poll_millis", self.changing_poll_millis),
            ("engine_timeout_millis", self.engine_timeout_millis),
            ("peer_timeout_millis", self.peer_timeout_millis),
            ("peer_idle_millis", self.peer_idle_millis),
            ("watch_keepalive_millis", self.watch_keepalive_millis),
            ("bundle_poll_millis", self.bundle_poll_millis),
            ("vouch_millis", self.vouch_millis),
            ("command_step_millis", self.command_step_millis),
            ("plan_millis", self.plan_millis),
            ("drain_limit_millis", self.drain_limit_millis),
            ("give_up_pause_millis", self.give_up_pause_millis),
            ("weight_queue_millis", self.weight_queue_millis),
            ("demand_millis", self.demand_millis),
            ("demand_retention_millis", self.demand_retention_millis),
            ("release_wait_millis", self.release_wait_millis),
        ]
    }
}

impl Limits {
    fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        for (field, value) in [
            ("controller.limits.engine_workers", self.engine_workers),
            ("controller.limits.peer_connections", self.peer_connections),
            ("controller.limits.order_workers", self.order_workers),
            ("controller.limits.table_workers", self.table_workers),
        ] {
            if value == 0 {
                errors.push(field_error(field, value, "1 or more"));
            }
        }
        errors
    }
}

fn field_error(field: &str, value: impl ToString, allowed: &str) -> FieldError {
    FieldError {
        field: field.to_owned(),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}

/// A setting in milliseconds as a duration.
pub(crate) const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}
