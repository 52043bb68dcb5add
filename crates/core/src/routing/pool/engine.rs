//! What is known of one engine of a pool.

use super::cordons::EngineCordon;
use super::dispatches::KvCacheSource;
use super::pace::EnginePace;
use super::pauses::RecentPrefill;
use super::peer_reports::{PeerLoad, RANK_COUNT};
use super::prefill_speed::PrefillSpeed;
use super::prefix_cache::PrefixCacheEstimate;
use super::risk::FailureRate;
use crate::forwarding::PoolId;
use crate::identity::{EngineId, NodeId, ZoneId};
use crate::membership::subject::SubjectHandle;
use crate::rate_limit::LimitEstimate;
use crate::routing::health::Health;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What an engine of a split pool does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EngineStage {
    /// Serves whole requests; runs no model.
    Whole,
    /// Reads prompts.
    Prefill,
    /// Runs outputs; may read a prompt itself, slowly.
    Decode,
}

/// One engine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEngine {
    /// Name of this start of the engine.
    pub id: EngineId,
    /// Pool it serves.
    pub pool: PoolId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub places: u32,
    /// Whether it is about to leave and takes nothing new.
    pub leaving: bool,
    /// What it does.
    pub stage: EngineStage,
    /// Models that it holds.
    pub models: Vec<String>,
    /// Time for which it is still slow after its start.
    pub warming: Duration,
    /// Whether the platform may take it back.
    pub spot: bool,
}

/// Load that an engine told in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub places: u32,
    /// How long work takes on its machine at this moment, in hundredths of what is usual there; absent where it doesn't
    /// tell. Engines share their machines with others, so this changes many times a second.
    pub work_time_percent: Option<u32>,
}

/// Work that this node handed to an engine and that has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct InFlightWork {
    pub(super) rank: usize,
    pub(super) prompt_tokens: f64,
    pub(super) memory_tokens: f64,
    pub(super) moving_tokens: f64,
    pub(super) sent_at: MonotonicTime,
    /// How the engine comes by the KV cache of an output; absent where it only reads.
    pub(super) kv_source: Option<KvCacheSource>,
    /// Whether a place was free when it was sent.
    pub(super) had_free_slot: bool,
    /// Prompt tokens that were to be read there until this prompt was read, its own among them.
    pub(super) tokens_until_prefilled: f64,
    /// Longest harmless pause between its events; absent where none is named, nothing is run, or one was longer.
    pub(super) max_event_gap: Option<Duration>,
    /// Tokens that its output is expected to have.
    pub(super) output_tokens: u32,
    /// When its first event came.
    pub(super) begun_at: Option<MonotonicTime>,
    /// Momentary factor of its engine when it was sent, or when its output began.
    pub(super) momentary: f64,
}

/// Work at an engine, from everybody.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Prompt tokens to read, by rank.
    pub prompt_tokens: [f64; RANK_COUNT],
    /// Requests.
    pub requests: f64,
    /// Tokens of KV cache that the requests hold or will hold.
    pub memory_tokens: f64,
    /// Tokens of KV cache that are on their way there; an engine takes one cache at a time.
    pub moving_tokens: f64,
    /// Requests of which no prompt is left to read.
    pub outputs: f64,
    /// Tokens of KV cache of those requests.
    pub output_tokens: f64,
    /// Those of them whose route names the longest harmless pause, and that have kept to it so far.
    pub streams: f64,
    /// Shortest of the longest harmless pauses of those streams; absent where there is none.
    pub min_event_gap_limit: Option<Duration>,
}

impl EngineLoad {
    /// Prompt tokens that are read before those of a request of a rank that comes now.
    pub fn prompt_tokens_ahead(&self, rank: usize) -> f64 {
        self.prompt_tokens[..=rank.min(RANK_COUNT - 1)].iter().sum()
    }

    /// Prompt tokens that are read after those of a request of a rank that comes now.
    pub fn prompt_tokens_behind(&self, rank: usize) -> f64 {
        self.prompt_tokens[rank.min(RANK_COUNT - 1) + 1..].iter().sum()
    }

    /// Prompt tokens of every rank.
    pub fn all_prompt_tokens(&self) -> f64 {
        self.prompt_tokens.iter().sum()
    }

    fn add_peer(&mut self, work: &PeerLoad) {
        for (sum, tokens) in self.prompt_tokens.iter_mut().zip(work.prompt_tokens) {
            *sum += f64::from(tokens);
        }
        self.requests += f64::from(work.requests);
        self.memory_tokens += f64::from(work.memory_tokens);
        self.moving_tokens += f64::from(work.moving_tokens);
        self.outputs += f64::from(work.outputs);
        self.output_tokens += f64::from(work.output_tokens);
        let millis = u64::from(work.min_event_gap_limit_millis);
        self.streams += f64::from(work.streams);
        self.add_bound((millis > 0).then_some(Duration::from_millis(millis)));
    }

