//! Carries writes to claim rows to the table service, many in one transaction.

use crate::context::Context;
use shelfjunction_core::ledger::batcher::{
    Batch, BatchSettings, ClaimBatcher, ClaimWrite, Ticket, WriteAnswer,
};
use shelfjunction_core::ledger::release::Release;
use shelfjunction_core::table::{PlatformError, TransactionOutcome};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::{HashMap, VecDeque};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Threads that carry transactions out; as many as the batcher lets be on their way.
pub(crate) const CLAIM_WORKERS: usize = 2;

/// Longest sleep of a worker with nothing to do.
const IDLE_STEP: Duration = Duration::from_millis(200);

/// Most releases that wait; more are dropped and their keys stay taken until the retention ends.
const RELEASES_KEPT: usize = 4_096;

/// Pause between two tries to release a claim while the table is down.
const RELEASE_PAUSE: Duration = Duration::from_millis(500);

/// Longest time that a release waits for its thread.
const RELEASE_STEP: Duration = Duration::from_millis(20);

type Reply = Box<dyn FnOnce(WriteAnswer) + Send>;

struct Inner {
    batcher: ClaimBatcher,
    replies: HashMap<Ticket, Reply>,
    releases: VecDeque<Release>,
}

/// Writes that wait, and the threads' meeting point.
pub(crate) struct ClaimLedger {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl ClaimLedger {
    /// No writes yet; each is sent for as long as `patience`.
    pub(crate) fn new(patience: Duration) -> Self {
        let settings = BatchSettings {
            in_flight: CLAIM_WORKERS,
            patience,
            ..BatchSettings::default()
        };
        Self {
            inner: Mutex::new(Inner {
                batcher: ClaimBatcher::new(settings),
                replies: HashMap::new(),
                releases: VecDeque::new(),
            }),
            changed: Condvar::new(),
        }
    }

    /// Hands in a write; `reply` is called once with what became of it.
    pub(crate) fn write(
        &self,
        write: ClaimWrite,
        now: MonotonicTime,
        reply: impl FnOnce(WriteAnswer) + Send + 'static,
    ) {
        let mut inner = lock(&self.inner);
        let Some(ticket) = inner.batcher.submit(write, now) else {
            drop(inner);
            return reply(WriteAnswer::Failed(PlatformError::Unavailable));
        };
        inner.replies.insert(ticket, Box::new(reply));
        self.changed.notify_all();
    }

    /// Hands in a write whose fate nobody waits for.
    pub(crate) fn write_later(&self, write: ClaimWrite, now: MonotonicTime) {
        self.write(write, now, |answer| {
            if let WriteAnswer::Failed(error) = answer {
                log::debug!(error:? = error; "claim_not_recorded");
            }
        });
    }

    /// Hands in a claim to give back.
    pub(crate) fn release(&self, release: Release) {
        let mut inner = lock(&self.inner);
        if inner.releases.len() >= RELEASES_KEPT {
            log::warn!(key = release.key.0.as_str(); "claim_release_dropped");
            return;
        }
        inner.releases.push_back(release);
    }

    /// Whether no write waits or is on its way; releases have a thread of their own.
    fn is_idle(&self) -> bool {
        lock(&self.inner).batcher.is_idle()
    }

    fn next_batch(&self, context: &Context) -> Option<Batch> {
        let mut inner = lock(&self.inner);
        let now = context.now();
        if let Some(batch) = inner.batcher.poll(now) {
            return Some(batch);
        }
        let wait = inner
            .batcher
            .due()
            .map_or(IDLE_STEP, |due| due.since(now).min(IDLE_STEP));
        drop(
            self.changed
                .wait_timeout(inner, wait)
                .unwrap_or_else(PoisonError::into_inner),
        );
        None
    }

    fn settle(&self, batch: &Batch, outcome: Result<TransactionOutcome, PlatformError>, now: MonotonicTime) {
        let mut answered = Vec::new();
        let mut inner = lock(&self.inner);
        for (ticket, answer) in inner.batcher.on_outcome(batch.batch, outcome, now) {
            if let Some(reply) = inner.replies.remove(&ticket) {
                answered.push((reply, answer));
            }
        }
        drop(inner);
        self.changed.notify_all();
        for (reply, answer) in answered {
            reply(answer);
        }
    }
}

/// Carries transactions out until the gateway ends.
pub(crate) fn run_worker(context: &Context) {
    while !(context.stop.is_set() && context.claims.is_idle()) {
        let Some(batch) = context.claims.next_batch(context) else {
            continue;
        };
        let outcome = context.backends.table.transact(&batch.transaction);
        if let Err(error) = &outcome {
            context.metrics.platform_errors.inc();
            log::debug!(error:? = error; "claims_not_written");
        }
        context.claims.settle(&batch, outcome, context.now());
    }
}

/// Gives claims back under which nothing ran, again and again until the table answers or the gateway ends.
pub(crate) fn run_releases(context: &Context) {
    loop {
        let next = lock(&context.claims.inner).releases.pop_front();
        let Some(release) = next else {
            if context.stop.wait(RELEASE_STEP) {
                return;
            }
            continue;
        };
        if carry_out(context, &release).is_ok() {
            continue;
        }
        context.metrics.platform_errors.inc();
        if context.stop.wait(RELEASE_PAUSE) {
            log::warn!(key = release.key.0.as_str(); "claim_left_behind");
            return;
        }
        context.claims.release(release);
    }
}

fn carry_out(context: &Context, release: &Release) -> Result<(), PlatformError> {
    let table = &context.backends.table;
    if let Some(write) = release.write_unread() {
        return table.transact(&write.transaction()).map(drop);
    }
    while let Some(write) = release.write_over(table.read(&release.key)?.as_ref()) {
        if let TransactionOutcome::Committed { .. } = table.transact(&write.transaction())? {
            break;
        }
    }
    Ok(())
}
