//! A fleet in virtual time whose engines differ for good and whose machines turn slow for moments: several placers
//! choose engines, hear of each other's work and of paces, and are told how each request went on.
#![allow(dead_code)]

mod engines;

use super::pool_support::{engine_with, pool, router_with};
use engines::{Rng, SimulatedEngine};
use shelfjunction_core::identity::{EngineId, NodeId, ZoneId};
use shelfjunction_core::routing::pool::{
    EnginePaceUse, EngineStage, KvCacheSource, PeerLoadSlice, PoolQuery, PoolRoute, PoolRouter, PoolTicket,
    PoolWeights, PrefixBlock, PromptPart, PromptShape, ReportedLoad, RequestConstraints,
};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a fleet is like.
#[derive(Clone, Debug)]
pub struct World {
    /// Nodes that choose engines.
    pub placers: usize,
    /// Engines that read prompts, and engines that run outputs.
    pub engines: (usize, usize),
    /// Lasting factors, in turn.
    pub lasting: Vec<f64>,
    /// Share of the machines that are slow at any moment.
    pub slow_share: f64,
    /// Factor by which they are.
    pub slow_factor: f64,
    /// Time for which they stay so, in milliseconds.
    pub slow_millis: u64,
    /// Requests a second.
    pub rate: f64,
    /// Seconds that are played.
    pub seconds: u64,
    /// Share of the words between placers that are lost.
    pub lost: f64,
    /// What engines tell as their figure instead of the truth, if they do.
    pub nonsense: Option<u32>,
    /// Setting under test.
    pub pace_use: EnginePaceUse,
    /// Weight of the time that an output takes.
    pub output_time: f64,
    /// Seed.
    pub seed: u64,
}

/// How a day went.
#[derive(Clone, Debug, Default)]
pub struct Result {
    /// Requests that ended.
    pub requests: usize,
    /// Those with the first event and every piece in time.
    pub in_time: usize,
    /// Requests at the busiest engine that runs outputs over the mean.
    pub busiest: f64,
    /// Bytes of words about paces that a placer sent in a second to one other.
    pub pace_bytes: f64,
    /// Largest error of a lasting factor at the end, as a factor, relative to the others' mean error.
    pub lasting_error: f64,
    /// Learned persistence of a figure, in seconds.
    pub persistence: f64,
}

impl Result {
    /// Share in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.requests as f64
    }
}

const TARGET: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
const PROMPT_TOKENS: u32 = 2_500;
const OUTPUT_TOKENS: u32 = 168;
const WORD_EVERY: u64 = 60;
const WORD_TAKES: u64 = 3;

#[derive(Clone, Debug)]
struct Request {
    placer: usize,
    prompt: PromptShape,
    prefixes: Vec<PrefixBlock>,
    began: MonotonicTime,
    draw: u64,
}

#[derive(Clone, Debug)]
enum Happening {
    Arrives,
    PromptRead {
        request: Request,
        ticket: PoolTicket,
        decode: EngineId,
    },
    Begun {
        request: Request,
        ticket: PoolTicket,
    },
    Ended {
        request: Request,
        ticket: PoolTicket,
        in_time: bool,
    },
    Words,
    Heard {
        to: usize,
        from: usize,
        work: Words,
    },
}

type Words = (
    Vec<(
        shelfjunction_core::membership::subject::SubjectHandle,
        shelfjunction_core::routing::pool::PeerLoad,
    )>,
    shelfjunction_core::routing::pool::PaceReports,
);

struct Play<'w> {
    world: &'w World,
    routers: Vec<PoolRouter>,
    engines: BTreeMap<EngineId, SimulatedEngine>,
    happenings: BTreeMap<(MonotonicTime, u64), Happening>,
    numbers: u64,
    rng: Rng,
    result: Result,
    outputs: BTreeMap<EngineId, usize>,
    pace_bytes: usize,
}

/// Plays a world.
pub fn play(world: &World) -> Result {
    let mut play = Play::new(world);
    play.later(MonotonicTime::from_millis(1_000), Happening::Arrives);
    play.later(MonotonicTime::from_millis(1_000), Happening::Words);
    let end = MonotonicTime::from_millis(1_000 * (1 + world.seconds));
    while let Some(((now, _), happening)) = play.happenings.pop_first() {
        if now > end {
            break;
        }
        play.happen(happening, now);
    }
    play.finish(end)
}

