//! The use of every pool, kept by each node that admits requests.
//!
//! Each node's sums fade with time, and its words state them whole: a lost word is made good by the next one, a doubled or
//! overtaken one changes nothing, and what a node said that speaks no more fades as what it admitted does.

use super::account::{PoolAccount, Standing};
use super::config::SharingSettings;
use super::tally::ToldTally;
use super::word::{MOST_TENANTS, PoolUse, UseWord};
use crate::forwarding::PoolId;
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Windows after which nothing of a sum is left that counts; so old a word is passed over.
const WORD_LIFETIME_WINDOWS: u32 = 3;

/// Tenants named in one word about several pools, of at most 15 bytes each, so that it fits into one datagram.
const MOST_TENANTS_IN_ALL: usize = 48;

/// Pools in one word, for the same reason; each takes some 45 bytes beside its tenants.
const MOST_POOLS: usize = 12;

/// Most nodes whose words are kept, so that memory has a bound: the placers of a fleet, and those that found none lately.
const MOST_SENDERS: usize = 400;

/// Time in which the least delay of a sender's words is believed to have grown by a thousandth of it: clocks differ in
/// their pace by less, and without it their difference would in time count as delay.
const CLOCK_PACE_ALLOWED: i128 = 1_000;

/// What a tenant asked of a pool with one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantRequest {
    /// The tenant.
    pub tenant: SubjectHandle,
    /// Tokens that the request takes to read and write.
    pub tokens: f64,
    /// Whether it was admitted to be in time.
    pub is_admitted: bool,
    /// Whether it was asked before and refused, so that what it wants is counted.
    pub came_back: bool,
}

/// What was charged for one request, to be taken back if nobody used the admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    tenant: SubjectHandle,
    used: f64,
    wanted: f64,
    at: MonotonicTime,
    window: Duration,
}

/// Where the words of another node stand.
#[derive(Clone, Copy, Debug)]
struct Sender {
    start: u64,
    number: u64,
    /// The least that this node's clock was ahead of the sender's at the arrival of a word.
    ahead: i128,
    heard_at: MonotonicTime,
}

/// The use of every pool.
#[derive(Clone, Debug, Default)]
pub struct UseLedger {
    pools: BTreeMap<PoolId, (SubjectHandle, PoolAccount)>,
    senders: BTreeMap<SubjectHandle, Sender>,
}

impl UseLedger {
    fn account(&mut self, pool: &PoolId) -> &mut PoolAccount {
        let account = self.pools.entry(pool.clone()).or_insert_with_key(|pool| {
            let handle = SubjectHandle::of_text("pool", &pool.0);
            (handle, PoolAccount::default())
        });
        &mut account.1
    }

    /// How the tenant and the kind of a request stand at a pool.
    pub fn standing(
        &self,
        pool: &PoolId,
        tenant: Option<SubjectHandle>,
        kind: usize,
        settings: &SharingSettings,
        now: MonotonicTime,
    ) -> Standing {
        let account = self.pools.get(pool);
        account.map_or(Standing::default(), |(_, account)| {
            account.standing(tenant, kind, settings, now)
        })
    }

    /// Notes the queue that a request met, as part of what it could bear.
    pub fn on_queue(&mut self, pool: &PoolId, part: f64, settings: &SharingSettings, now: MonotonicTime) {
        self.account(pool).on_queue(part, settings.window(), now);
    }

    /// Charges a request of a tenant: what it asked for unless it asked before, and what it was admitted with.
    pub fn on_request(
        &mut self,
        pool: &PoolId,
        request: TenantRequest,
        settings: &SharingSettings,
        now: MonotonicTime,
    ) -> Charge {
        let window = settings.window();
        let part = |counts: bool| if counts { request.tokens } else { 0.0 };
        let charge = Charge {
            tenant: request.tenant,
            used: part(request.is_admitted),
            wanted: part(!request.came_back),
            at: now,
            window,
        };
        let sums = self.account(pool).own.of(request.tenant);
        sums.used.add(charge.used, window, now);
        sums.wanted.add(charge.wanted, window, now);
        charge
    }