    fn add_bound(&mut self, bound: Option<Duration>) {
        self.min_event_gap_limit = [self.min_event_gap_limit, bound].into_iter().flatten().min();
    }

    fn add_in_flight(&mut self, work: &InFlightWork) {
        self.prompt_tokens[work.rank] += work.prompt_tokens;
        self.requests += 1.0;
        self.memory_tokens += work.memory_tokens;
        self.moving_tokens += work.moving_tokens;
        if work.prompt_tokens == 0.0 {
            self.outputs += 1.0;
            self.output_tokens += work.memory_tokens;
            self.streams += if work.max_event_gap.is_some() { 1.0 } else { 0.0 };
            self.add_bound(work.max_event_gap);
        }
    }

    /// As it is told to other nodes.
    pub fn to_peer_load(&self) -> PeerLoad {
        PeerLoad {
            prompt_tokens: self.prompt_tokens.map(|tokens| tokens as u32),
            requests: self.requests as u32,
            memory_tokens: self.memory_tokens as u32,
            moving_tokens: self.moving_tokens as u32,
            outputs: self.outputs as u32,
            output_tokens: self.output_tokens as u32,
            streams: self.streams as u32,
            min_event_gap_limit_millis: self
                .min_event_gap_limit
                .map_or(0, |bound| bound.as_millis() as u32),
        }
    }
}

/// An engine that the platform lists no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Delisted {
    pub(super) since: MonotonicTime,
    /// The store was in trouble, so the engine may only have failed to renew its entry.
    pub(super) doubtful: bool,
}

/// Longest time that a change of stage is waited for; an order may be carried out seconds after it was given.
const STAGE_ORDER_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for which an engine whose disappearance is in doubt is still used; it renews its entry sooner if it lives.
const DOUBTFUL_ENGINE_TTL: Duration = Duration::from_millis(1_600);

/// Time after which an engine that is gone is forgotten; one that comes back sooner keeps what is known of it.
pub(super) const DELISTED_RETENTION: Duration = Duration::from_secs(6);

impl EngineStage {
    /// Name for logs and pages.
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

/// One engine as the router sees it.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// As listed.
    pub engine: PoolEngine,
    /// Short name of this start of the engine, the same at every node.
    pub handle: SubjectHandle,
    /// Prompt parts that it is believed to hold.
    pub prefixes: PrefixCacheEstimate,
    /// When it was last known to answer, to this node or another.
    pub(super) last_answer_at: Option<MonotonicTime>,
    /// The stage that it has been ordered to take, and since when, until it is listed so.
    pub(super) stage_order: Option<(EngineStage, MonotonicTime)>,
    /// Present where the platform lists the engine no longer.
    pub(super) delisted: Option<Delisted>,
    /// Whether a later start of the engine is known, so that this one has ended for certain.
    pub(super) replaced: bool,
    /// When its zone was last seen to take spot engines back while this one was listed as staying.
    pub(super) reclaim_seen_at: Option<MonotonicTime>,
    /// How operators' cordons bear on it.
    pub(super) cordon: EngineCordon,
    /// End of the last backoff that it asked this node for; load returns to it step by step from then on.
    pub(super) backoff_end: Option<MonotonicTime>,
    pub(super) health: Health,
    pub(super) breaks: FailureRate,
    pub(super) in_flight: BTreeMap<u64, InFlightWork>,
    pub(super) reported_load: Option<(ReportedLoad, MonotonicTime)>,
    /// The rate limit that it names in its answers.
    pub(super) limit: LimitEstimate,
    pub(super) peers: BTreeMap<NodeId, (PeerLoad, MonotonicTime)>,
    /// Factor by which it answers slower than expected; one when it does not. Decides where `pace` is not in use.
    pub(super) slowness: f64,
    /// Prompt tokens that it had to read at once of late.
    pub(super) recent_prefill: RecentPrefill,
    /// Its lasting speed and how its machine stands.
    pub(super) pace: EnginePace,
}

