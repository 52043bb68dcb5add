//! Which faults of the platform itself come when: restores of its store, and calls that it carries out late. Each kind is drawn from
//! a stream of its own, so that a seed gives the other faults that it always gave.

use super::schedule::{Fault, LENGTH_MILLIS, Pace, ScheduledFault, Targets};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Number of the stream of draws for restores of the store.
const RESTORES_STREAM: u64 = 3;

/// Number of the stream of draws for calls that the platform carries out late.
const DEFERRALS_STREAM: u64 = 4;

/// Number of the stream that says whether the platform's interface checks fences.
const FENCES_STREAM: u64 = 5;

/// Pauses between two times for which calls are deferred, in milliseconds.
const DEFERRAL_PAUSE_MILLIS: std::ops::Range<u64> = 200..1_000;

/// Times for which calls are deferred, in milliseconds: a node gives a call up after about a second, and makes few of them.
const DEFERRAL_LENGTH_MILLIS: std::ops::Range<u64> = 1_000..4_000;

/// Pauses between two restores, in milliseconds.
const RESTORE_PAUSE_MILLIS: std::ops::Range<u64> = 2_000..9_000;

/// Draws restores of the store.
pub fn draw_restores(seed: u64, length: Duration, pace: Pace) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(RESTORES_STREAM);
    let mut schedule = Vec::new();
    let mut at = pace.stretched(Duration::from_millis(random.random_range(RESTORE_PAUSE_MILLIS)));
    while at < length {
        schedule.push(ScheduledFault {
            at,
            lasts: Duration::from_millis(random.random_range(LENGTH_MILLIS)),
            fault: Fault::RestoreStore,
        });
        at += pace.stretched(Duration::from_millis(random.random_range(RESTORE_PAUSE_MILLIS)));
    }
    schedule
}

/// Draws when the platform leaves calls unanswered and carries them out later, one such time after the other.
pub fn draw_deferrals(seed: u64, length: Duration, targets: Targets, pace: Pace) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(DEFERRALS_STREAM);
    let mut schedule = Vec::new();
    let mut at = pace.stretched(Duration::from_millis(random.random_range(DEFERRAL_PAUSE_MILLIS)));
    while at < length {
        let node = random.random_range(0..targets.nodes);
        let fault = match random.random_range(0..5) {
            0 => Fault::DeferTransactions(node),
            1..3 => Fault::DeferTransactionsOfAll,
            _ => Fault::DeferDutyCalls,
        };
        let lasts = Duration::from_millis(random.random_range(DEFERRAL_LENGTH_MILLIS));
        schedule.push(ScheduledFault { at, lasts, fault });
        at += lasts + pace.stretched(Duration::from_millis(random.random_range(DEFERRAL_PAUSE_MILLIS)));
    }
    schedule
}

/// Whether the interface of the seed's deployment checks fences: one in two does.
pub fn draw_fences_checked(seed: u64) -> bool {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(FENCES_STREAM);
    random.random_bool(0.5)
}
