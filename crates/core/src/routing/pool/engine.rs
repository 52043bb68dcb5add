//! State that the router keeps for each engine of a pool: listing, load, health and pending orders.

use super::beliefs::{PeerLoad, RANK_COUNT};
use super::cordons::EngineCordon;
use super::dispatches::KvCacheSource;
use super::pace::EnginePace;
use super::pauses::RecentPrefill;
use super::prefix_cache::PrefixCacheEstimate;
use super::risk::FailureRate;
use super::speed::PrefillSpeed;
use crate::forwarding::PoolId;
use crate::identity::{EngineId, NodeId, SoftwareVersion, ZoneId};
use crate::membership::subject::SubjectHandle;
use crate::rate_limit::LimitEstimate;
use crate::routing::health::Health;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Part of request processing that an engine performs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EngineStage {
    /// Serves complete requests without prefill and decode stages.
    Whole,
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates output tokens; can also prefill a prompt, but more slowly than a prefill engine.
    Decode,
}

/// Entry of one engine in the platform's engine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEngine {
    /// Identifier of this start of the engine; a restarted engine gets a new one.
    pub id: EngineId,
    /// Pool that the engine belongs to.
    pub pool: PoolId,
    /// Address on which the engine accepts requests.
    pub address: SocketAddr,
    /// Zone in which the engine runs.
    pub zone: ZoneId,
    /// Maximum number of requests that run concurrently.
    pub places: u32,
    /// Whether the engine drains: it finishes its requests and accepts no new ones.
    pub leaving: bool,
    /// Stage that the engine serves.
    pub stage: EngineStage,
    /// Models that the engine has loaded.
    pub models: Vec<String>,
    /// Remaining time for which the engine is slower than usual after its start.
    pub warmup_remaining: Duration,
    /// Whether the engine runs on a spot instance, which the platform may reclaim.
    pub spot: bool,
    /// Software version of this start; absent if the platform does not name it or this node has not received it. Peers send it
    /// separately, because earlier builds do not know the field.
    #[serde(skip)]
    pub software_version: Option<SoftwareVersion>,
}

/// Load that an engine reports in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of requests that run concurrently.
    pub places: u32,
    /// Current duration of work on the engine's machine, as a percentage of its usual duration there; `None` if the
    /// engine does not report it. Engines share machines with other processes, so the value changes many times a
    /// second.
    pub work_time_percent: Option<u32>,
}

/// A dispatch from this node to an engine that has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct InFlightWork {
    pub(super) rank: usize,
    pub(super) prompt_tokens: f64,
    pub(super) memory_tokens: f64,
    pub(super) transfer_tokens: f64,
    /// Whether the engine fetches a part of the KV cache from an engine of another region.
    pub(super) fetches_from_other_region: bool,
    pub(super) sent_at: MonotonicTime,
    /// Whether its duration is observed to learn speeds and paces; not if reports about it cross regions.
    pub(super) is_measured: bool,
    /// How the engine obtains the KV cache for the output; `None` for a dispatch that only prefills.
    pub(super) kv_source: Option<KvCacheSource>,
    /// Whether the engine could run one more request at dispatch time.
    pub(super) had_free_slot: bool,
    /// Prompt tokens that the engine had to prefill before this prompt was done, including those of this prompt.
    pub(super) tokens_until_prefilled: f64,
    /// Maximum tolerated gap between output events; `None` if the route sets none, the dispatch only prefills, or a gap
    /// has already exceeded it.
    pub(super) max_event_gap: Option<Duration>,
    /// Expected length of the output.
    pub(super) output_tokens: u32,
    /// Time of the first output event.
    pub(super) first_event_at: Option<MonotonicTime>,
    /// Momentary pace factor of the engine at dispatch time, replaced by that at the first output event.
    pub(super) momentary_pace: f64,
}

/// Load of one engine: the sum of requests from all nodes, or from this node alone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Prompt tokens waiting for prefill, by priority rank.
    pub prompt_tokens: [f64; RANK_COUNT],
    /// Number of requests that have not ended.
    pub requests: f64,
    /// Tokens of KV cache that these requests occupy or will occupy.
    pub memory_tokens: f64,
    /// Tokens of KV cache being transferred to the engine, which receives one transfer at a time.
    pub transfer_tokens: f64,
    /// Number of requests without remaining prefill.
    pub outputs: f64,
    /// Tokens of KV cache that `outputs` occupy or will occupy.
    pub output_tokens: f64,
    /// Number of `outputs` that have a maximum gap between events and have not exceeded it.
    pub streams: f64,
    /// Smallest maximum gap between events among `streams`; `None` if there are no streams.
    pub min_event_gap_limit: Option<Duration>,
}

