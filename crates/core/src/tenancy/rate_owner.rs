//! The buckets of tenants' rates, of which one node owns each.
//!
//! The owner of a tenant's bucket is the first by rendezvous hashing of the nodes that own slots of engines
//! ([`crate::rate_limit::slot_owner`]). Every node asks it before a request runs:
//!
//! ```text
//! share   = 1                      if the owner reaches MIN_FULL_RATE_QUORUM of all nodes or more
//!         = reached / all nodes    otherwise
//! level   = min(level + rate * share * elapsed, burst * share)
//! granted if level >= 0 (share 1), or level >= cost (share below 1); then level -= cost
//! ```
//!
//! The debt lets requests run that are larger than the burst. An owner of a share has none, since the debts of many isolated nodes
//! would add up.
//!
//! The owners of disjoint partitions add up to less than 1.1 of the rate. Nodes that are known to have ended
//! ([`super::rate_contacts`]) do not count among all nodes. A node that takes a bucket over begins with what the rate has filled since
//! no other node can have granted anything: since it owns the bucket, and before that while the previous owner was silent. An owner
//! that is known to have ended may have granted until then. While a bucket that was taken over settles, the new owner grants from its
//! reserve what the bucket does not hold.

use super::rate::TenantRate;
use super::rate_lending::{Lending, LoanWish};
use crate::admission::bucket::RateBucket;
use crate::admission::returns::ReturnSchedule;
use crate::membership::subject::SubjectHandle;
use crate::rate_limit::slot_owner::{owner_of, quorum_share};
use crate::time::MonotonicTime;
use rand::RngCore;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Minimum fraction of all nodes that an owner must reach to use the whole rate.
const MIN_FULL_RATE_QUORUM: f64 = 0.9;

/// Time without requests after which a bucket is removed.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);

/// Longest time between two looks at the candidates; after a longer one this process was suspended, and another node may have
/// taken its buckets over. Others do after 1.8 s of silence.
const MAX_NOTE_GAP: Duration = Duration::from_millis(1_700);

/// Shortest silence after which a node is no longer a candidate.
const OWNER_SILENCE: Duration = Duration::from_millis(1_800);

/// Sets of candidates that are remembered; a loss of many nodes is noticed in several steps.
const MAX_CANDIDATE_SETS: usize = 16;

/// Time after which a bucket that was taken over holds enough for a tenant that asks half of its rate.
const SETTLING_PERIOD: Duration = Duration::from_secs(3);

/// Time after which a caller comes back where the owner does not know the number of nodes yet.
const NO_SHARE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Latest time at which one of several refused callers is asked to come back, unless the rate itself needs longer.
const MAX_RETURN: Duration = Duration::from_secs(5);

/// Share of a tenant's rate that an owner may use. `reached` is the number of nodes that it reaches, and `nodes` the number of all
/// nodes, both including itself.
pub fn rate_share(reached: u32, nodes: u32) -> f64 {
    quorum_share(reached, nodes, MIN_FULL_RATE_QUORUM)
}

/// Nodes of one region, and how many of them an owner reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionReach {
    /// Nodes that the owner reaches, itself included.
    pub reached: u32,
    /// All nodes of the region.
    pub nodes: u32,
}

/// Share of a tenant's rate that an owner may use in a deployment of several regions.
///
/// Two regions may lose each other while both reach a third one, whose nodes then count for two owners. An owner that does not reach
/// [`MIN_FULL_RATE_QUORUM`] of every region therefore counts a node of another region as half:
///
/// ```text
/// share = 1                                                              if it reaches 0.9 of the nodes of every region
///       = (reached at home + 0.5 * reached in other regions) / all nodes  otherwise
/// ```
///
/// With [`rate_share`], two owners of three equal regions had 1.33 of the rate (fault soak, seed 81051).
pub fn regional_rate_share(home: RegionReach, others: &[RegionReach]) -> f64 {
    let is_whole =
        |region: &RegionReach| f64::from(region.reached) >= MIN_FULL_RATE_QUORUM * f64::from(region.nodes);
    if is_whole(&home) && others.iter().all(is_whole) {
        return 1.0;
    }
    let reached: u32 = others.iter().map(|region| region.reached).sum();
    let nodes: u32 = home.nodes + others.iter().map(|region| region.nodes).sum::<u32>();
    (f64::from(home.reached) + 0.5 * f64::from(reached)) / f64::from(nodes.max(1))
}

