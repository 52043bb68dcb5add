//! A whole engine counted in tokens: batch, cache, orders, reports and faults.

use crate::batch::Batch;
use crate::config::EngineModelConfig;
use crate::faults::EngineFaults;
use crate::kv_log::KvLog;
use crate::load::LaggedLoad;
use crate::orders::{CompletedChange, OrderExecutor};
use crate::sequence::{BatchEvent, SequenceKey, SequenceWork};
use crate::start::{executor, first_role_and_weights, restart_role_and_weights};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::engine::{
    EngineRefusal, EngineRefusalReason, EngineStatus, KvEvent, LoadReport, LoadedWeights, Order, OrderReply,
    Phase, Role,
};
use shelfjunction_core::identity::{AdapterId, EngineId, ModelId, OrderId};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Time to come back after a refusal that may pass soon, in milliseconds.
const RETRY_AFTER_MILLIS: u64 = 250;

/// What a sequence runs on.
#[derive(Clone, Copy, Debug)]
pub struct WorkTarget<'a> {
    /// The model or application.
    pub model: &'a ModelId,
    /// The adapter on top of it.
    pub adapter: Option<&'a AdapterId>,
}

/// An engine without texts and request identities.
#[derive(Debug)]
pub struct EngineState {
    config: EngineModelConfig,
    engine: EngineId,
    incarnation: u64,
    batch: Batch,
    orders: OrderExecutor,
    events: KvLog,
    reported: LaggedLoad,
    faults: EngineFaults,
    random: ChaCha8Rng,
}

impl EngineState {
    /// An engine at its first start; `seed` decides which cache events are lost.
    pub fn new(engine: EngineId, incarnation: u64, config: EngineModelConfig, seed: u64) -> Self {
        let (role, weights) = first_role_and_weights(&config.kind);
        Self {
            batch: Batch::new(config.step, config.limits),
            orders: executor(&engine, &config, role, weights),
            events: KvLog::new(config.limits.retained_events),
            reported: LaggedLoad::default(),
            faults: EngineFaults::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            config,
            engine,
            incarnation,
        }
    }

    /// The engine's name.
    pub fn engine(&self) -> &EngineId {
        &self.engine
    }

    /// Settings of the engine.
    pub fn config(&self) -> &EngineModelConfig {
        &self.config
    }

    /// Start of the engine's process that all its counts belong to.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sequences that wait or run.
    pub fn in_flight(&self) -> u32 {
        self.batch.len()
    }

    /// Present role.
    pub fn role(&self) -> Role {
        self.orders.role()
    }

    /// Sets the faults from now on.
    pub fn set_faults(&mut self, faults: EngineFaults) {
        self.batch.set_slow_factor(faults.slow_factor);
        self.faults = faults;
    }

    /// Takes in a sequence or refuses it before any of it ran. Advance to `now` first.
    pub fn submit(
        &mut self,
        now: MonotonicTime,
        target: WorkTarget<'_>,
        work: SequenceWork,
    ) -> Result<SequenceKey, EngineRefusal> {
        if let Some(reason) = self.refusal(target, &work) {
            return Err(EngineRefusal {
                reason,
                retry_after_millis: RETRY_AFTER_MILLIS,
            });
        }
        Ok(self.batch.submit(now, work))
    }

    /// Removes a sequence; tells whether it was there. Advance to `now` first.
    pub fn cancel(&mut self, now: MonotonicTime, key: SequenceKey) -> bool {
        self.batch.cancel(now, key)
    }

    /// Output tokens that a sequence has produced; absent when it is not here any more.
    pub fn produced(&self, key: SequenceKey) -> Option<u32> {
        self.batch.produced(key)
    }

    /// When something other than counts may change: the simulator's next call of [`Self::advance`].
    pub fn next_event_at(&self) -> Option<MonotonicTime> {
        self.batch
            .next_event_at()
            .into_iter()
            .chain(self.next_change_at())
            .min()
    }

    /// When the next output token may be there: the stand-in's next call of [`Self::advance`].
    pub fn next_step_at(&self) -> Option<MonotonicTime> {
        self.batch
            .next_step_at()
            .into_iter()
            .chain(self.next_change_at())
            .min()
    }

    /// Brings everything up to `now` and appends what happened to sequences, in order of time.
    pub fn advance(&mut self, now: MonotonicTime, events: &mut Vec<BatchEvent>) {
        if self.faults.crash_in_change && self.orders.change_middle_at().is_some_and(|at| at <= now) {
            self.faults.crash_in_change = false;
            self.crash();
            return;
        }
        self.batch.advance(now, events);
        if let Some(change) = self.orders.advance(now) {
            self.finish_change(&change, now);
        }
        self.record_cache_changes();
        if self.reported.is_due(now, &self.config.reports) {
            self.reported.push(now, self.batch.load(), &self.config.reports);
        }
    }

