//! What every thread of a controller shares.

use crate::config::ControllerConfig;
use crate::fleet::FleetTable;
use crate::machine_watch::MachineView;
use crate::metrics::Metrics;
use crate::stop::StopSignal;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::clock::MonotonicClock;
use shelfjunction_platform::engine::EngineClient;
use shelfjunction_platform::services::{MachineList, ObjectStore, TableService, WeightStore};
use std::net::UdpSocket;
use std::sync::Arc;

/// The systems outside.
#[derive(Clone)]
pub struct Services {
    /// The transactional table service.
    pub table: Arc<dyn TableService>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's list of machines.
    pub machines: Arc<dyn MachineList>,
    /// The rate-limited weight store.
    pub weights: Arc<dyn WeightStore>,
    /// How engines are spoken to.
    pub engines: Arc<dyn EngineClient>,
}

/// State shared by the threads of one controller.
pub struct Context {
    /// Settings.
    pub config: ControllerConfig,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// The systems outside.
    pub services: Services,
    /// What is known of nodes and engines.
    pub fleet: FleetTable,
    /// Gossip's socket, on the same port as the peer protocol over TCP.
    pub datagrams: UdpSocket,
    /// The platform's list as last read.
    pub machines: MachineView,
    /// Counts and gauges.
    pub metrics: Metrics,
    /// Set when the controller ends.
    pub stop: StopSignal,
}

impl Context {
    /// Fresh state for a controller that starts now.
    pub fn new(config: ControllerConfig, services: Services, datagrams: UdpSocket) -> Self {
        Self {
            config,
            clock: MonotonicClock::start(),
            services,
            fleet: FleetTable::default(),
            datagrams,
            machines: MachineView::default(),
            metrics: Metrics::default(),
            stop: StopSignal::default(),
        }
    }

    /// The present instant.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }
}