/// Result of a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The request may run.
    Granted,
    /// The tenant is over its rate; the caller may come back after this time.
    Denied(Duration),
}

#[derive(Clone, Debug)]
struct TenantBucket {
    bucket: RateBucket,
    lending: Lending,
    returns: ReturnSchedule,
    used_at: MonotonicTime,
}

/// Nodes that may own buckets, and since when.
#[derive(Clone, Debug)]
struct CandidateSet {
    nodes: Vec<SubjectHandle>,
    /// Nodes that had been candidates and were known to have ended.
    ended: Vec<SubjectHandle>,
    from: MonotonicTime,
}

/// How long a node has owned a bucket.
struct Tenure {
    since: MonotonicTime,
    /// Whether another node owned it before.
    is_taken_over: bool,
}

/// The buckets that one node owns.
#[derive(Clone, Debug, Default)]
pub struct TenantRateOwner {
    buckets: BTreeMap<SubjectHandle, TenantBucket>,
    /// The last sets of candidates, the present one last.
    candidate_sets: VecDeque<CandidateSet>,
    own: Option<SubjectHandle>,
    noted_at: MonotonicTime,
}

impl TenantRateOwner {
    /// Notes the nodes that may own buckets, in any order, and those that would if they had not ended; `own` is this node. Buckets
    /// that another node may have owned meanwhile are removed.
    pub fn note_candidates(
        &mut self,
        own: SubjectHandle,
        candidates: &[SubjectHandle],
        ended: &[SubjectHandle],
        now: MonotonicTime,
    ) {
        let was_suspended = now.since(self.noted_at) > MAX_NOTE_GAP;
        self.noted_at = now;
        self.own = Some(own);
        if was_suspended {
            self.buckets.clear();
            self.candidate_sets.clear();
        }
        let mut nodes = candidates.to_vec();
        nodes.sort_unstable();
        if self.candidate_sets.back().is_some_and(|set| set.nodes == nodes) {
            return;
        }
        self.buckets
            .retain(|tenant, _| owner_of(*tenant, &nodes) == Some(own));
        self.candidate_sets.push_back(CandidateSet {
            nodes,
            ended: ended.to_vec(),
            from: now,
        });
        if self.candidate_sets.len() > MAX_CANDIDATE_SETS {
            self.candidate_sets.pop_front();
        }
    }

    /// Since when no other node can have granted anything of a tenant's rate, as far as this node knows: since it may own the
    /// bucket, and before that while the previous owner had fallen silent.
    fn tenure(&self, tenant: SubjectHandle, now: MonotonicTime) -> Tenure {
        let mut sets = self.candidate_sets.iter().rev();
        let Some(current) = sets.next() else {
            return Tenure {
                since: now,
                is_taken_over: false,
            };
        };
        let mut since = current.from;
        let has_ended = |owner| self.candidate_sets.iter().any(|set| set.ended.contains(&owner));
        for set in sets {
            match owner_of(tenant, &set.nodes) {
                owner if owner == self.own => since = set.from,
                None => break,
                Some(owner) => {
                    let was_silent = !current.nodes.contains(&owner) && !has_ended(owner);
                    let silence = if was_silent { OWNER_SILENCE } else { Duration::ZERO };
                    return Tenure {
                        since: since.earlier(silence).unwrap_or_default(),
                        is_taken_over: true,
                    };
                }
            }
        }
        Tenure {
            since,
            is_taken_over: false,
        }
    }

