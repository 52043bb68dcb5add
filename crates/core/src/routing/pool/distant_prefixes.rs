//! Prefix blocks that engines of other regions hold, and whether to fetch them.
//!
//! Each region prefills a shared prefix for itself unless an engine of another region holds it and a transfer is cheaper:
//!
//! ```text
//! distance factor    = w.region_transfer_factor       (transfers between regions are slower by this factor)
//! fetch(n)           = w.distant_fetch * n * distance factor * seconds to transfer a token + round trip to the region
//! prefill(n)         = learned time to prefill n tokens at an average engine, without the fixed part
//! fetch from a distant engine if it holds n >= MIN_DISTANT_FETCH_TOKENS tokens more than any engine of the region
//!                            and fetch(n) < prefill(n)
//! ```
//!
//! Placers announce a shared prefix to one placer of each other region when one of their engines begins to hold it. Announcements
//! expire, because engines evict blocks without reporting it, and a region is fetched from only while one of its placers is heard.

use super::beliefs::PrefixUpdate;
use super::choice::{best_of, may_continue};
use super::cost::shared_prefixes;
use super::engine::EngineState;
use super::query::{PoolQuery, PrefixBlock};
use super::router::PoolRouter;
use crate::identity::{RegionId, ZoneId};
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Fewest additional tokens that are fetched from another region; a transfer of fewer takes longer than prefill.
const MIN_DISTANT_FETCH_TOKENS: u32 = 2_048;

/// Age at which an announced prefix expires. Engines of a busy pool replace their whole KV cache in about 16 s.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(12);

/// Time after which a prefix that is used again is announced again.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(6);

/// Time since a placer of a region was last heard after which no KV cache is fetched from the region.
const REGION_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without fetches from other regions after an engine that fetched from one did not answer.
const FETCH_BACKOFF: Duration = Duration::from_secs(5);

/// Maximum number of announcements queued until the next message to other regions.
const MAX_PENDING_ANNOUNCEMENTS: usize = 256;

/// Announcements to and from other regions.
#[derive(Clone, Debug, Default)]
pub(super) struct DistantPrefixes {
    /// When a placer of each other region was last heard.
    heard: BTreeMap<RegionId, MonotonicTime>,
    /// Announcements to send.
    pending: Vec<PrefixUpdate>,
    /// End of the time without fetches from other regions.
    backoff_until: MonotonicTime,
}

/// An engine of another region from which a prefix may be fetched.
#[derive(Clone, Copy, Debug)]
pub(super) struct DistantHolder<'a> {
    pub(super) state: &'a EngineState,
    /// Leading prompt tokens that it holds.
    pub(super) tokens: u32,
    /// Round trip to its region, in seconds.
    pub(super) round_trip_seconds: f64,
}

impl PoolRouter {
    /// Records that a placer of another region was heard.
    pub fn on_region_heard(&mut self, region: &RegionId, now: MonotonicTime) {
        self.distant_prefixes.heard.insert(region.clone(), now);
    }

    /// Applies announcements of prefixes that engines of other regions hold.
    pub fn on_distant_prefixes(&mut self, updates: &[PrefixUpdate], now: MonotonicTime) {
        for update in updates {
            if let Some(state) = self.state_of(update.engine) {
                state.prefixes.record_prefill(&update.prefixes, now);
            }
        }
    }

    /// Takes the queued announcements for other regions.
    pub fn take_distant_prefixes(&mut self) -> Vec<PrefixUpdate> {
        std::mem::take(&mut self.distant_prefixes.pending)
    }

    /// Queues an announcement of a shared prefix that an engine holds from now on, or uses again after [`ANNOUNCEMENT_INTERVAL`].
    pub(super) fn announce_prefix(
        &mut self,
        engine: SubjectHandle,
        held_since: Option<MonotonicTime>,
        prefixes: &[PrefixBlock],
        now: MonotonicTime,
    ) {
        let shared = shared_prefixes(prefixes);
        let tokens: u32 = shared.iter().map(|block| block.tokens).sum();
        let is_recent = held_since.is_some_and(|at| now.since(at) < ANNOUNCEMENT_INTERVAL);
        let pending = &mut self.distant_prefixes.pending;
        if !self.topology.is_regional()
            || is_recent
            || tokens < MIN_DISTANT_FETCH_TOKENS
            || pending.len() >= MAX_PENDING_ANNOUNCEMENTS
        {
            return;
        }
        pending.push(PrefixUpdate {
            engine,
            prefixes: shared.to_vec(),
            just_answered: false,
        });
    }

    /// Stops fetches from other regions for a while: an engine that fetched from one did not answer.
    pub(super) fn on_distant_fetch_unanswered(&mut self, now: MonotonicTime) {
        self.distant_prefixes.backoff_until = now + FETCH_BACKOFF;
    }

    /// The engine of another region from which the prompt's prefix is fetched, if that is cheaper than prefill. `held` is the
    /// number of leading tokens that engines of the query's region hold.
    pub(super) fn distant_holder(
        &self,
        query: &PoolQuery<'_>,
        held: u32,
        now: MonotonicTime,
    ) -> Option<DistantHolder<'_>> {
        let region = query.region?;
        let move_seconds = self.traits.get(query.pool)?.move_seconds?;
        if now < self.distant_prefixes.backoff_until {
            return None;
        }
        let holders = self.engines.values().filter(|state| {
            state.engine.pool == *query.pool
                && state.can_be_fetched_from(now)
                && self.is_fetchable_region(region, &state.engine.zone, now)
                && self.paths.allows_transfer(query.zone, &state.engine.zone)
                && may_continue(query, state)
        });
        let (tokens, state) = best_of(holders, query.prefixes)?;
        let last_use = state.prefixes.last_use(query.prefixes)?;
        let more = tokens.saturating_sub(held);
        if more < MIN_DISTANT_FETCH_TOKENS || now.since(last_use) >= ANNOUNCEMENT_TTL {
            return None;
        }
        let round_trip_seconds = self.round_trip_seconds(&state.engine.zone);
        let weights = &self.weights;
        let fetch = weights.distant_fetch * f64::from(more) * weights.region_transfer_factor * move_seconds
            + round_trip_seconds;
        let prefill = f64::from(more) / self.speeds(query.pool).prefill.tokens_per_second();
        (fetch < prefill).then_some(DistantHolder {
            state,
            tokens,
            round_trip_seconds,
        })
    }

    /// Whether engines of a zone may be fetched from: it lies in another region, one of whose placers was heard a moment ago.
    fn is_fetchable_region(&self, own: &RegionId, zone: &ZoneId, now: MonotonicTime) -> bool {
        let region = self.topology.region_of(zone).filter(|region| *region != own);
        let heard = region.and_then(|region| self.distant_prefixes.heard.get(region));
        heard.is_some_and(|at| now.since(*at) < REGION_SILENCE_TIMEOUT)
    }

    /// Measured round trip to the region of a zone, in seconds, or the assumed one.
    pub(super) fn round_trip_seconds(&self, zone: &ZoneId) -> f64 {
        let region = self.topology.region_of(zone);
        region
            .and_then(|region| self.region_round_trips.get(region))
            .copied()
            .unwrap_or(self.weights.assumed_region_round_trip_seconds)
    }
}