impl EngineLoad {
    /// Prompt tokens to prefill before a new request of the given rank.
    pub fn prompt_tokens_ahead(&self, rank: usize) -> f64 {
        self.prompt_tokens[..=rank.min(RANK_COUNT - 1)].iter().sum()
    }

    /// Prompt tokens to prefill after a new request of the given rank.
    pub fn prompt_tokens_behind(&self, rank: usize) -> f64 {
        self.prompt_tokens[rank.min(RANK_COUNT - 1) + 1..].iter().sum()
    }

    /// Expected tokens that remain of a prompt of a later rank that the engine is prefilling now: half of a mean prompt of those
    /// ranks, since engines serve earlier ranks first but do not interrupt a prompt that they have begun.
    pub fn prompt_tokens_in_progress_behind(&self, rank: usize) -> f64 {
        let prompts = (self.requests - self.outputs).max(1.0);
        0.5 * self.prompt_tokens_behind(rank) / prompts
    }

    /// Prompt tokens waiting for prefill, over all ranks.
    pub fn all_prompt_tokens(&self) -> f64 {
        self.prompt_tokens.iter().sum()
    }

    fn add_peer(&mut self, report: &PeerLoad) {
        for (sum, tokens) in self.prompt_tokens.iter_mut().zip(report.prompt_tokens) {
            *sum += f64::from(tokens);
        }
        self.requests += f64::from(report.requests);
        self.memory_tokens += f64::from(report.memory_tokens);
        self.transfer_tokens += f64::from(report.transfer_tokens);
        self.outputs += f64::from(report.outputs);
        self.output_tokens += f64::from(report.output_tokens);
        let millis = u64::from(report.min_event_gap_limit_millis);
        self.streams += f64::from(report.streams);
        self.add_event_gap_limit((millis > 0).then_some(Duration::from_millis(millis)));
    }

    fn add_event_gap_limit(&mut self, limit: Option<Duration>) {
        self.min_event_gap_limit = [self.min_event_gap_limit, limit].into_iter().flatten().min();
    }

    fn add_in_flight(&mut self, work: &InFlightWork) {
        self.prompt_tokens[work.rank] += work.prompt_tokens;
        self.requests += 1.0;
        self.memory_tokens += work.memory_tokens;
        self.transfer_tokens += work.transfer_tokens;
        if work.prompt_tokens == 0.0 {
            self.outputs += 1.0;
            self.output_tokens += work.memory_tokens;
            self.streams += if work.max_event_gap.is_some() { 1.0 } else { 0.0 };
            self.add_event_gap_limit(work.max_event_gap);
        }
    }

    /// Converts the load to the form that is sent to peers; fractions are cut off.
    pub fn to_peer_load(&self) -> PeerLoad {
        PeerLoad {
            prompt_tokens: self.prompt_tokens.map(|tokens| tokens as u32),
            requests: self.requests as u32,
            memory_tokens: self.memory_tokens as u32,
            transfer_tokens: self.transfer_tokens as u32,
            outputs: self.outputs as u32,
            output_tokens: self.output_tokens as u32,
            streams: self.streams as u32,
            min_event_gap_limit_millis: self
                .min_event_gap_limit
                .map_or(0, |limit| limit.as_millis() as u32),
        }
    }
}

/// Removal of an engine from the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Delisted {
    pub(super) since: MonotonicTime,
    /// Whether the store had failed shortly before, so that a live engine may have been unable to renew its entry.
    pub(super) doubtful: bool,
}

/// Time after which an order to change stage counts as not carried out. An engine may carry it out seconds after it was
/// given.
const STAGE_ORDER_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for which an engine stays in use after a doubtful removal; a live engine renews its entry within this time.
const DOUBTFUL_ENGINE_TTL: Duration = Duration::from_millis(1_600);

/// Time for which the state of a delisted engine is retained, so that an engine listed again within it keeps its state.
pub(super) const DELISTED_RETENTION: Duration = Duration::from_secs(6);