impl<'w> Play<'w> {
    fn new(world: &'w World) -> Self {
        let weights = PoolWeights {
            decode_reading_pace: 0.001,
            engine_pace: world.pace_use,
            output_time: world.output_time,
            ..PoolWeights::default()
        };
        let (prefill, decode) = world.engines;
        let named = |letter: &str, count: usize, stage: EngineStage| -> Vec<_> {
            (0..count)
                .map(|number| engine_with(&format!("{letter}{number:03}"), stage, 64))
                .collect()
        };
        let mut listed = named("p", prefill, EngineStage::Prefill);
        listed.extend(named("d", decode, EngineStage::Decode));
        let engines = listed.iter().enumerate().map(|(index, engine)| {
            let lasting = world.lasting[index % world.lasting.len()];
            (
                engine.id.clone(),
                SimulatedEngine::new(lasting, index as u64, world),
            )
        });
        Self {
            world,
            routers: vec![router_with(weights, 64, None, &listed); world.placers],
            engines: engines.collect(),
            happenings: BTreeMap::new(),
            numbers: 0,
            rng: Rng(world.seed),
            result: Result::default(),
            outputs: BTreeMap::new(),
            pace_bytes: 0,
        }
    }

    fn later(&mut self, at: MonotonicTime, happening: Happening) {
        self.numbers += 1;
        self.happenings.insert((at, self.numbers), happening);
    }

    fn happen(&mut self, happening: Happening, now: MonotonicTime) {
        match happening {
            Happening::Arrives => self.arrive(now),
            Happening::PromptRead {
                request,
                ticket,
                decode,
            } => self.prompt_read(request, &ticket, &decode, now),
            Happening::Begun { request, ticket } => {
                let told = self.told(ticket.engine(), now);
                let router = &mut self.routers[request.placer];
                router.on_reported_load(ticket.engine(), told, now);
                router.on_output_started(&ticket, &request.prefixes, now);
            }
            Happening::Ended {
                request,
                ticket,
                in_time,
            } => {
                let router = &mut self.routers[request.placer];
                router.on_output_ended(&ticket, now);
                router.on_answered(&ticket);
                self.result.requests += 1;
                self.result.in_time += usize::from(in_time);
            }
            Happening::Words => self.tell(now),
            Happening::Heard { to, from, work } => {
                let (work, paces) = work;
                let node = NodeId::new(format!("n{from}"));
                self.routers[to].on_peer_load(&node, PeerLoadSlice::ALL, &work, now);
                self.routers[to].on_pace_reports(&paces, now);
            }
        }
    }

    fn arrive(&mut self, now: MonotonicTime) {
        let gap = -self.rng.part().max(1e-9).ln() / self.world.rate;
        self.later(now + Duration::from_secs_f64(gap), Happening::Arrives);
        let draw = self.rng.next();
        let prompt = PromptShape {
            model: "m".to_owned(),
            parts: vec![PromptPart {
                name: draw,
                tokens: PROMPT_TOKENS,
            }],
            tokens: PROMPT_TOKENS,
            output_tokens: OUTPUT_TOKENS,
            output_estimate: None,
        };
        let request = Request {
            placer: draw as usize % self.world.placers,
            prefixes: prompt.prefixes(),
            prompt,
            began: now,
            draw,
        };
        let router = &mut self.routers[request.placer];
        let zone = ZoneId::new("zone-a");
        let pool = pool();
        let query = request.query(&pool, &zone);
        let PoolRoute::Split { prefill, decode } = router.choose(&query, now) else {
            panic!("no engines chosen");
        };
        let ticket = router.on_prompt_sent(&prefill.id, &query, now);
        let read_at = self.engine(&prefill.id).read(PROMPT_TOKENS, now);
        let decode = decode.id;
        self.later(
            read_at,
            Happening::PromptRead {
                request,
                ticket,
                decode,
            },
        );
    }

