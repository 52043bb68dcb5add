//! Which of the subjects aboard account for the crashes of engines.
//!
//! A crash charges each request that was under way at the engine and each part of its prompt, of which at most a few are causes. A
//! charge does not count against a subject while another one that is charged with the same crash explains it better:
//!
//! ```text
//! evidence(s) = crashes(s) * ([`UNANSWERED_WEIGHT`] if no answer vouches for s, else 1)
//!
//! b explains a crash better than a, if both are charged with it, a is a part, and
//!   b is a request, and crashes(b) >= crashes(a); or
//!   b is a part, and evidence(b) > evidence(a) + [`UNANSWERED_WEIGHT`]
//! ```
//!
//! A confirmed subject explains no more than that: two causes may have been aboard, and each run of the other costs an engine.
//!
//! An answer before the trouble makes a part an unlikely cause, not an impossible one. Requests are narrower than their parts, so
//! that copies of one request do not count against what it shares with others, unless that has crashed more engines. The margin between parts is one crash, since a node
//! that was killed may have taken its charges along.

use super::Fingerprint;
use super::suspect::Suspect;
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a crash of a subject for which no answer vouches, against that of one with answers.
const UNANSWERED_WEIGHT: usize = 3;

/// The crashes of one subject that nothing else explains better.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Attribution {
    /// When each of them stops to count, the earliest first.
    pub(super) counting_until: Vec<MonotonicTime>,
    /// Whether no other unanswered subject is charged with all crashes of this one, which has no answer either.
    pub(super) is_only_explanation: bool,
}

/// What speaks for and against one subject, for comparison with others.
struct Evidence<'a> {
    fingerprint: &'a Fingerprint,
    suspect: &'a Suspect,
    crashes: usize,
    weight: usize,
    is_answered: bool,
}

impl<'a> Evidence<'a> {
    fn of(fingerprint: &'a Fingerprint, suspect: &'a Suspect, lasts: Duration, now: MonotonicTime) -> Self {
        let is_answered = suspect.was_answered_before(lasts, now);
        let weight = if is_answered { 1 } else { UNANSWERED_WEIGHT };
        let crashes = suspect.crashes(now);
        Self {
            fingerprint,
            suspect,
            crashes,
            weight: crashes * weight,
            is_answered,
        }
    }

    /// Whether it explains crashes better than another subject that is charged with them too.
    fn explains_better_than(&self, other: &Self) -> bool {
        if !other.fingerprint.is_part() {
            return false;
        }
        if self.fingerprint.is_part() {
            self.weight > other.weight + UNANSWERED_WEIGHT
        } else {
            self.crashes >= other.crashes
        }
    }
}

/// What of a subject's crashes counts against it, beside all others that are remembered.
pub(super) fn attribute(
    fingerprint: &Fingerprint,
    suspect: &Suspect,
    all: &BTreeMap<Fingerprint, Suspect>,
    lasts: Duration,
    now: MonotonicTime,
) -> Attribution {
    let own = Evidence::of(fingerprint, suspect, lasts, now);
    let crashes: Vec<(SubjectHandle, MonotonicTime)> = suspect.counting_engines(now).collect();
    let is_beside = |other: &Suspect| crashes.iter().any(|(engine, _)| other.counts(*engine, now));
    let others: Vec<Evidence<'_>> = all
        .iter()
        .filter(|(other, suspect)| *other != fingerprint && is_beside(suspect))
        .map(|(other, suspect)| Evidence::of(other, suspect, lasts, now))
        .collect();
    let better: Vec<&Suspect> = others
        .iter()
        .filter(|other| other.explains_better_than(&own))
        .map(|other| other.suspect)
        .collect();
    let unexplained = crashes
        .iter()
        .filter(|(engine, _)| !better.iter().any(|other| other.counts(*engine, now)));
    let explains_all = |other: &Evidence<'_>| {
        !other.is_answered
            && crashes
                .iter()
                .all(|(engine, _)| other.suspect.counts(*engine, now))
    };
    Attribution {
        counting_until: unexplained.map(|(_, counts_until)| *counts_until).collect(),
        is_only_explanation: !own.is_answered && !others.iter().any(explains_all),
    }
}