impl EngineStage {
    /// Name used in logs and operator pages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

impl Delisted {
    fn is_doubtful_at(self, now: MonotonicTime) -> bool {
        self.doubtful && now.since(self.since) < DOUBTFUL_ENGINE_TTL
    }
}

/// Router state of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Latest entry in the platform's list.
    pub engine: PoolEngine,
    /// Short identifier of this start of the engine, the same on every node.
    pub handle: SubjectHandle,
    /// Estimate of the prefix blocks in the engine's KV cache.
    pub prefixes: PrefixCacheEstimate,
    /// Time of the last known response to any node.
    pub(super) last_answer_at: Option<MonotonicTime>,
    /// Stage that the engine has been ordered to change to and the time of the order; cleared once the list shows it.
    pub(super) stage_order: Option<(EngineStage, MonotonicTime)>,
    /// Set while the engine is absent from the platform's list.
    pub(super) delisted: Option<Delisted>,
    /// Whether a later start of the engine is known, which proves that this one has ended.
    pub(super) replaced: bool,
    /// Last time at which the zone reclaimed spot engines while this one was not listed as draining.
    pub(super) reclaim_seen_at: Option<MonotonicTime>,
    /// Effect of operators' cordons on the engine.
    pub(super) cordon: EngineCordon,
    /// End of the last backoff that the engine requested from this node; traffic resumes gradually after it.
    pub(super) backoff_end: Option<MonotonicTime>,
    pub(super) health: Health,
    pub(super) failure_rate: FailureRate,
    pub(super) in_flight: BTreeMap<u64, InFlightWork>,
    pub(super) reported_load: Option<(ReportedLoad, MonotonicTime)>,
    /// Estimate of the rate limit that the engine reports in its responses.
    pub(super) limit: LimitEstimate,
    pub(super) peers: BTreeMap<NodeId, (PeerLoad, MonotonicTime)>,
    /// Moving average of the ratio of actual to expected prefill time, at least one; used while `pace` is not in use.
    pub(super) slowness: f64,
    /// Recent peak of the prompt tokens waiting for prefill.
    pub(super) recent_prefill: RecentPrefill,
    /// Estimates of the engine's long-term and momentary pace.
    pub(super) pace: EnginePace,
}

/// Age at which a peer's load report expires.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Time without a response to any node after which an engine no longer counts as alive.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Age at which a load reported by an engine expires.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(400);

impl EngineState {
    pub(super) fn new(engine: PoolEngine, cache_tokens: u64) -> Self {
        Self {
            handle: SubjectHandle::of_engine(&engine.id),
            engine,
            prefixes: PrefixCacheEstimate::new(cache_tokens),
            last_answer_at: None,
            stage_order: None,
            delisted: None,
            replaced: false,
            reclaim_seen_at: None,
            cordon: EngineCordon::default(),
            backoff_end: None,
            health: Health::default(),
            failure_rate: FailureRate::default(),
            in_flight: BTreeMap::new(),
            reported_load: None,
            limit: LimitEstimate::default(),
            peers: BTreeMap::new(),
            slowness: 1.0,
            recent_prefill: RecentPrefill::default(),
            pace: EnginePace::default(),
        }
    }

    /// Applies a new list entry of the same start of the engine.
    pub(super) fn update(&mut self, engine: PoolEngine) {
        self.delisted = None;
        if self.stage_order.is_some_and(|(stage, _)| stage == engine.stage) {
            self.stage_order = None;
        }
        self.engine = engine;
    }

    /// Load from requests of this node.
    pub fn own_load(&self) -> EngineLoad {
        let mut sum = EngineLoad::default();
        self.in_flight.values().for_each(|work| sum.add_in_flight(work));
        sum
    }

    /// Estimated load from requests of all nodes: own load plus unexpired reports of peers. The number of requests is
    /// at least that in the engine's own unexpired report.
    pub fn load(&self, now: MonotonicTime) -> EngineLoad {
        let mut sum = self.own_load();
        for (report, at) in self.peers.values() {
            if now.since(*at) < PEER_REPORT_TTL {
                sum.add_peer(report);
            }
        }
        if let Some((report, at)) = self.reported_load
            && now.since(at) < REPORTED_LOAD_TTL
        {
            sum.requests = sum.requests.max(f64::from(report.running + report.waiting));
        }
        sum
    }

    /// Estimated ratio of the time that work takes here to the time at an average engine of the pool.
    pub fn work_factor(&self, now: MonotonicTime) -> f64 {
        if self.pace.is_enabled() {
            self.pace.factor(now)
        } else {
            self.slowness
        }
    }

