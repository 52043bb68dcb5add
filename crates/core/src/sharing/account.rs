//! One pool's use over all nodes.

use super::config::SharingSettings;
use super::decayed::kept;
use super::fair_share::fair_share;
use super::tally::{KIND_RANKS, Tally, ToldTally};
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of one request in what is followed of the queues that requests met.
const CROWDED_STEP: f64 = 0.05;

/// Share of the requests that could not be in time from which callers compete for the pool: one such request among twenty
/// may be chance.
const BEGINS_AT: f64 = 0.1;

/// Share of the requests that met more than [`HALF_QUEUE`] below which they no longer compete.
const ENDS_BELOW: f64 = 0.05;

/// Part of the bearable queue that shows that a pool is still busy, while those beyond their share are kept to as much.
const HALF_QUEUE: f64 = 0.5;

/// Lead of a kind over a more urgent one that is left alone: as much may be chance.
const LEAD_ALLOWED: f64 = 0.05;

/// How much a tenant beyond its share is kept short: at a tenth beyond, its bearable queue is half of what others may wait.
const TENANT_GAIN: f64 = 10.0;

/// Factor by which the bearable queue is shortened at most for a lesser kind: its target may be several times as long as
/// the urgent one's, and as much shorter has to be the queue that it may wait in.
const MOST_SHORTENED_FOR_KINDS: f64 = 8.0;

/// Requests of a kind from which its share in time says something.
const LEAST_KNOWN: f64 = 10.0;

/// How the tenant and the kind of a request stand.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Whether callers compete for the pool now.
    pub contended: bool,
    /// Tokens that the tenant had admitted of late.
    pub tenant_use: u32,
    /// Tokens that it might have had; zero where everybody got what it wanted.
    pub tenant_share: u32,
    /// Hundredths by which the kind is in time more often than a more urgent one.
    pub kind_lead: i8,
    /// Factor by which the bearable queue is shortened for the request; one where it stands well.
    pub shortened: f32,
}

impl Default for Standing {
    fn default() -> Self {
        Self {
            contended: false,
            tenant_use: 0,
            tenant_share: 0,
            kind_lead: 0,
            shortened: 1.0,
        }
    }
}

impl Standing {
    /// Whether the tenant had more than its share.
    pub fn is_beyond(&self) -> bool {
        self.tenant_share > 0 && self.tenant_use > self.tenant_share
    }

    /// Seconds after which the tenant's use has faded to its share; zero where it is not beyond.
    pub fn seconds_beyond(&self, settings: &SharingSettings) -> f64 {
        if !self.is_beyond() {
            return 0.0;
        }
        let times = f64::from(self.tenant_use) / f64::from(self.tenant_share);
        settings.window_seconds * times.ln()
    }
}

/// What another node told, and when it was so.
#[derive(Clone, Debug)]
struct Told {
    tally: ToldTally,
    at: MonotonicTime,
}

/// Time for which reckoned shares serve: reckoning them looks at every tenant at every node, and a tenth of a second is
/// little beside the time over which use fades.
const SHARES_SERVE: Duration = Duration::from_millis(100);

/// How tenants shared the pool at a moment.
#[derive(Clone, Debug)]
struct Shares {
    at: MonotonicTime,
    /// The most that one might have had; absent where everybody got what it wanted.
    level: Option<f64>,
    used: BTreeMap<SubjectHandle, f64>,
}

/// One pool's use over all nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolAccount {
    pub(super) own: Tally,
    told: BTreeMap<SubjectHandle, Told>,
    cannot: f64,
    half_queue: f64,
    contended: bool,
    /// Present while callers compete.
    shares: Option<Shares>,
}

impl PoolAccount {
    /// Takes the word of another node in place of its earlier one, as of a moment.
    pub(super) fn on_told(&mut self, node: SubjectHandle, tally: ToldTally, at: MonotonicTime) {
        self.told.insert(node, Told { tally, at });
    }

    pub(super) fn forget_node(&mut self, node: SubjectHandle) {
        self.told.remove(&node);
    }

    /// Notes the queue that a request met, as part of what it could bear.
    pub(super) fn on_queue(&mut self, part: f64, window: Duration, now: MonotonicTime) {
        let follow = |mean: &mut f64, is_so: bool| {
            let value = if is_so { 1.0 } else { 0.0 };
            *mean += CROWDED_STEP * (value - *mean);
        };
        follow(&mut self.cannot, part > 1.0);
        follow(&mut self.half_queue, part > HALF_QUEUE);
        if self.cannot >= BEGINS_AT {
            self.contended = true;
        } else if self.half_queue < ENDS_BELOW {
            self.contended = false;
        }
        let still_serve = |shares: &Shares| now.since(shares.at) < SHARES_SERVE;
        if !self.contended {
            self.shares = None;
        } else if !self.shares.as_ref().is_some_and(still_serve) {
            self.shares = Some(self.reckon_shares(window, now));
        }
    }