/// Age from which another node's word no longer counts.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Silence towards everybody from which an engine no longer counts as busy but alive.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Age from which a told load no longer counts.
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
            breaks: FailureRate::default(),
            in_flight: BTreeMap::new(),
            reported_load: None,
            limit: LimitEstimate::default(),
            peers: BTreeMap::new(),
            slowness: 1.0,
            recent_prefill: RecentPrefill::default(),
            pace: EnginePace::default(),
        }
    }

    /// Takes a new listing of the same start of the engine.
    pub(super) fn update(&mut self, engine: PoolEngine) {
        self.delisted = None;
        if self.stage_order.is_some_and(|(stage, _)| stage == engine.stage) {
            self.stage_order = None;
        }
        self.engine = engine;
    }

    /// Work of this node alone.
    pub fn own_load(&self) -> EngineLoad {
        let mut sum = EngineLoad::default();
        self.in_flight.values().for_each(|work| sum.add_in_flight(work));
        sum
    }

    /// Work of every node, as far as it is known.
    pub fn load(&self, now: MonotonicTime) -> EngineLoad {
        let mut sum = self.own_load();
        for (work, at) in self.peers.values() {
            if now.since(*at) < PEER_REPORT_TTL {
                sum.add_peer(work);
            }
        }
        if let Some((told, at)) = self.reported_load
            && now.since(at) < REPORTED_LOAD_TTL
        {
            sum.requests = sum.requests.max(f64::from(told.running + told.waiting));
        }
        sum
    }

    /// Factor by which work takes longer here than at a usual engine of its pool, as far as is known now.
    pub fn work_factor(&self, now: MonotonicTime) -> f64 {
        if self.pace.in_use() {
            self.pace.factor(now)
        } else {
            self.slowness
        }
    }

    /// Seconds until so many prompt tokens are read here, by a line learned over the pool.
    ///
    /// Where the pace decides, it stretches the tokens alone: the fixed part is mostly the wait for work that nobody had
    /// told of yet, which does not grow at a slow engine. Stretched with the rest, it made queues at quick engines look
    /// better than idle engines: of 1,386 prompts on a recorded day 650 met an idle engine, 929 of 1,434 without paces.
    pub fn prefill_seconds(&self, line: &PrefillSpeed, tokens: f64, now: MonotonicTime) -> f64 {
        if self.pace.in_use() {
            line.seconds(tokens * self.pace.factor(now))
        } else {
            self.slowness * line.seconds(tokens)
        }
    }

    /// Its lasting speed and how its machine stands.
    pub fn pace(&self) -> &EnginePace {
        &self.pace
    }

    /// Requests that waited here when it last told; absent where that no longer counts.
    pub fn reported_waiting(&self, now: MonotonicTime) -> Option<u32> {
        let (told, at) = self.reported_load?;
        (now.since(at) < REPORTED_LOAD_TTL).then_some(told.waiting)
    }

    /// Whether one more request would find a place now.
    pub(super) fn has_free_slot(&self, now: MonotonicTime) -> bool {
        self.load(now).requests + 1.0 <= f64::from(self.engine.places.max(1))
    }

    /// Whether the engine has answered anybody a moment ago; a busy one does, a dead one does not.
    pub fn answered_recently(&self, now: MonotonicTime) -> bool {
        self.last_answer_at
            .is_some_and(|at| now.since(at) < LIVENESS_TIMEOUT)
    }

    /// Notes that the engine answers.
    pub(super) fn record_answer(&mut self, now: MonotonicTime) {
        self.last_answer_at = Some(now);
    }

    /// Age of the oldest word of another node that still counts.
    pub fn oldest_report_age(&self, now: MonotonicTime) -> Duration {
        let ages = self.peers.values().map(|(_, at)| now.since(*at));
        ages.filter(|age| *age < PEER_REPORT_TTL)
            .max()
            .unwrap_or_default()
    }

    /// Whether new work may go there now; one that is left alone for a while takes some only where `last_resort`.
    pub(super) fn takes_work(&self, now: MonotonicTime, last_resort: bool) -> bool {
        !self.has_ended(now)
            && !self.engine.leaving
            && self.ordered_stage(now).is_none()
            && self.cordon_allows(now, last_resort)
            && (last_resort || !(self.health.is_backing_off(now) || self.is_being_reclaimed(now)))
    }

    /// Whether this start of the engine is over, beyond the doubt that its entry may only have lapsed.
    pub(super) fn has_ended(&self, now: MonotonicTime) -> bool {
        self.replaced || self.delisted.is_some_and(|gone| !gone.is_doubtful_at(now))
    }

    /// The stage that it changes to, if it does.
    pub fn ordered_stage(&self, now: MonotonicTime) -> Option<EngineStage> {
        let (stage, since) = self.stage_order?;
        (now.since(since) < STAGE_ORDER_TIMEOUT).then_some(stage)
    }

    /// Whether another engine may fetch from it: it answers, even if it is about to leave.
    pub(super) fn can_be_fetched_from(&self, now: MonotonicTime) -> bool {
        self.is_listed() && !self.health.is_backing_off(now)
    }

    /// Whether the engine is listed and about to leave.
    pub fn is_about_to_leave(&self) -> bool {
        self.engine.leaving && self.is_listed()
    }

    /// Whether the engine is neither gone nor about to leave.
    pub fn stays(&self) -> bool {
        !self.engine.leaving && self.is_listed()
    }

    /// Whether the platform lists this start of the engine.
    pub fn is_listed(&self) -> bool {
        self.delisted.is_none() && !self.replaced
    }

    /// Whether a later start of the engine is known, which would take what is meant for this one.
    pub fn has_later_start(&self) -> bool {
        self.replaced
    }

    /// Whether a later start of the engine came, and this one had not said that it was about to leave.
    pub fn was_replaced_unannounced(&self) -> bool {
        self.replaced && !self.engine.leaving
    }
}
