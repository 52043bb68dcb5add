//! Which requests run: those without crashes, suspects on trial, and quarantined ones once more unless a trial confirmed them.

use super::claiming::{self, NoClaim};
use super::trial::{NoTrial, Trial};
use crate::context::Context;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::quarantine::{Fingerprint, Standing};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// When a suspect may come back that can't run alone now: about the time that another's answer takes, and a third of that in
/// which an engine is back.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which a confirming run that another node has claimed has ended, or was lost with its node.
const CONFIRMING_RUN_TIMEOUT: Duration = Duration::from_secs(10);

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

/// A cause for logs and metrics, and when to come back.
type Refusal = (&'static str, Duration);

impl From<NoTrial> for Refusal {
    fn from(cause: NoTrial) -> Self {
        match cause {
            NoTrial::LastEngine => ("last_engine", SUSPECT_RETRY_AFTER),
            NoTrial::Another => ("another_on_trial", SUSPECT_RETRY_AFTER),
        }
    }
}

/// Decides whether a request may run until its deadline. Waits, for a suspect only, until another node's trial would have been
/// reported.
pub(crate) fn pass<'a>(
    context: &'a Context,
    fingerprint: &Fingerprint,
    pool: &PoolId,
    deadline: MonotonicTime,
) -> Pass<'a> {
    let standing = context.suspects.standing(fingerprint, context.now());
    let decided = match standing {
        Standing::Free { .. } => return Pass::Free,
        Standing::Suspected { .. } => {
            Trial::begin(context, *fingerprint, pool, deadline).map_err(Refusal::from)
        }
        Standing::Quarantined { remaining, .. } => {
            begin_confirming_run(context, fingerprint, pool, deadline, remaining)
        }
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

/// Begins the run that confirms or clears a quarantined request, if there may still be one.
fn begin_confirming_run<'a>(
    context: &'a Context,
    fingerprint: &Fingerprint,
    pool: &PoolId,
    deadline: MonotonicTime,
    remaining: Duration,
) -> Result<Trial<'a>, Refusal> {
    if let Some(refusal) = quarantined(context, fingerprint, remaining) {
        return Err(refusal);
    }
    if !context.in_contact_with_store() {
        return Err(("store_lost", SUSPECT_RETRY_AFTER));
    }
    let trial = Trial::begin(context, *fingerprint, pool, deadline)?;
    match claiming::claim(context, fingerprint) {
        Ok(claim) => Ok(trial.with_claim(claim)),
        Err(NoClaim::Taken) => {
            let now = context.now();
            lock(&context.suspects.register).note_claimed_elsewhere(fingerprint, now);
            Err(("awaiting_confirmation", SUSPECT_RETRY_AFTER))
        }
        Err(NoClaim::Unknown(error)) => {
            log::info!(fingerprint:% = fingerprint, error:? = error; "confirming_run_not_claimed");
            Err(("claim_unknown", SUSPECT_RETRY_AFTER))
        }
    }
}

/// Why a quarantined request may not run even once more, as far as this node knows.
fn quarantined(context: &Context, fingerprint: &Fingerprint, remaining: Duration) -> Option<Refusal> {
    let now = context.now();
    let register = lock(&context.suspects.register);
    if register.is_confirmed(fingerprint, now) {
        return Some(("quarantined", remaining));
    }
    let claimed_at = register.claimed_elsewhere_at(fingerprint)?;
    Some(if now.since(claimed_at) < CONFIRMING_RUN_TIMEOUT {
        ("awaiting_confirmation", SUSPECT_RETRY_AFTER)
    } else {
        ("quarantined", remaining)
    })
}

impl Context {
    /// Whether a request that is under way may still be handed to an engine; what was learned since it came counts.
    pub(crate) fn withheld(&self, fingerprint: &Fingerprint, trial: Option<&Trial<'_>>) -> Option<Withheld> {
        let standing = self.suspects.standing(fingerprint, self.now());
        let (cause, retry_after) = match standing {
            Standing::Free { .. } => return None,
            Standing::Suspected { .. } if trial.is_some() => return None,
            Standing::Suspected { .. } => ("suspected_meanwhile", SUSPECT_RETRY_AFTER),
            Standing::Quarantined { remaining, .. } => {
                let known = quarantined(self, fingerprint, remaining);
                if known.is_none() && trial.is_some_and(Trial::may_confirm) {
                    return None;
                }
                known.unwrap_or(("awaiting_confirmation", SUSPECT_RETRY_AFTER))
            }
        };
        Some(Withheld {
            cause,
            crashes: standing.crashes(),
            retry_after,
        })
    }
}