    fn prompt_read(&mut self, request: Request, ticket: &PoolTicket, decode: &EngineId, now: MonotonicTime) {
        let told = self.told(ticket.engine(), now);
        let zone = ZoneId::new("zone-a");
        let pool = pool();
        let router = &mut self.routers[request.placer];
        router.on_reported_load(ticket.engine(), told, now);
        router.on_prompt_prefilled(ticket, &request.prefixes, now);
        let query = request.query(&pool, &zone);
        let chosen = router.choose_output(&query, ticket.engine(), now);
        let decode = chosen.map_or_else(|| decode.clone(), |engine| engine.id);
        let ticket = router.on_output_sent(&decode, &query, KvCacheSource::Transfer, now);
        *self.outputs.entry(decode.clone()).or_default() += 1;
        let (first, end, longest) = self.engine(&decode).run(OUTPUT_TOKENS, now);
        let in_time = first.since(request.began) <= TARGET && longest <= LONGEST_PAUSE;
        let begun = Happening::Begun {
            request: request.clone(),
            ticket: ticket.clone(),
        };
        self.later(first, begun);
        self.later(
            end,
            Happening::Ended {
                request,
                ticket,
                in_time,
            },
        );
    }

    fn engine(&mut self, id: &EngineId) -> &mut SimulatedEngine {
        self.engines.get_mut(id).expect("a known engine")
    }

    fn told(&mut self, id: &EngineId, now: MonotonicTime) -> ReportedLoad {
        let nonsense = self.world.nonsense;
        let figure = (self.engine(id).momentary(now) * 100.0) as u32;
        ReportedLoad {
            work_time_percent: Some(nonsense.unwrap_or(figure)),
            ..ReportedLoad::default()
        }
    }

    fn tell(&mut self, now: MonotonicTime) {
        self.later(now + Duration::from_millis(WORD_EVERY), Happening::Words);
        for from in 0..self.routers.len() {
            let work = self.routers[from].own_load();
            let paces = self.routers[from].take_pace_reports(8, 2, now);
            self.pace_bytes += 15 * paces.figures.len() + 13 * paces.lasting.len() + 2;
            for to in (0..self.routers.len()).filter(|to| *to != from) {
                if self.rng.part() >= self.world.lost {
                    let work = (work.clone(), paces.clone());
                    self.later(
                        now + Duration::from_millis(WORD_TAKES),
                        Happening::Heard { to, from, work },
                    );
                }
            }
        }
    }

    fn finish(mut self, now: MonotonicTime) -> Result {
        let most = self.outputs.values().max().copied().unwrap_or_default();
        let total: usize = self.outputs.values().sum();
        self.result.busiest = most as f64 * self.world.engines.1 as f64 / total as f64;
        let seconds = (self.world.seconds * self.world.placers as u64) as f64;
        self.result.pace_bytes = self.pace_bytes as f64 / seconds;
        let router = &self.routers[0];
        let logs: Vec<f64> = router
            .engines()
            .filter(|state| state.pace().lasting.weight() >= 8.0)
            .map(|state| (state.pace().lasting.factor() / self.engines[&state.engine.id].lasting).ln())
            .collect();
        let mean = logs.iter().sum::<f64>() / logs.len().max(1) as f64;
        let worst = logs.iter().map(|log| (log - mean).abs()).fold(0.0, f64::max);
        self.result.lasting_error = worst.exp();
        let spread = router.pace_spread(now);
        self.result.persistence = spread.map_or(0.0, |spread| spread.persistence_seconds);
        self.result
    }
}

impl Request {
    fn query<'q>(
        &'q self,
        pool: &'q shelfjunction_core::forwarding::PoolId,
        zone: &'q ZoneId,
    ) -> PoolQuery<'q> {
        PoolQuery {
            from_this_node: true,
            pool,
            prompt: Some(&self.prompt),
            prefixes: &self.prefixes,
            zone,
            excluded: &[],
            last_resort: false,
            constraints: RequestConstraints::default(),
            rank: 0,
            remaining: Duration::from_secs(5),
            slot_max_wait: Duration::ZERO,
            draw: self.draw,
        }
    }
}
