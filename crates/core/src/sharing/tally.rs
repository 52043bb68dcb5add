//! What one node admitted at one pool.

use super::decayed::Decayed;
use super::word::{KindCounts, MOST_TENANTS, PoolUse, TenantUse};
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Ranks of kinds that are told apart; all lesser ones count as the last.
pub const KIND_RANKS: usize = 3;

/// Sums below this are forgotten, in tokens.
const LEAST_KEPT: f64 = 0.5;

/// Hundredths in one request.
const HUNDREDTHS: f64 = 100.0;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Use {
    pub(super) used: Decayed,
    pub(super) wanted: Decayed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Kind {
    known: Decayed,
    in_time: Decayed,
}

/// What one node admitted at one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Tally {
    pub(super) tenants: BTreeMap<SubjectHandle, Use>,
    kinds: [Kind; KIND_RANKS],
}

fn whole(value: f64) -> u32 {
    value.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

impl Tally {
    pub(super) fn of(&mut self, tenant: SubjectHandle) -> &mut Use {
        self.tenants.entry(tenant).or_default()
    }

    pub(super) fn on_outcome(&mut self, kind: usize, in_time: bool, window: Duration, now: MonotonicTime) {
        let kind = &mut self.kinds[kind.min(KIND_RANKS - 1)];
        kind.known.add(1.0, window, now);
        if in_time {
            kind.in_time.add(1.0, window, now);
        }
    }

    /// Requests of a kind whose outcome is known, and those of them that were in time.
    pub(super) fn kind(&self, kind: usize, window: Duration, now: MonotonicTime) -> (f64, f64) {
        let kind = &self.kinds[kind];
        (kind.known.value(window, now), kind.in_time.value(window, now))
    }

    pub(super) fn forget_small(&mut self, window: Duration, now: MonotonicTime) {
        self.tenants
            .retain(|_, tenant| tenant.wanted.value(window, now) >= LEAST_KEPT);
    }

    /// What is told of it; absent where there is nothing to tell.
    pub(super) fn told(
        &self,
        pool: SubjectHandle,
        most_tenants: usize,
        window: Duration,
        now: MonotonicTime,
    ) -> Option<PoolUse> {
        let mut tenants: Vec<(SubjectHandle, TenantUse)> = self
            .tenants
            .iter()
            .map(|(tenant, sums)| {
                let sums = TenantUse {
                    used: whole(sums.used.value(window, now)),
                    wanted: whole(sums.wanted.value(window, now)),
                };
                (*tenant, sums)
            })
            .collect();
        tenants.sort_by_key(|(tenant, sums)| (std::cmp::Reverse(sums.wanted), *tenant));
        let rest = tenants.split_off(tenants.len().min(most_tenants));
        let mut others = TenantUse::default();
        for (_, sums) in rest {
            others.used = others.used.saturating_add(sums.used);
            others.wanted = others.wanted.saturating_add(sums.wanted);
        }
        let kinds: Vec<KindCounts> = (0..KIND_RANKS)
            .map(|kind| {
                let (known, in_time) = self.kind(kind, window, now);
                KindCounts {
                    known: whole(known * HUNDREDTHS),
                    in_time: whole(in_time * HUNDREDTHS),
                }
            })
            .collect();
        let says_something = !tenants.is_empty() || kinds.iter().any(|kind| kind.known > 0);
        says_something.then_some(PoolUse {
            pool,
            tenants,
            others,
            kinds,
        })
    }
}

/// What another node said that it admitted, as of the moment at which it composed its word.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ToldTally {
    pub(super) tenants: BTreeMap<SubjectHandle, TenantUse>,
    pub(super) others: TenantUse,
    kinds: [KindCounts; KIND_RANKS],
}

impl ToldTally {
    pub(super) fn new(told: &PoolUse) -> Self {
        let mut kinds = [KindCounts::default(); KIND_RANKS];
        for (kind, counts) in kinds.iter_mut().zip(&told.kinds) {
            *kind = *counts;
        }
        Self {
            tenants: told.tenants.iter().take(MOST_TENANTS).copied().collect(),
            others: told.others,
            kinds,
        }
    }

    pub(super) fn kind(&self, kind: usize) -> (f64, f64) {
        let counts = &self.kinds[kind];
        let in_time = counts.in_time.min(counts.known);
        (
            f64::from(counts.known) / HUNDREDTHS,
            f64::from(in_time) / HUNDREDTHS,
        )
    }
}
