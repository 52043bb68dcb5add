//! Which requests run: those without crashes, suspects alone, and none that is in quarantine.

use super::notifying;
use crate::context::Context;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::quarantine::report::{TrialId, TrialReport};
use shelfjunction_core::quarantine::{Fingerprint, Standing};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// When a suspect may come back that can't run alone now: about the time that another's answer takes, and a third of that in
/// which an engine is back.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Engines of a pool that must be there for a suspect to run at one of them, so that one is left to all others.
const MIN_ENGINES: usize = 2;

/// Why a request is not handed to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Withheld {
    /// Name for logs and metrics.
    pub(crate) cause: &'static str,
    /// Engines that crashed under it.
    pub(crate) crashes: usize,
    /// When to come back.
    pub(crate) retry_after: Duration,
}

/// Whether a request may run.
pub(crate) enum Pass<'a> {
    /// As any other.
    Free,
    /// Alone.
    Trial(Trial<'a>),
    /// Not now.
    Withheld(Withheld),
}

/// A suspect runs; others may once this is dropped.
pub(crate) struct Trial<'a> {
    context: &'a Context,
    pool: PoolId,
    id: TrialId,
}

impl Trial<'_> {
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
    }
}

/// Decides whether a request may run until its deadline. Waits, for a suspect only, until word of another trial would have
/// come.
pub(crate) fn pass<'a>(
    context: &'a Context,
    fingerprint: &Fingerprint,
    pool: &PoolId,
    deadline: MonotonicTime,
) -> Pass<'a> {
    let standing = context.suspects.standing(fingerprint, context.now());
    let decided = match standing {
        Standing::Free { .. } => return Pass::Free,
        Standing::Suspected { .. } => try_alone(context, pool, deadline),
        Standing::Quarantined { remaining, .. } => Err(("quarantined", remaining)),
    };
    match decided {
        Ok(trial) => Pass::Trial(trial),
        Err((cause, retry_after)) => {
            lock(&context.suspects.register).note_refused(fingerprint);
            Pass::Withheld(Withheld {
                cause,
                crashes: standing.crashes(),
                retry_after,
            })
        }
    }
}

fn try_alone<'a>(
    context: &'a Context,
    pool: &PoolId,
    deadline: MonotonicTime,
) -> Result<Trial<'a>, (&'static str, Duration)> {
    let now = context.now();
    if lock(&context.router).decode_engine_count(pool, now) < MIN_ENGINES {
        return Err(("last_engine", SUSPECT_RETRY_AFTER));
    }
    let id = TrialId {
        number: rand::random(),
        node: context.peers.own_handle(),
    };
    let claimed = lock(&context.suspects.trials).claim(pool, id, deadline, now);
    if !claimed {
        return Err(("another_on_trial", SUSPECT_RETRY_AFTER));
    }
    let trial = Trial {
        context,
        pool: pool.clone(),
        id,
    };
    trial.notify(deadline.since(now));
    context.stop.wait(context.suspects.settings.trial_wait());
    let stands = lock(&context.suspects.trials).stands(pool, id, context.now());
    if stands {
        Ok(trial)
    } else {
        Err(("another_on_trial", SUSPECT_RETRY_AFTER))
    }
}

impl Context {
    /// Whether a request that is under way may still be handed to an engine; what was learned since it came counts.
    pub(crate) fn withheld(&self, fingerprint: &Fingerprint, is_trial: bool) -> Option<Withheld> {
        let standing = self.suspects.standing(fingerprint, self.now());
        let (cause, retry_after) = match standing {
            Standing::Free { .. } => return None,
            Standing::Suspected { .. } if is_trial => return None,
            Standing::Suspected { .. } => ("suspected_meanwhile", SUSPECT_RETRY_AFTER),
            Standing::Quarantined { remaining, .. } => ("quarantined", remaining),
        };
        Some(Withheld {
            cause,
            crashes: standing.crashes(),
            retry_after,
        })
    }
}
