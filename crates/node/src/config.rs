//! Settings of the process.

use serde::{Deserialize, Serialize};
use shelfjunction_core::autoscaling::config::AutoscalingPolicy;
use shelfjunction_core::buffering;
use shelfjunction_core::cordon::CordonSettings;
use shelfjunction_core::forwarding::{DeliverySettings, HandoverSettings, stopping};
use shelfjunction_core::identity::{NodeId, ZoneId};
use shelfjunction_core::lease::LeaseTimings;
use shelfjunction_core::metering::config::MeteringSettings;
use shelfjunction_core::placing::config::PlacingSettings;
use shelfjunction_core::quarantine::config::QuarantineSettings;
use shelfjunction_core::retry::window::WindowBudgetSettings;
use shelfjunction_core::roles::pool::PoolRolePolicy;
use shelfjunction_core::routing::pool::{PoolAdmission, PoolWeights};
use shelfjunction_core::setting::FieldError;
use shelfjunction_core::spill::config::SpillSettings;
use shelfjunction_core::tenancy::rate_reserve::TenantRateSettings;
use shelfjunction_core::topology::TopologySettings;
use shelfjunction_core::watching::SharedWatchSettings;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeConfig {
    /// Name of this machine.
    pub node: NodeId,
    /// Zone of this machine.
    pub zone: ZoneId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address that tells whether this machine takes callers.
    pub ready_listen: SocketAddr,
    /// Address that tells metrics; none are told without it.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// Address for the words of other nodes.
    pub peer_listen: SocketAddr,
    /// Part of a processor core that this process may use; of a large fleet the nodes with most choose engines for all.
    #[serde(default = "defaults::processor_share")]
    pub processor_share: f64,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time, so that engines hold nothing yet and no repeats were granted.
    /// Has to be false whenever a process is started again.
    #[serde(default)]
    pub first_start: bool,
    /// Time over which nodes that start together for the first time enter themselves into the store's list: the store
    /// takes some 200 writes a second of one part, and refuses what would wait longer than a second.
    #[serde(default = "defaults::entering_spread_millis")]
    pub entering_spread_millis: u64,
    /// Repeats allowed for each request.
    #[serde(default = "defaults::retry_ratio")]
    pub retry_ratio: f64,
    /// Repeats allowed beyond, over all nodes, within a window.
    #[serde(default = "defaults::retry_slack")]
    pub retry_slack: f64,
    /// Length of the window.
    #[serde(default = "defaults::retry_window")]
    pub retry_window_seconds: f64,
    /// Time from the signal to stop until the process is ended by force.
    #[serde(default = "defaults::grace")]
    pub grace_seconds: f64,
    /// How the store's list of nodes is kept.
    #[serde(default)]
    pub directory: DirectorySettings,
    /// How the nodes share the watching of the configuration.
    #[serde(default)]
    pub config_watch: SharedWatchSettings,
    /// How the nodes share the watching of the list of engines.
    #[serde(default)]
    pub list_watch: SharedWatchSettings,
    /// Memory of the machine, in megabytes; bounds what the process holds for others.
    #[serde(default = "defaults::memory_megabytes")]
    pub memory_megabytes: usize,
    /// Descriptors that the process may open; bounds callers' connections.
    #[serde(default = "defaults::descriptors")]
    pub descriptors: usize,
    /// Most callers' connections at once, where memory and descriptors allow as many.
    #[serde(default = "defaults::connections")]
    pub connections: usize,
    /// Times of the lease over orders and duties.
    #[serde(default = "defaults::lease")]
    pub lease: LeaseTimings,
    /// When engines change their stage.
    #[serde(default)]
    pub roles: PoolRolePolicy,
    /// Weights of the choice of engines.
    #[serde(default)]
    pub routing: PoolWeights,
    /// Which requests are taken, and in which order of urgency.
    #[serde(default)]
    pub admission: PoolAdmission,
    /// Which nodes choose engines for which requests.
    #[serde(default)]
    pub placing: PlacingSettings,
    /// Zones and regions.
    #[serde(default)]
    pub topology: TopologySettings,
    /// Which requests are handed to other regions and accepted from them.
    #[serde(default)]
    pub spill: SpillSettings,
    /// What is kept for callers that read slowly.
    #[serde(default)]
    pub delivery: DeliverySettings,
    /// When a stream whose engine is silent has passed to another engine.
    #[serde(default)]
    pub handover: HandoverSettings,
    /// What operators may have left alone.
    #[serde(default)]
    pub cordons: CordonSettings,
    /// When requests are refused that crash engines.
    #[serde(default)]
    pub quarantine: QuarantineSettings,
    /// Tenants' rates.
    #[serde(default)]
    pub tenant_rates: TenantRateSettings,
    /// How usage of tenants is counted; not at all without it.
    #[serde(default)]
    pub metering: Option<MeteringSettings>,
    /// The platform's own interface, where one node at a time has duties; none without it.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// How much room is bought where engines are paid by the second.
    #[serde(default)]
    pub autoscaling: AutoscalingPolicy,
}

/// How the store's list of nodes is kept.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DirectorySettings {
    /// Time between two readings of the list; nodes that come in between are heard.
    pub read_every_seconds: f64,
    /// Silence after which the holder of the lease takes a node off the list. A node that lives and can't be heard for so
    /// long enters itself again when it reads the list without its name.
    pub forget_after_seconds: f64,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            read_every_seconds: 60.0,
            forget_after_seconds: 600.0,
        }
    }
}

impl DirectorySettings {
    /// Time between two readings of the list.
    pub fn read_every(&self) -> Duration {
        Duration::from_secs_f64(self.read_every_seconds)
    }

