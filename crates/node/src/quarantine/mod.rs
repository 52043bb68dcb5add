//! Requests under which engines crashed: what is known of them, and which run.

mod admitting;
mod claiming;
mod metrics;
mod notifying;
mod store_sync;
mod trial;
mod view;

pub(crate) use admitting::{Pass, Withheld, pass};
pub(crate) use metrics::QuarantineMetrics;
pub(crate) use notifying::{merge_confirmations, merge_reports, merge_trial, notify_peers};
pub(crate) use store_sync::StoreSync;
pub(crate) use trial::Trial;
pub(crate) use view::{lift, view};

use crate::config::NodeConfig;
use crate::context::Context;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::quarantine::config::QuarantineSettings;
use shelfjunction_core::quarantine::notification::NotificationSchedule;
use shelfjunction_core::quarantine::{
    Asked, Counts, Fingerprint, Quarantine, RecentlyAnswered, Standing, TrialBoard,
};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// What a node knows of such requests.
pub(crate) struct Suspects {
    settings: QuarantineSettings,
    register: Mutex<Quarantine>,
    trials: Mutex<TrialBoard>,
    answered: Mutex<RecentlyAnswered>,
    /// Whether anything is remembered. Nearly always nothing is, and no request need wait for the register.
    remembers: AtomicBool,
    schedule: Mutex<NotificationSchedule>,
}

impl Suspects {
    pub(crate) fn new(config: &NodeConfig) -> Self {
        Self {
            settings: config.quarantine,
            register: Mutex::new(Quarantine::new(config.quarantine)),
            trials: Mutex::default(),
            answered: Mutex::default(),
            remembers: AtomicBool::new(false),
            schedule: Mutex::default(),
        }
    }

    /// Works on the register, and notes whether anything is left in it.
    fn with_register<T>(&self, work: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut register = lock(&self.register);
        let result = work(&mut register);
        self.remembers.store(!register.is_empty(), Ordering::Release);
        result
    }

    fn remembers_nothing(&self) -> bool {
        !self.remembers.load(Ordering::Acquire)
    }

    /// Other requests that this node knows to be charged with an engine's crash.
    pub(crate) fn others_charged(&self, fingerprint: &Fingerprint, engine: &EngineId) -> usize {
        lock(&self.register).others_charged(fingerprint, SubjectHandle::of_engine(engine))
    }

    /// How many requests stand how.
    pub(crate) fn counts(&self, now: MonotonicTime) -> Counts {
        lock(&self.register).counts(now)
    }

    /// How a request stands.
    pub(crate) fn standing(&self, fingerprint: &Fingerprint, now: MonotonicTime) -> Standing {
        if self.remembers_nothing() {
            return Standing::Free { crashes: 0 };
        }
        lock(&self.register).standing(fingerprint, now)
    }
}

/// Charges a request with the crash of an engine at which it was under way; absent where that was known, or where an engine has
/// answered the same a short time ago.
pub(crate) fn charge(
    context: &Context,
    fingerprint: Fingerprint,
    asked: &Asked,
    engine: &EngineId,
    on_trial: bool,
) -> Option<Standing> {
    let now = context.now();
    let handle = SubjectHandle::of_engine(engine);
    let suspects = &context.suspects;
    if lock(&suspects.answered).vouches_for(&fingerprint, now) {
        return None;
    }
    let standing = suspects.with_register(|register| {
        if on_trial {
            register.note_trial_crash(fingerprint, asked, handle, now)
        } else {
            register.note_crash(fingerprint, asked, handle, now)
        }
    })?;
    context.metrics.quarantine.crash_charged();
    lock(&suspects.schedule).note_change();
    context.peers.note_urgent();
    Some(standing)
}

/// An engine has answered a request with success, and lives: nothing counts against it.
pub(crate) fn note_answered(context: &Context, fingerprint: &Fingerprint) {
    let suspects = &context.suspects;
    lock(&suspects.answered).note(*fingerprint, context.now());
    if suspects.remembers_nothing() {
        return;
    }
    let now = context.now();
    if suspects.with_register(|register| register.clear(fingerprint, now)) {
        log::info!(fingerprint:% = fingerprint, cause = "answered"; "suspicion_ended");
        lock(&suspects.schedule).note_change();
        context.peers.note_urgent();
    }
}
