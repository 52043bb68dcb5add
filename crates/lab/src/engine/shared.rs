//! The engine model, shared between the threads that serve requests and the one that drives its time.

use super::clock::ScaledClock;
use super::config::EngineConfig;
use super::faults::EngineServerFaults;
use super::log::{EngineLog, OrderRecord};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_engine_model::EngineModel;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest sleep of a thread that waits for the engine, so that a stop is noticed.
const LONGEST_WAIT: Duration = Duration::from_millis(200);

/// Orders kept in the log.
const LOGGED_ORDERS: usize = 100_000;

/// What the lock guards.
pub struct Guarded {
    /// The engine.
    pub model: EngineModel,
    /// Its time.
    pub clock: ScaledClock,
    /// Faults that are switched on.
    pub faults: EngineServerFaults,
    orders: Vec<OrderRecord>,
}

impl Guarded {
    /// The present instant of model time.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Keeps an order and its answer.
    pub fn record_order(&mut self, record: OrderRecord) {
        if self.orders.len() < LOGGED_ORDERS {
            self.orders.push(record);
        }
    }

    /// What the engine was told and ran.
    pub fn log(&self, malformed_requests: u64) -> EngineLog {
        EngineLog {
            incarnation: self.model.state().incarnation(),
            runs: self.model.log().cloned().collect(),
            orders: self.orders.clone(),
            malformed_requests,
        }
    }
}

/// Everything that the threads of one stand-in share.
pub struct EngineShared {
    /// Settings.
    pub config: EngineConfig,
    guarded: Mutex<Guarded>,
    /// Wakes the driver: the next step may be earlier than it thought.
    work: Condvar,
    /// Wakes the streams: parts may be there.
    progress: Condvar,
    malformed_requests: AtomicU64,
    stopping: AtomicBool,
}

impl EngineShared {
    /// The engine at its start.
    pub fn new(config: EngineConfig) -> Self {
        let incarnation = config.incarnation.unwrap_or_else(wall_clock_millis);
        let model = EngineModel::new(
            config.name.clone(),
            incarnation,
            config.model.clone(),
            config.seed,
        );
        let guarded = Guarded {
            model,
            clock: ScaledClock::start(config.time_scale),
            faults: EngineServerFaults::default(),
            orders: Vec::new(),
        };
        Self {
            config,
            guarded: Mutex::new(guarded),
            work: Condvar::new(),
            progress: Condvar::new(),
            malformed_requests: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// Locks the engine; waits while it is frozen.
    pub fn lock(&self) -> MutexGuard<'_, Guarded> {
        let mut guarded = self.guarded.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(left) = guarded.clock.frozen_for() {
            if self.is_stopping() {
                break;
            }
            guarded = wait(&self.work, guarded, left.min(LONGEST_WAIT));
        }
        guarded
    }

    /// Wakes every thread that waits for the engine.
    pub fn notify(&self) {
        self.work.notify_all();
        self.progress.notify_all();
    }

    /// Waits until parts may be there.
    pub fn wait_for_progress<'a>(&self, guarded: MutexGuard<'a, Guarded>) -> MutexGuard<'a, Guarded> {
        wait(&self.progress, guarded, LONGEST_WAIT)
    }

    /// Drives the engine's time until the server stops.
    pub fn drive(&self) {
        while !self.is_stopping() {
            let mut guarded = self.lock();
            let now = guarded.now();
            guarded.model.advance(now);
            self.progress.notify_all();
            let next = guarded.model.next_step_at();
            let left = next.map_or(LONGEST_WAIT, |at| guarded.clock.until(at));
            if !left.is_zero() {
                drop(wait(&self.work, guarded, left.min(LONGEST_WAIT)));
            }
        }
    }

    /// Counts a request that could not be understood.
    pub fn count_malformed(&self) {
        self.malformed_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests that could not be understood so far.
    pub fn malformed_requests(&self) -> u64 {
        self.malformed_requests.load(Ordering::Relaxed)
    }

    /// Whether the server is to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Lets the server end.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.notify();
    }
}

fn wait<'a>(
    condition: &Condvar,
    guarded: MutexGuard<'a, Guarded>,
    longest: Duration,
) -> MutexGuard<'a, Guarded> {
    let waited = condition.wait_timeout(guarded, longest);
    waited.unwrap_or_else(PoisonError::into_inner).0
}

fn wall_clock_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
