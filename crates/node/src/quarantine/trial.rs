//! A run of a suspect beside which no other suspect of its pool runs.

use super::claiming::{self, Claim};
use super::notifying;
use crate::context::Context;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::quarantine::report::{TrialId, TrialReport};
use shelfjunction_core::quarantine::{Fingerprint, TrialSubjects};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Arrivals at engines of the run that confirms or clears a quarantined request: its prompt, its output, and one more where an
/// engine turns it away.
const MAX_CONFIRMING_ARRIVALS: u32 = 3;

/// Why no trial begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoTrial {
    /// Too few engines are there to risk one.
    LastEngine,
    /// Another suspect of the pool is on trial.
    Another,
}

/// A suspect runs; others may once this is dropped.
pub(crate) struct Trial<'a> {
    context: &'a Context,
    about: TrialSubjects,
    pool: PoolId,
    id: TrialId,
    /// Present where its subject is quarantined, and this run confirms or clears it.
    claim: Option<Claim>,
    /// Whether it confirms or clears a part without a claim, since the store is away.
    is_without_claim: bool,
    /// Arrivals at engines so far.
    arrivals: u32,
}

/// Engines of a pool that must be there for a suspect to run at one of them, so that one is left to all others.
const MIN_ENGINES: usize = 2;

impl<'a> Trial<'a> {
    /// Begins a trial that is over at the deadline. Waits until another node's trial would have been reported.
    pub(super) fn begin(
        context: &'a Context,
        about: TrialSubjects,
        pool: &PoolId,
        deadline: MonotonicTime,
    ) -> Result<Self, NoTrial> {
        let now = context.now();
        if lock(&context.router).decode_engine_count(pool, now) < MIN_ENGINES {
            return Err(NoTrial::LastEngine);
        }
        let id = TrialId {
            number: rand::random(),
            node: context.peers.own_handle(),
        };
        if !lock(&context.suspects.trials).claim(pool, id, deadline, now) {
            return Err(NoTrial::Another);
        }
        let trial = Self {
            context,
            about,
            pool: pool.clone(),
            id,
            claim: None,
            is_without_claim: false,
            arrivals: 0,
        };
        trial.notify(deadline.since(now));
        let trial_wait = context.suspects.settings.trial_wait();
        context.stop.wait(context.wait_for_all_regions(trial_wait));
        let stands = lock(&context.suspects.trials).stands(pool, id, context.now());
        if stands { Ok(trial) } else { Err(NoTrial::Another) }
    }

    /// The same trial as the run that confirms or clears the request.
    pub(super) fn with_claim(self, claim: Claim) -> Self {
        let mut trial = self;
        trial.claim = Some(claim);
        trial
    }

    /// The same where the store can't be asked for a claim.
    pub(super) fn without_claim(self) -> Self {
        let mut trial = self;
        trial.is_without_claim = true;
        trial
    }

    /// Whether the request may be handed to an engine though its subject is quarantined.
    pub(super) fn may_confirm(&self) -> bool {
        (self.claim.is_some() || self.is_without_claim) && self.arrivals < MAX_CONFIRMING_ARRIVALS
    }

    /// Whether the run is about all that is suspected of its request now.
    pub(super) fn covers(&self, about: &TrialSubjects) -> bool {
        about
            .suspects
            .iter()
            .all(|subject| self.about.suspects.contains(subject))
    }

    /// The subject that a crash of this run confirms; absent where it could be another.
    pub(crate) fn isolated(&self) -> Option<Fingerprint> {
        self.about.isolated()
    }

    /// Notes that the request is sent to an engine.
    pub(crate) fn note_sent(&mut self) {
        self.arrivals += 1;
    }

    fn notify(&self, lasts_for: Duration) {
        let report = TrialReport {
            pool: self.pool.clone(),
            trial: self.id,
            lasts_for,
        };
        notifying::notify_trial(self.context, report);
    }
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        lock(&self.context.suspects.trials).end(&self.pool, self.id);
        self.notify(Duration::ZERO);
        if let Some(claim) = self.claim.take() {
            log::info!(fingerprint:% = self.about.subject, arrivals = self.arrivals; "confirming_run_ended");
            if self.arrivals == 0 {
                claiming::release(self.context, &self.about.subject, claim);
            }
        }
    }
}
