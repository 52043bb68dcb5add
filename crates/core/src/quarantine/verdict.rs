//! What may be done with a request, by all that it holds.

use super::attribution::attribute;
use super::register::{Quarantine, Standing};
use super::{Fingerprint, RequestSubjects};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Time after the last crash for which a part that alone explains its crashes does not run at all.
const CONVICTION_PERIOD: Duration = Duration::from_secs(30);

/// The same where a trial has confirmed it, doubled with each further one: what many requests share must not stay refused for what
/// crashed beside its trial.
const CONFIRMED_PERIOD: Duration = Duration::from_secs(60);

/// Time for which requests that hold several suspects wait for requests that hold one of them, whose runs are more conclusive, from
/// the first that is held back since the last crash.
const SEPARATION_PERIOD: Duration = Duration::from_secs(2);

/// What may be done with a request as a whole, by the worst of what it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It runs as any other.
    Free,
    /// It runs alone.
    OnTrial(TrialSubjects),
    /// It is refused, because of one of its subjects.
    Refused {
        /// The subject.
        subject: Fingerprint,
        /// How it stands.
        standing: Standing,
        /// Why.
        cause: RefusalCause,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Why a request does not even run on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// A trial has confirmed that the subject crashes engines.
    Confirmed,
    /// The subject alone explains several crashes.
    OnlyExplanation,
    /// It holds several suspects, and requests that hold fewer are more conclusive.
    SeveralSuspects,
}

impl RefusalCause {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Confirmed => "quarantined",
            Self::OnlyExplanation => "only_explanation",
            Self::SeveralSuspects => "several_suspects",
        }
    }
}

/// What a run on trial is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialSubjects {
    /// The subject for which it runs.
    pub subject: Fingerprint,
    /// How that stands.
    pub standing: Standing,
    /// All subjects of the request that don't run as any other. A crash confirms the subject only if it is the only one.
    pub suspects: Vec<Fingerprint>,
}

impl TrialSubjects {
    /// The subject that a crash of this run confirms; absent where it could be another.
    pub fn isolated(&self) -> Option<Fingerprint> {
        (self.suspects.len() == 1).then_some(self.subject)
    }
}

impl Quarantine {
    /// What may be done with a request, by all that it holds.
    pub fn verdict(&self, subjects: &RequestSubjects, now: MonotonicTime) -> Verdict {
        let standings = subjects
            .iter()
            .map(|subject| (*subject, self.standing(subject, now)));
        let restricted: Vec<(Fingerprint, Standing)> = standings
            .filter(|(_, standing)| !matches!(standing, Standing::Free { .. }))
            .collect();
        let refused = restricted
            .iter()
            .find_map(|(subject, standing)| self.refused(subject, *standing, now));
        if let Some(refused) = refused {
            return refused;
        }
        // Of several the narrowest of those that stand worst: the more widely shared ones are cleared by other requests.
        let is_quarantined = |standing: &Standing| matches!(standing, Standing::Quarantined { .. });
        let worst = restricted
            .iter()
            .max_by_key(|(_, standing)| is_quarantined(standing));
        let Some((subject, standing)) = worst.copied() else {
            return Verdict::Free;
        };
        let suspects: Vec<Fingerprint> = restricted.iter().map(|(subject, _)| *subject).collect();
        let separation = self.separation_time(&subject, &suspects, now);
        if !separation.is_zero() {
            return Verdict::Refused {
                subject,
                standing,
                cause: RefusalCause::SeveralSuspects,
                retry_after: separation,
            };
        }
        Verdict::OnTrial(TrialSubjects {
            subject,
            standing,
            suspects,
        })
    }

    /// Why a subject that stands so is refused without a trial.
    fn refused(&self, subject: &Fingerprint, standing: Standing, now: MonotonicTime) -> Option<Verdict> {
        let Standing::Quarantined { remaining, .. } = standing else {
            return None;
        };
        let is_confirmed = self.is_confirmed(subject, now);
        let (cause, retry_after) = match (is_confirmed, subject.is_part()) {
            (true, false) => (RefusalCause::Confirmed, remaining),
            (true, true) => (RefusalCause::Confirmed, self.conviction_time(subject, now)),
            (false, true) => (RefusalCause::OnlyExplanation, self.conviction_time(subject, now)),
            (false, false) => return None,
        };
        (!retry_after.is_zero()).then_some(Verdict::Refused {
            subject: *subject,
            standing,
            cause,
            retry_after,
        })
    }

    /// Time for which a part is refused without a trial, because a trial has confirmed it or it alone explains its crashes; zero where
    /// neither holds.
    fn conviction_time(&self, part: &Fingerprint, now: MonotonicTime) -> Duration {
        let Some(suspect) = self.suspects.get(part) else {
            return Duration::ZERO;
        };
        let lasts = self.settings.lasts();
        let confirmations = suspect.confirmations(now);
        let attribution = attribute(part, suspect, &self.suspects, lasts, now);
        let period = if confirmations > 0 {
            CONFIRMED_PERIOD.saturating_mul(1 << (confirmations - 1))
        } else if attribution.is_only_explanation {
            CONVICTION_PERIOD
        } else {
            return Duration::ZERO;
        };
        let last = attribution.counting_until.last();
        last.map_or(Duration::ZERO, |until| (*until + period).since(now + lasts))
    }

    /// Time for which a request that holds several suspects waits for requests that hold fewer.
    fn separation_time(
        &self,
        subject: &Fingerprint,
        suspects: &[Fingerprint],
        now: MonotonicTime,
    ) -> Duration {
        if suspects.len() < 2 {
            return Duration::ZERO;
        }
        let suspect = self.suspects.get(subject);
        let held_back_since = suspect.and_then(|suspect| suspect.held_back_since);
        SEPARATION_PERIOD.saturating_sub(now.since(held_back_since.unwrap_or(now)))
    }
}
