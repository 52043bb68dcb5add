//! What every thread of a controller shares.

use crate::bundle::BundleState;
use crate::command::CommandLink;
use crate::config::ControllerConfig;
use crate::demand::DemandBoard;
use crate::gossip::Gossip;
use crate::metrics::Metrics;
use crate::peer::server::{self, OpenConnections};
use crate::tenant_rates::TenantRates;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::clock::MonotonicClock;
use shelfjunction_platform::engine::EngineClient;
use shelfjunction_platform::services::{MachineList, ObjectStore, TableService, WeightStore};
use shelfjunction_threads::StopSignal;
use std::net::SocketAddr;
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
    /// Membership: the records of nodes and engines.
    pub gossip: Gossip,
    /// The bundle in force.
    pub bundle: BundleState,
    /// Demand as gateways and other controllers reported it.
    pub demand: DemandBoard,
    /// The buckets of tenants' rates.
    pub(crate) tenant_rates: TenantRates,
    /// The way to the thread that commands the zone, and what it last said.
    pub command: CommandLink,
    /// Counts and gauges.
    pub metrics: Metrics,
    /// Open peer connections.
    pub open: OpenConnections,
    /// Address of the peer protocol.
    pub peer_address: SocketAddr,
    /// Set when a planned stop begins: authority is given up, everything else goes on.
    pub leaving: StopSignal,
    /// Set when every thread is to end.
    pub stop: StopSignal,
}

impl Context {
    /// The present instant.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Ends every thread.
    pub fn end(&self) {
        self.stop.set();
        self.bundle.stop();
        self.open.close_all();
        server::wake(self.peer_address);
    }
}