    /// How a tenant and a kind stand.
    pub(super) fn standing(
        &self,
        tenant: Option<SubjectHandle>,
        kind: usize,
        settings: &SharingSettings,
        now: MonotonicTime,
    ) -> Standing {
        let mut standing = Standing {
            contended: self.contended,
            ..Standing::default()
        };
        if !self.contended {
            return standing;
        }
        let mut shortened = 1.0;
        if let Some(tenant) = tenant.filter(|_| settings.tenants) {
            let shares = self.shares.as_ref();
            let used = shares.and_then(|shares| shares.used.get(&tenant)).copied();
            let used = used.unwrap_or(0.0);
            standing.tenant_use = used as u32;
            if let Some(level) = shares.and_then(|shares| shares.level) {
                let share = level.max(1.0);
                standing.tenant_share = share as u32;
                let beyond = (used / share - 1.0).max(0.0);
                shortened = (1.0 + TENANT_GAIN * beyond).min(settings.most_shortened);
            }
        }
        if settings.kinds {
            let lead = self.lead(kind, settings.window(), now);
            standing.kind_lead = (lead * 100.0) as i8;
            let for_kind = (lead / LEAD_ALLOWED).max(1.0).powi(2);
            shortened *= for_kind.min(MOST_SHORTENED_FOR_KINDS);
        }
        standing.shortened = shortened as f32;
        standing
    }

    /// What each tenant used, and the most that one might have had; the room is what was admitted for all together, which
    /// is what the engines can do while callers compete.
    fn reckon_shares(&self, window: Duration, now: MonotonicTime) -> Shares {
        let sums = self.sums(window, now);
        let room = sums.values().map(|(used, _)| used).sum();
        let wants = sums.values().map(|(used, wanted)| wanted.max(*used)).collect();
        let named = sums.into_iter();
        Shares {
            at: now,
            level: fair_share(wants, room),
            used: named
                .filter_map(|(tenant, (used, _))| Some((tenant?, used)))
                .collect(),
        }
    }

    /// Use and want of every tenant over all nodes; what nodes told without a name is under none.
    pub(super) fn sums(
        &self,
        window: Duration,
        now: MonotonicTime,
    ) -> BTreeMap<Option<SubjectHandle>, (f64, f64)> {
        let mut sums: BTreeMap<Option<SubjectHandle>, (f64, f64)> = BTreeMap::new();
        let mut add = |tenant, used, wanted| {
            let sum = sums.entry(tenant).or_default();
            sum.0 += used;
            sum.1 += wanted;
        };
        for (tenant, own) in &self.own.tenants {
            let wanted = own.wanted.value(window, now);
            add(Some(*tenant), own.used.value(window, now), wanted);
        }
        for told in self.told.values() {
            let factor = kept(now.since(told.at), window);
            let named = told.tally.tenants.iter();
            let named = named.map(|(tenant, sums)| (Some(*tenant), sums));
            for (tenant, sums) in named.chain([(None, &told.tally.others)]) {
                add(
                    tenant,
                    f64::from(sums.used) * factor,
                    f64::from(sums.wanted) * factor,
                );
            }
        }
        sums
    }

    /// By how much a kind is in time more often than the worst of the more urgent ones.
    fn lead(&self, kind: usize, window: Duration, now: MonotonicTime) -> f64 {
        let kind = kind.min(KIND_RANKS - 1);
        let Some(own) = self.share_in_time(kind, window, now) else {
            return 0.0;
        };
        let urgent = (0..kind).filter_map(|urgent| self.share_in_time(urgent, window, now));
        urgent.map(|share| own - share).fold(0.0, f64::max)
    }

    fn share_in_time(&self, kind: usize, window: Duration, now: MonotonicTime) -> Option<f64> {
        let (mut known, mut in_time) = self.own.kind(kind, window, now);
        for told in self.told.values() {
            let factor = kept(now.since(told.at), window);
            let (told_known, told_in_time) = told.tally.kind(kind);
            known += told_known * factor;
            in_time += told_in_time * factor;
        }
        (known >= LEAST_KNOWN).then(|| in_time / known)
    }
}
