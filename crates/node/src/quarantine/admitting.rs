//! Which requests run: those that hold nothing suspected, suspects on trial, and quarantined ones once more unless a trial confirmed
//! them.

use super::claiming::{self, CLAIM_LIFETIME, NoClaim};
use super::trial::{NoTrial, Trial};
use crate::context::Context;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::quarantine::{Fingerprint, RequestSubjects, Standing, TrialSubjects, Verdict};
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
    /// The request, or the part of its prompt, because of which.
    pub(crate) subject: Fingerprint,
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

/// Decides whether a request may run until its deadline. Waits, for one on trial only, until another node's trial would have been
/// reported.
pub(crate) fn pass<'a>(
    context: &'a Context,
    subjects: &RequestSubjects,
    pool: &PoolId,
    deadline: MonotonicTime,
) -> Pass<'a> {
    let (subject, crashes, refusal) = match context.suspects.verdict(subjects, context.now()) {
        Verdict::Free => return Pass::Free,
        Verdict::OnTrial(about) => {
            let (subject, crashes) = (about.subject, about.standing.crashes());
            match begin_trial(context, about, pool, deadline) {
                Ok(trial) => return Pass::Trial(trial),
                Err(refusal) => (subject, crashes, refusal),
            }
        }
        Verdict::Refused {
            subject,
            standing,
            cause,
            retry_after,
        } => (subject, standing.crashes(), (cause.name(), retry_after)),
    };
    lock(&context.suspects.register).note_refused(&subject, context.now());
    Pass::Withheld(Withheld {
        subject,
        cause: refusal.0,
        crashes,
        retry_after: refusal.1,
    })
}

/// Begins a run on trial; for a quarantined subject only the one that confirms or clears it.
fn begin_trial<'a>(
    context: &'a Context,
    about: TrialSubjects,
    pool: &PoolId,
    deadline: MonotonicTime,
) -> Result<Trial<'a>, Refusal> {
    let (subject, standing) = (about.subject, about.standing);
    let Standing::Quarantined { remaining, .. } = standing else {
        return Trial::begin(context, about, pool, deadline).map_err(Refusal::from);
    };
    if let Some(refusal) = claimed_elsewhere(context, &subject, remaining) {
        return Err(refusal);
    }
    if !context.in_contact_with_store() {
        if !subject.is_part() {
            return Err(("store_lost", SUSPECT_RETRY_AFTER));
        }
        // Many requests wait for it, and a trial of each node's own ends with the first crash that is reported.
        let trial = Trial::begin(context, about, pool, deadline)?;
        return Ok(trial.without_claim());
    }
    let trial = Trial::begin(context, about, pool, deadline)?;
    match claiming::claim(context, &subject) {
        Ok(claim) => Ok(trial.with_claim(claim)),
        Err(NoClaim::Taken) => {
            let now = context.now();
            lock(&context.suspects.register).note_claimed_elsewhere(&subject, now);
            Err(("awaiting_confirmation", SUSPECT_RETRY_AFTER))
        }
        Err(NoClaim::Unknown(error)) => {
            log::info!(fingerprint:% = subject, error:? = error; "confirming_run_not_claimed");
            Err(("claim_unknown", SUSPECT_RETRY_AFTER))
        }
    }
}

/// Why the run that confirms or clears a quarantined subject is another node's, as far as this one knows.
fn claimed_elsewhere(context: &Context, subject: &Fingerprint, remaining: Duration) -> Option<Refusal> {
    let claimed_at = lock(&context.suspects.register).claimed_elsewhere_at(subject)?;
    let age = context.now().since(claimed_at);
    if age < CONFIRMING_RUN_TIMEOUT {
        Some(("awaiting_confirmation", SUSPECT_RETRY_AFTER))
    } else if subject.is_part() {
        // What many requests share must not wait for a node that has ended.
        let left = CLAIM_LIFETIME.saturating_sub(age);
        (!left.is_zero()).then_some(("awaiting_confirmation", left.min(SUSPECT_RETRY_AFTER)))
    } else {
        Some(("quarantined", remaining))
    }
}

impl Context {
    /// Whether a request that is under way may still be handed to an engine; what was learned since it came counts.
    pub(crate) fn withheld(&self, subjects: &RequestSubjects, trial: Option<&Trial<'_>>) -> Option<Withheld> {
        let withheld = |subject, standing: Standing, cause, retry_after| Withheld {
            subject,
            cause,
            crashes: standing.crashes(),
            retry_after,
        };
        match self.suspects.verdict(subjects, self.now()) {
            Verdict::Free => None,
            Verdict::Refused {
                subject,
                standing,
                cause,
                retry_after,
            } => Some(withheld(subject, standing, cause.name(), retry_after)),
            Verdict::OnTrial(about) => {
                let is_quarantined = matches!(about.standing, Standing::Quarantined { .. });
                let may_run = trial
                    .is_some_and(|trial| trial.covers(&about) && (!is_quarantined || trial.may_confirm()));
                let cause = if is_quarantined {
                    "awaiting_confirmation"
                } else {
                    "suspected_meanwhile"
                };
                (!may_run).then(|| withheld(about.subject, about.standing, cause, SUSPECT_RETRY_AFTER))
            }
        }
    }
}