    /// Estimated time to prefill `tokens` prompt tokens here, in seconds, from the pool's prefill speed.
    ///
    /// The pace scales the token count but not the fixed part of the estimate. The fixed part is mostly queueing
    /// behind requests not yet reported by peers, which is no longer at a slow engine; scaling it as well would favor
    /// queues at fast engines over idle engines.
    pub fn prefill_seconds(&self, speed: &PrefillSpeed, tokens: f64, now: MonotonicTime) -> f64 {
        if self.pace.is_enabled() {
            speed.seconds(tokens * self.pace.factor(now))
        } else {
            self.slowness * speed.seconds(tokens)
        }
    }

    /// Estimates of the engine's long-term and momentary pace.
    pub fn pace(&self) -> &EnginePace {
        &self.pace
    }

    /// Number of queued requests in the engine's last report; `None` if there is no report or it has expired.
    pub fn reported_waiting(&self, now: MonotonicTime) -> Option<u32> {
        let (report, at) = self.reported_load?;
        (now.since(at) < REPORTED_LOAD_TTL).then_some(report.waiting)
    }

    /// Whether the engine can run one more request without queueing it.
    pub(super) fn has_free_slot(&self, now: MonotonicTime) -> bool {
        self.load(now).requests + 1.0 <= f64::from(self.engine.places.max(1))
    }

    /// Whether the engine has responded to any node recently, which distinguishes a busy engine from a dead one.
    pub fn answered_recently(&self, now: MonotonicTime) -> bool {
        self.last_answer_at
            .is_some_and(|at| now.since(at) < LIVENESS_TIMEOUT)
    }

    /// Records a response of the engine, to this node or to a peer.
    pub(super) fn record_answer(&mut self, now: MonotonicTime) {
        self.last_answer_at = Some(now);
    }

    /// Age of the oldest unexpired load report of a peer; zero if there is none.
    pub fn oldest_report_age(&self, now: MonotonicTime) -> Duration {
        let ages = self.peers.values().map(|(_, at)| now.since(*at));
        ages.filter(|age| *age < PEER_REPORT_TTL)
            .max()
            .unwrap_or_default()
    }

    /// Whether the engine may get new work. An engine that is unhealthy, cordoned or probably being reclaimed may get
    /// it only if `last_resort` is set.
    pub(super) fn takes_work(&self, now: MonotonicTime, last_resort: bool) -> bool {
        !self.has_ended(now)
            && !self.engine.leaving
            && self.ordered_stage(now).is_none()
            && self.cordon_allows(now, last_resort)
            && (last_resort || !(self.health.is_backing_off(now) || self.is_being_reclaimed(now)))
    }

    /// Whether this start of the engine has ended; false while a removal is doubtful.
    pub(super) fn has_ended(&self, now: MonotonicTime) -> bool {
        self.replaced || self.delisted.is_some_and(|removal| !removal.is_doubtful_at(now))
    }

    /// Stage that the engine is changing to; `None` if there is no order or it has expired.
    pub fn ordered_stage(&self, now: MonotonicTime) -> Option<EngineStage> {
        let (stage, since) = self.stage_order?;
        (now.since(since) < STAGE_ORDER_TIMEOUT).then_some(stage)
    }

    /// Whether another engine may fetch KV cache from it, which a draining engine still allows.
    pub(super) fn can_be_fetched_from(&self, now: MonotonicTime) -> bool {
        self.is_listed() && !self.health.is_backing_off(now)
    }

    /// Whether the engine is listed and drains.
    pub fn is_draining(&self) -> bool {
        self.engine.leaving && self.is_listed()
    }

    /// Whether the engine is listed and does not drain.
    pub fn is_active(&self) -> bool {
        !self.engine.leaving && self.is_listed()
    }

    /// Whether the platform lists this start of the engine and no later one.
    pub fn is_listed(&self) -> bool {
        self.delisted.is_none() && !self.replaced
    }

    /// Whether a later start of the engine is known, which would receive requests meant for this one.
    pub fn has_later_start(&self) -> bool {
        self.replaced
    }

    /// Whether a later start of the engine is known although this one never announced that it drains.
    pub fn was_replaced_unannounced(&self) -> bool {
        self.replaced && !self.engine.leaving
    }
}