    /// Takes back what is left of a charge.
    pub fn take_back(&mut self, pool: &PoolId, charge: Charge, now: MonotonicTime) {
        let window = charge.window;
        let left = super::decayed::kept(now.since(charge.at), window);
        let sums = self.account(pool).own.of(charge.tenant);
        sums.used.add(-charge.used * left, window, now);
        sums.wanted.add(-charge.wanted * left, window, now);
    }

    /// Notes whether a request of a kind was in time.
    pub fn on_outcome(
        &mut self,
        pool: &PoolId,
        kind: usize,
        in_time: bool,
        window: Duration,
        now: MonotonicTime,
    ) {
        self.account(pool).own.on_outcome(kind, in_time, window, now);
    }

    /// What this node has to tell of its own admissions.
    pub fn own_word(&mut self, settings: &SharingSettings, now: MonotonicTime) -> Vec<PoolUse> {
        let window = settings.window();
        let most_tenants = (MOST_TENANTS_IN_ALL / self.pools.len().clamp(1, MOST_POOLS)).min(MOST_TENANTS);
        let told = self.pools.values_mut().filter_map(|(handle, account)| {
            account.own.forget_small(window, now);
            account.own.told(*handle, most_tenants, window, now)
        });
        told.take(MOST_POOLS).collect()
    }

    /// Takes the word of another node. False where it is older than one that was heard, or older than what counts.
    pub fn on_word(&mut self, word: &UseWord, settings: &SharingSettings, now: MonotonicTime) -> bool {
        let lifetime = settings.window() * WORD_LIFETIME_WINDOWS;
        let Some(age) = self.age_of(word, lifetime, now) else {
            return false;
        };
        if age > lifetime {
            return false;
        }
        let at = now - age;
        for (handle, account) in self.pools.values_mut() {
            match word.pools.iter().find(|told| told.pool == *handle) {
                Some(told) => account.on_told(word.node, ToldTally::new(told), at),
                None => account.forget_node(word.node),
            }
        }
        true
    }

    /// By how much longer a word was under way than the fastest of its sender; absent where a later one was heard. A sender
    /// that was silent for so long that nothing of it counts may begin anew, with an earlier start as well: its clock may
    /// have been set back.
    fn age_of(&mut self, word: &UseWord, lifetime: Duration, now: MonotonicTime) -> Option<Duration> {
        let ahead = i128::from(now.0) - i128::from(word.told_at.0);
        let before = self.senders.get(&word.node).copied();
        if let Some(before) = before
            && (word.start == before.start || now.since(before.heard_at) < lifetime)
            && (word.start, word.number) <= (before.start, before.number)
        {
            return None;
        }
        let same_start = before.filter(|before| before.start == word.start);
        let least = same_start.map_or(ahead, |before| {
            let since = now.since(before.heard_at).as_micros() as i128;
            ahead.min(before.ahead + since / CLOCK_PACE_ALLOWED)
        });
        self.senders.insert(
            word.node,
            Sender {
                start: word.start,
                number: word.number,
                ahead: least,
                heard_at: now,
            },
        );
        self.forget_oldest_sender();
        Some(Duration::from_micros(u64::try_from(ahead - least).unwrap_or(0)))
    }

    fn forget_oldest_sender(&mut self) {
        if self.senders.len() <= MOST_SENDERS {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, sender)| sender.heard_at);
        if let Some(oldest) = oldest.map(|(node, _)| *node) {
            self.senders.remove(&oldest);
            for (_, account) in self.pools.values_mut() {
                account.forget_node(oldest);
            }
        }
    }

    /// Tokens that a tenant had admitted at a pool of late, over all nodes.
    pub fn used(
        &self,
        pool: &PoolId,
        tenant: SubjectHandle,
        settings: &SharingSettings,
        now: MonotonicTime,
    ) -> f64 {
        let account = self.pools.get(pool);
        let sums = account.map(|(_, account)| account.sums(settings.window(), now));
        sums.and_then(|sums| sums.get(&Some(tenant)).map(|(used, _)| *used))
            .unwrap_or(0.0)
    }
}
