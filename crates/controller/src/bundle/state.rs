//! The keeper, shared by the threads that learn of heads and those that serve them.

use crate::metrics::Metrics;
use shelfjunction_core::bundle::signature::SigningAuthority;
use shelfjunction_core::bundle::{BundleInForce, BundleKeeper, Digest, Head, HeadSource, KeeperEvent};
use shelfjunction_core::identity::{Generation, ZoneId};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::peer::{BundleHead, ContentDigest, MAXIMUM_FRAME_BYTES};
use shelfjunction_threads::lock;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Bytes of contents in one answer; leaves room for lengths within a frame.
const MAXIMUM_ANSWER_BYTES: usize = MAXIMUM_FRAME_BYTES - 64 * 1024;

/// What the exchange with peers has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Contents may be missing.
    pub fetch: bool,
    /// A bundle came into force that others may not know of.
    pub announce: bool,
    /// The controller ends.
    pub stop: bool,
}

/// The keeper and what follows from its last changes.
#[derive(Debug)]
pub struct BundleState {
    keeper: Mutex<BundleKeeper>,
    pending: Mutex<PendingWork>,
    wake: Condvar,
    keeper_changed: Condvar,
    metrics: Metrics,
}

impl BundleState {
    /// State without a bundle.
    pub fn new(roots: SigningAuthority, zone: ZoneId, metrics: Metrics) -> Self {
        Self {
            keeper: Mutex::new(BundleKeeper::new(roots, zone)),
            pending: Mutex::default(),
            wake: Condvar::new(),
            keeper_changed: Condvar::new(),
            metrics,
        }
    }

    /// Takes in what the store or a peer says is current.
    pub fn on_head(&self, head: Option<Head>, source: &HeadSource, now: MonotonicTime) {
        let mut keeper = lock(&self.keeper);
        let events = keeper.on_head(head, source, now);
        let incomplete = !keeper.wanted().is_empty();
        drop(keeper);
        self.keeper_changed.notify_all();
        self.follow(&events, incomplete);
    }

    /// Takes in contents that were asked for.
    pub fn on_contents(&self, contents: Vec<Vec<u8>>) {
        let events = lock(&self.keeper).on_contents(contents);
        self.follow(&events, false);
    }

    /// Contents that are missing.
    pub fn wanted(&self) -> Vec<Digest> {
        lock(&self.keeper).wanted()
    }

    /// The bundle in force.
    pub fn in_force(&self) -> Option<Arc<BundleInForce>> {
        lock(&self.keeper).in_force().cloned()
    }

    /// Generation in force; zero without a bundle.
    pub fn generation(&self) -> Generation {
        lock(&self.keeper).generation()
    }

    /// The head in force as peers are told.
    pub fn head(&self, now: MonotonicTime) -> Option<BundleHead> {
        let keeper = lock(&self.keeper);
        let head = keeper.head()?;
        let age = keeper.confirmed_ago(now).unwrap_or(Duration::MAX);
        Some(BundleHead {
            generation: head.generation,
            manifest: head.digest.0,
            confirmed_millis_ago: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// The contents at hand among those asked for, as many as one answer holds.
    pub fn contents(&self, digests: &[ContentDigest]) -> Vec<Vec<u8>> {
        let keeper = lock(&self.keeper);
        let mut found = Vec::new();
        let mut bytes = 0;
        for digest in digests {
            let Some(content) = keeper.content(Digest(*digest)) else {
                continue;
            };
            bytes += content.len();
            if bytes > MAXIMUM_ANSWER_BYTES {
                break;
            }
            found.push(content.to_vec());
        }
        found
    }

    /// Waits for work or until the time has passed, and takes the work.
    pub fn wait_for_work(&self, timeout: Duration) -> PendingWork {
        let pending = lock(&self.pending);
        let (mut pending, _) = self
            .wake
            .wait_timeout_while(pending, timeout, |pending| *pending == PendingWork::default())
            .unwrap_or_else(PoisonError::into_inner);
        let taken = *pending;
        *pending = PendingWork {
            stop: taken.stop,
            ..PendingWork::default()
        };
        taken
    }

    /// Waits until a generation at least this high is in force, or the time has passed; true when it is.
    pub fn wait_generation(&self, generation: Generation, timeout: Duration) -> bool {
        let keeper = lock(&self.keeper);
        let (keeper, _) = self
            .keeper_changed
            .wait_timeout_while(keeper, timeout, |keeper| keeper.generation() < generation)
            .unwrap_or_else(PoisonError::into_inner);
        keeper.generation() >= generation
    }

    /// Whether a bundle is in force that the store or another zone has confirmed since this controller's start.
    pub fn is_confirmed(&self, now: MonotonicTime) -> bool {
        is_confirmed(&lock(&self.keeper), now)
    }

    /// Waits until a bundle is in force and confirmed, or the time has passed; true when it is.
    pub fn wait_confirmed(&self, now: impl Fn() -> MonotonicTime, timeout: Duration) -> bool {
        let keeper = lock(&self.keeper);
        let (keeper, _) = self
            .keeper_changed
            .wait_timeout_while(keeper, timeout, |keeper| !is_confirmed(keeper, now()))
            .unwrap_or_else(PoisonError::into_inner);
        is_confirmed(&keeper, now())
    }

    /// Ends the wait for work for good.
    pub fn stop(&self) {
        lock(&self.pending).stop = true;
        self.wake.notify_all();
    }

    fn follow(&self, events: &[KeeperEvent], incomplete: bool) {
        let mut in_force = false;
        for event in events {
            match event {
                KeeperEvent::InForce(head) => {
                    in_force = true;
                    self.metrics.bundle_generation.set(head.generation.0 as i64);
                    log::info!(generation:% = head.generation, digest:% = head.digest; "bundle_in_force");
                }
                KeeperEvent::Refused { head, error } => {
                    self.metrics.bundles_rejected.inc();
                    log::warn!(generation:% = head.generation, error:% = error; "bundle_refused");
                }
                KeeperEvent::Forked { held, offered } => {
                    self.metrics.bundles_rejected.inc();
                    log::error!(held:% = held.digest, offered:% = offered.digest; "bundle_history_forked");
                }
            }
        }
        if in_force {
            self.keeper_changed.notify_all();
        }
        if in_force || incomplete {
            let mut pending = lock(&self.pending);
            pending.announce |= in_force;
            pending.fetch |= incomplete;
            self.wake.notify_all();
        }
    }
}

fn is_confirmed(keeper: &BundleKeeper, now: MonotonicTime) -> bool {
    keeper.in_force().is_some() && keeper.confirmed_ago(now).is_some()
}

/// A head as peers name it, as the keeper names it.
pub fn head_of(named: &BundleHead) -> Head {
    Head {
        generation: named.generation,
        digest: Digest(named.manifest),
    }
}
