//! Requests and parts of prompts under which engines crashed: what is known of them, and which run.

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
use shelfjunction_core::identity::{EngineId, RequestId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::quarantine::config::QuarantineSettings;
use shelfjunction_core::quarantine::notification::NotificationSchedule;
use shelfjunction_core::quarantine::{
    Asked, Counts, Fingerprint, Quarantine, RecentlyAnswered, RequestSubjects, Standing, TrialBoard, Verdict,
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

    /// Other requests and parts that this node knows to be charged with an engine's crash.
    pub(crate) fn others_charged(&self, fingerprint: &Fingerprint, engine: &EngineId) -> usize {
        lock(&self.register).others_charged(fingerprint, SubjectHandle::of_engine(engine))
    }

    /// How many requests stand how.
    pub(crate) fn counts(&self, now: MonotonicTime) -> Counts {
        lock(&self.register).counts(now)
    }

    /// What may be done with a request.
    pub(crate) fn verdict(&self, subjects: &RequestSubjects, now: MonotonicTime) -> Verdict {
        if self.remembers_nothing() {
            return Verdict::Free;
        }
        lock(&self.register).verdict(subjects, now)
    }
}

/// A subject that was charged with a crash.
pub(crate) struct Charged {
    pub(crate) subject: Fingerprint,
    pub(crate) standing: Standing,
}

/// Charges a request and the parts of its prompt with the crash of an engine at which it was under way; those of them for which that
/// was not known. A request that engines have answered a short time ago is not charged as a whole. `isolated` was on trial there.
pub(crate) fn charge(
    context: &Context,
    subjects: &RequestSubjects,
    asked: &Asked,
    engine: &EngineId,
    isolated: Option<Fingerprint>,
) -> Vec<Charged> {
    let now = context.now();
    let handle = SubjectHandle::of_engine(engine);
    let suspects = &context.suspects;
    let answered: Vec<(Fingerprint, Option<MonotonicTime>)> = {
        let answered = lock(&suspects.answered);
        let charged = subjects
            .iter()
            .filter(|subject| subject.is_part() || !answered.vouches_for(subject, now));
        charged
            .map(|subject| (*subject, answered.last(subject)))
            .collect()
    };
    let charged: Vec<Charged> = suspects.with_register(|register| {
        let charges = answered.into_iter().filter_map(|(subject, answered_at)| {
            let standing = if isolated == Some(subject) {
                register.note_trial_crash(subject, asked, handle, now)?
            } else {
                register.note_crash(subject, asked, handle, now)?
            };
            if let Some(answered_at) = answered_at.filter(|_| subject.is_part()) {
                register.note_answered_before(&subject, answered_at, now);
            }
            Some(Charged { subject, standing })
        });
        charges.collect()
    });
    if !charged.is_empty() {
        context.metrics.quarantine.crash_charged();
        lock(&suspects.schedule).note_change();
        context.peers.note_urgent();
    }
    charged
}

/// An engine that lives has answered a request that was sent to it at `sent_at`: nothing of what it holds counts any more.
pub(crate) fn note_answered(
    context: &Context,
    request: &RequestId,
    subjects: &RequestSubjects,
    sent_at: MonotonicTime,
) {
    let suspects = &context.suspects;
    let now = context.now();
    {
        let mut answered = lock(&suspects.answered);
        subjects.iter().for_each(|subject| answered.note(*subject, now));
    }
    if suspects.remembers_nothing() {
        return;
    }
    let cleared: Vec<Fingerprint> = suspects.with_register(|register| {
        let all = subjects.iter().copied();
        all.filter(|subject| register.note_answered(subject, sent_at, now))
            .collect()
    });
    for subject in &cleared {
        log::info!(fingerprint:% = subject, request = request.as_str(), cause = "answered"; "suspicion_ended");
    }
    if !cleared.is_empty() {
        lock(&suspects.schedule).note_change();
        context.peers.note_urgent();
    }
}