    /// Silence after which a node is taken off the list.
    pub fn forget_after(&self) -> Duration {
        Duration::from_secs_f64(self.forget_after_seconds)
    }
}

/// Settings of the duties that one node at a time has towards the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Address of the platform's interface.
    pub address: SocketAddr,
    /// What is to be done there; words that this version doesn't know are left to others.
    pub tasks: Vec<String>,
}

/// Task: order engines that are paid by the second.
pub const AUTOSCALING: &str = "autoscaling";

/// Task: report the usage of tenants.
pub const USAGE_REPORTING: &str = "usage_reporting";

impl DutySettings {
    /// Whether a task is to be done.
    pub fn has(&self, task: &str) -> bool {
        self.tasks.iter().any(|one| one == task)
    }
}

mod defaults {
    use shelfjunction_core::lease::LeaseTimings;

    /// A window's usage is due ten seconds after its end: a successor of a holder that was cut off has 3.5 s to notice
    /// and 4.5 s to wait for the lease to lapse.
    pub fn lease() -> LeaseTimings {
        LeaseTimings {
            duration_millis: 4_500,
            margin_millis: 1_000,
            renew_every_millis: 1_000,
            ..LeaseTimings::default()
        }
    }

    pub fn processor_share() -> f64 {
        1.0
    }

    pub fn entering_spread_millis() -> u64 {
        1_000
    }

    pub fn retry_ratio() -> f64 {
        0.2
    }

    pub fn retry_slack() -> f64 {
        50.0
    }

    pub fn retry_window() -> f64 {
        10.0
    }

    pub fn grace() -> f64 {
        8.0
    }

    pub fn memory_megabytes() -> usize {
        256
    }

    pub fn descriptors() -> usize {
        4_096
    }

    pub fn connections() -> usize {
        1_500
    }
}

/// Smallest machine that a process runs on.
const MIN_MEMORY_MEGABYTES: usize = 16;
const MIN_DESCRIPTORS: usize = 64;

/// Bounds of the times that are set in seconds.
const SECONDS: std::ops::RangeInclusive<f64> = 0.1..=3_600.0;

impl NodeConfig {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = self.routing.validate();
        errors.extend(self.admission.validate());
        errors.extend(self.placing.validate());
        errors.extend(self.topology.validate(&self.zone));
        errors.extend(self.spill.validate());
        errors.extend(self.delivery.validate());
        errors.extend(self.handover.validate());
        errors.extend(self.cordons.validate());
        errors.extend(self.quarantine.validate());
        errors.extend(self.tenant_rates.validate());
        errors.extend(self.roles.validate());
        errors.extend(self.lease.validate());
        errors.extend(self.config_watch.validate("config_watch"));
        errors.extend(self.list_watch.validate("list_watch"));
        errors.extend(self.autoscaling.validate());
        errors.extend(self.metering.iter().flat_map(MeteringSettings::validate));
        let fractions = [
            ("node.processor_share", self.processor_share),
            ("node.retry_ratio", self.retry_ratio),
            ("node.retry_slack", self.retry_slack),
        ];
        for (field, value) in fractions {
            if !(value.is_finite() && value >= 0.0) {
                errors.push(fault(field, value.to_string(), "a finite number, 0 or more"));
            }
        }
        let times = [
            ("node.retry_window_seconds", self.retry_window_seconds),
            ("node.grace_seconds", self.grace_seconds),
            (
                "node.directory.read_every_seconds",
                self.directory.read_every_seconds,
            ),
            (
                "node.directory.forget_after_seconds",
                self.directory.forget_after_seconds,
            ),
        ];
        for (field, value) in times.into_iter().filter(|(_, value)| !SECONDS.contains(value)) {
            errors.push(fault(field, value.to_string(), "0.1 to 3600 seconds"));
        }
        if self.connections == 0 {
            errors.push(fault("node.connections", "0".to_owned(), "1 or more"));
        }
        let machine = [
            (
                "node.memory_megabytes",
                self.memory_megabytes,
                MIN_MEMORY_MEGABYTES,
            ),
            ("node.descriptors", self.descriptors, MIN_DESCRIPTORS),
        ];
        for (field, value, least) in machine.into_iter().filter(|(_, value, least)| value < least) {
            errors.push(fault(field, value.to_string(), &format!("{least} or more")));
        }
        errors
    }

    /// Callers' connections that may be open at once.
    pub fn max_connections(&self) -> usize {
        let allowed = buffering::max_connections(self.memory_megabytes, self.descriptors);
        self.connections.min(allowed)
    }

    /// Time over which this node may wait before it enters itself into the store's list.
    pub fn entering_spread(&self) -> Duration {
        if self.first_start {
            Duration::from_millis(self.entering_spread_millis)
        } else {
            Duration::ZERO
        }
    }

    /// The budget for repeats.
    pub fn retry_budget(&self) -> WindowBudgetSettings {
        WindowBudgetSettings {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Duration::from_secs_f64(self.retry_window_seconds),
        }
    }

    /// Thousandths of a processor core that this process may use.
    pub fn processor_thousandths(&self) -> u32 {
        (self.processor_share * 1_000.0) as u32
    }

    /// Time from the signal to stop until the process is ended by force.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_seconds)
    }

    /// Time from the signal to stop until the process ends by itself, whatever is under way.
    pub fn end_after_stop(&self) -> Duration {
        stopping::ends_after(self.grace())
    }
}

fn fault(field: &str, value: String, allowed: &str) -> FieldError {
    FieldError {
        field: field.to_owned(),
        value,
        allowed: allowed.to_owned(),
    }
}