    /// Whether a bucket was taken over from another node a short time ago, so that it may hold less than the tenant would have.
    pub fn is_settling(&self, tenant: SubjectHandle, now: MonotonicTime) -> bool {
        let tenure = self.tenure(tenant, now);
        tenure.is_taken_over && now.since(tenure.since) < SETTLING_PERIOD
    }

    /// Charges a tenant with a request; `share` is the share of its rate that this node may use.
    pub fn charge(
        &mut self,
        tenant: SubjectHandle,
        rate: &TenantRate,
        cost: u32,
        share: f64,
        now: MonotonicTime,
        random: &mut dyn RngCore,
    ) -> Charge {
        self.buckets
            .retain(|_, bucket| now.since(bucket.used_at) < BUCKET_RETENTION);
        if share <= 0.0 {
            return Charge::Denied(NO_SHARE_RETRY_INTERVAL);
        }
        let (per_second, burst) = (rate.per_second() * share, rate.burst() * share);
        let ungranted = now.since(self.tenure(tenant, now).since);
        let filled = burst.min(per_second * ungranted.as_secs_f64());
        let entry = self.buckets.entry(tenant).or_insert_with(|| TenantBucket {
            bucket: RateBucket::full(filled, now),
            lending: Lending::default(),
            returns: ReturnSchedule::default(),
            used_at: now,
        });
        entry.used_at = now;
        let required = if share < 1.0 { f64::from(cost) } else { 0.0 };
        let charged = entry
            .bucket
            .charge(f64::from(cost), required, per_second, burst, now);
        match charged {
            Ok(()) => {
                entry.lending.note_used(f64::from(cost), now);
                Charge::Granted
            }
            Err(wait) => {
                let spacing = Duration::from_secs_f64(f64::from(cost) / per_second).min(MAX_RETURN);
                let returns = &mut entry.returns;
                Charge::Denied(returns.hand_out(wait, spacing, MAX_RETURN, now, random))
            }
        }
    }

    /// Gives back what was charged for a request that reached no engine.
    pub fn refund(&mut self, tenant: SubjectHandle, rate: &TenantRate, cost: u32) {
        if let Some(entry) = self.buckets.get_mut(&tenant) {
            entry.bucket.refund(f64::from(cost), rate.burst());
        }
    }

    /// Lends a part of a bucket that was charged before; the units, none if the tenant may need them elsewhere or this node does not
    /// reach all others.
    pub fn lend(&mut self, wish: &LoanWish, rate: &TenantRate, reaches_all: bool, now: MonotonicTime) -> u32 {
        let Some(entry) = self.buckets.get_mut(&wish.tenant).filter(|_| reaches_all) else {
            return 0;
        };
        let (per_second, burst) = (rate.per_second(), rate.burst());
        let Some((units, required)) = entry.lending.offer(wish, per_second, burst, now) else {
            return 0;
        };
        let charged = entry
            .bucket
            .charge(f64::from(units), required, per_second, burst, now);
        if charged.is_err() {
            return 0;
        }
        entry.lending.note_lent(wish, units, now);
        units
    }

    /// Ends a loan and takes back what was not used of it; false if the loan is not open.
    pub fn take_back(
        &mut self,
        tenant: SubjectHandle,
        rate: &TenantRate,
        number: u64,
        unused: u32,
        now: MonotonicTime,
    ) -> bool {
        let Some(entry) = self.buckets.get_mut(&tenant) else {
            return false;
        };
        let Some(unused) = entry.lending.end(number, unused, now) else {
            return false;
        };
        entry.bucket.refund(unused, rate.burst());
        true
    }

    /// Borrowers and numbers of a tenant's loans that are to be recalled, each once.
    pub fn recall(&mut self, tenant: SubjectHandle, now: MonotonicTime) -> Vec<(SubjectHandle, u64)> {
        let entry = self.buckets.get_mut(&tenant);
        entry.map_or(Vec::new(), |entry| entry.lending.recall(now))
    }
}
