//! What every thread of a gateway shares.

use crate::admission_gate::AdmissionGate;
use crate::claims::ClaimLedger;
use crate::config::{GatewayConfig, millis};
use crate::metrics::Metrics;
use crate::registry::Registry;
use crate::tenant_rates::TenantRates;
use crate::usage::UsageTable;
use crate::watch::bundles::BundleView;
use crate::watch::fleet_view::FleetView;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha20Rng;
use shelfjunction_core::demand::estimator::DemandEstimator;
use shelfjunction_core::retry::backoff::Backoff;
use shelfjunction_core::retry::budget::{RetryBudget, RetryBudgetSettings};
use shelfjunction_core::tenancy::CacheSecret;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::clock::MonotonicClock;
use shelfjunction_platform::engine::EngineClient;
use shelfjunction_platform::services::{ObjectStore, TableService};
use shelfjunction_threads::{StopSignal, lock};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Reading of the clock when the gateway starts, so that what others saw before that has an instant, too: a bundle
/// that was confirmed a second ago is confirmed for a gateway that is younger than that.
const CLOCK_HEAD_START: Duration = Duration::from_secs(24 * 60 * 60);

/// The systems outside.
#[derive(Clone)]
pub struct Backends {
    /// The transactional table service.
    pub table: Arc<dyn TableService>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// How engines are spoken to.
    pub engines: Arc<dyn EngineClient>,
}

/// State shared by the threads of one gateway.
pub(crate) struct Context {
    pub(crate) config: GatewayConfig,
    clock: MonotonicClock,
    pub(crate) backends: Backends,
    pub(crate) secret: CacheSecret,
    pub(crate) bundles: BundleView,
    pub(crate) fleet: Mutex<FleetView>,
    pub(crate) admission: AdmissionGate,
    pub(crate) demand: Mutex<DemandEstimator>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) backoff: Backoff,
    pub(crate) claims: ClaimLedger,
    pub(crate) registry: Registry,
    pub(crate) usage: UsageTable,
    pub(crate) tenant_rates: TenantRates,
    pub(crate) metrics: Metrics,
    /// Set when a planned stop begins: nothing new is taken.
    pub(crate) stopping: StopSignal,
    /// The open stream of records, so that a stop can end the thread that reads it.
    pub(crate) fleet_stream: Mutex<Option<TcpStream>>,
    /// Set when every request has ended: background threads end.
    pub(crate) stop: StopSignal,
    random: Mutex<ChaCha20Rng>,
}

impl Context {
    /// Fresh state for a gateway that starts now.
    pub(crate) fn new(config: GatewayConfig, secret: CacheSecret, backends: Backends) -> Self {
        let clock = MonotonicClock::start();
        Self {
            clock,
            secret,
            bundles: BundleView::new(config.roots.clone(), config.zone.clone()),
            fleet: Mutex::new(FleetView::new(config.routing.clone())),
            admission: AdmissionGate::new(config.admission.clone()),
            demand: Mutex::new(DemandEstimator::new(clock.now() + CLOCK_HEAD_START)),
            retry_budget: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
            backoff: Backoff::default(),
            claims: ClaimLedger::new(millis(config.timings.claim_patience_millis)),
            registry: Registry::new(config.requests.streams),
            usage: UsageTable::default(),
            tenant_rates: TenantRates::default(),
            metrics: Metrics::new(),
            stopping: StopSignal::default(),
            fleet_stream: Mutex::new(None),
            stop: StopSignal::default(),
            random: Mutex::new(ChaCha20Rng::from_os_rng()),
            backends,
            config,
        }
    }

    /// The present instant.
    pub(crate) fn now(&self) -> MonotonicTime {
        self.clock.now() + CLOCK_HEAD_START
    }

    /// Ends every background thread; those that wait are woken.
    pub(crate) fn end_threads(&self) {
        self.stop.set();
        self.bundles.wake();
        if let Some(stream) = lock(&self.fleet_stream).as_ref() {
            // A stream that broke already has woken its reader.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lends the process's random numbers.
    pub(crate) fn with_random<T>(&self, use_random: impl FnOnce(&mut dyn RngCore) -> T) -> T {
        use_random(&mut *lock(&self.random))
    }
}