    /// Answers an order; `held` counts further work that a change would cut off, `queue` is the weight store's wait.
    pub fn order(&mut self, order: &Order, held: u32, queue: Duration, now: MonotonicTime) -> OrderReply {
        let in_flight = self.batch.len() + held;
        self.orders.order(order, in_flight, queue, now)
    }

    /// Sets when the load begun by an order is done, as soon as the weight store has told its wait.
    pub fn weights_arrive(&mut self, order: &OrderId, wait: Duration, now: MonotonicTime) {
        self.orders.weights_arrive(order, wait, now);
    }

    /// Whether a role change or a load goes on.
    pub fn is_changing(&self) -> bool {
        self.orders.is_changing()
    }

    /// What the engine says of itself. Advance to `now` first.
    pub fn status(&self, now: MonotonicTime) -> EngineStatus {
        EngineStatus {
            engine: self.engine.clone(),
            incarnation: self.incarnation,
            fence: self.orders.fence(),
            last_order: self.orders.last_order().cloned(),
            role: self.orders.role(),
            draining: self.orders.is_draining(),
            changing: self.orders.is_changing(),
            weights: self.orders.weights().to_vec(),
            load: self.reported_load(now),
        }
    }

    /// The load as told at `now`: late, and multiplied by the lie.
    pub fn reported_load(&self, now: MonotonicTime) -> LoadReport {
        let told = self.reported.told(now, &self.config.reports);
        let lie = |truth: u64| (truth as f64 * self.faults.lie_factor) as u64;
        LoadReport {
            requests_in_flight: lie(told.requests_in_flight.into()) as u32,
            queued_prefill_tokens: lie(told.queued_prefill_tokens),
            queued_decode_tokens: lie(told.queued_decode_tokens),
            active_sequences: lie(told.active_sequences.into()) as u32,
            cache_tokens_capacity: self.config.limits.cache_tokens,
            ..told
        }
    }

    /// The load at this moment, as an omniscient observer sees it.
    pub fn true_load(&self) -> LoadReport {
        self.batch.load()
    }

    /// Cache events after a sequence number, as far as they can be read yet.
    pub fn kv_events(&self, after: u64, now: MonotonicTime) -> Vec<KvEvent> {
        let lag = Duration::from_millis(self.config.reports.event_lag_millis);
        self.events.after(after, now, lag)
    }

    /// Ends the engine's process and starts the next: everything in flight, loaded, cached or seen is gone.
    pub fn crash(&mut self) {
        let (role, weights) = restart_role_and_weights(&self.config.kind);
        self.incarnation += 1;
        self.batch = Batch::new(self.config.step, self.config.limits);
        self.batch.set_slow_factor(self.faults.slow_factor);
        self.orders = executor(&self.engine, &self.config, role, weights);
        self.events = KvLog::new(self.config.limits.retained_events);
        self.reported = LaggedLoad::default();
    }

    fn next_change_at(&self) -> Option<MonotonicTime> {
        if self.faults.crash_in_change {
            return self.orders.change_middle_at();
        }
        self.orders.change_done_at()
    }

    fn refusal(&self, target: WorkTarget<'_>, work: &SequenceWork) -> Option<EngineRefusalReason> {
        if self.orders.is_changing() {
            return Some(EngineRefusalReason::Changing);
        }
        if self.orders.is_draining() {
            return Some(EngineRefusalReason::Draining);
        }
        if !self.holds(target) {
            return Some(EngineRefusalReason::NotLoaded);
        }
        if !serves(self.orders.role(), work) {
            return Some(EngineRefusalReason::WrongRole);
        }
        if !self.batch.fits(work) {
            return Some(EngineRefusalReason::Malformed);
        }
        let full = self.batch.queued() >= self.config.limits.queued_calls;
        full.then_some(EngineRefusalReason::QueueFull)
    }

    fn holds(&self, target: WorkTarget<'_>) -> bool {
        let has_adapter = |weights: &LoadedWeights| {
            target
                .adapter
                .is_none_or(|adapter| weights.adapters.contains(adapter))
        };
        self.orders
            .weights()
            .iter()
            .any(|weights| weights.model == *target.model && has_adapter(weights))
    }

    fn finish_change(&mut self, change: &CompletedChange, now: MonotonicTime) {
        let cold = match change {
            CompletedChange::Role(_) => true,
            CompletedChange::Weights { replaced, .. } => *replaced,
        };
        if cold {
            self.batch.clear_cache(now);
        }
    }

    fn record_cache_changes(&mut self) {
        let configured = self.config.reports.event_gap_probability;
        let loss = self.faults.event_gap_probability.unwrap_or(configured);
        for (at, change) in self.batch.take_cache_changes() {
            self.events.record(at, change, loss, &mut self.random);
        }
    }
}

/// Whether a role serves a piece of work.
fn serves(role: Role, work: &SequenceWork) -> bool {
    match role {
        Role::Mixed => true,
        Role::Prefill => work.phase == Phase::PrefillOnly,
        Role::Decode => work.phase == Phase::Whole && work.imported,
    }
}
