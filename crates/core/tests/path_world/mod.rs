//! A large fleet in virtual time: placers with their tables and routers, nodes that ask them and wait as they do, and
//! engines in four zones of which some can't be reached for a while.

use crate::pool_support::{engine_with, pool, router_with};
use shelfjunction_core::forwarding::max_wait;
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::membership::subject::{SubjectHandle, mix};
use shelfjunction_core::placing::placement_table::PlacementTable;
use shelfjunction_core::placing::question::{
    DispatchProgress, Placement, PlacementKind, PlacementQuery, ProgressReport, RequestKey, RequestSummary,
};
use shelfjunction_core::routing::pool::{
    EngineStage, PoolAdmission, PoolEngine, PoolRouter, PoolWeights, PromptPart, PromptShape,
    RequestConstraints,
};
use shelfjunction_core::time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

/// Time until an engine has answered, in milliseconds.
const ANSWER_MILLIS: u64 = 40;

/// Time until other placers have a word, in milliseconds: up to 20 until it leaves and 2 on the way.
const WORD_MILLIS: u64 = 22;

/// Engines that one request may try.
const MOST_TRIES: u32 = 4;

/// What goes wrong.
pub enum Outage {
    /// Nothing passes between a zone and the others; times in milliseconds.
    ZoneCut { zone: ZoneId, from: u64, until: u64 },
    /// Each engine whose number divides by `every` answers nobody.
    Dark { every: u64, from: u64, until: u64 },
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When it was asked, in milliseconds.
    pub asked_at: u64,
    /// Engines that it waited for in vain.
    pub silences: u32,
    /// Engines that took it.
    pub handed_over: u32,
    /// Whether it may run on one engine only.
    pub single_try: bool,
    /// Zone of the node that was asked.
    pub from: ZoneId,
    /// Zone of the engine that was tried last.
    pub zone: ZoneId,
}

struct Placer {
    table: PlacementTable,
    router: PoolRouter,
    path_changes: usize,
}

/// A request under way.
struct Request {
    outcome: Outcome,
    key: RequestKey,
    step: u32,
    placer: usize,
    tried: Vec<SubjectHandle>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Ask,
    Silent,
    Answered,
    /// Placers hear what others told.
    Hear,
}

/// The fleet.
pub struct Fleet {
    nodes: u32,
    engines: BTreeMap<SubjectHandle, (u64, PoolEngine)>,
    placers: Vec<Placer>,
    /// Whether placers are told that an engine was silent, or only that its connection broke.
    pub tells_silence: bool,
    /// Whether placers tell each other of it.
    pub shares_silence: bool,
}

impl Fleet {
    /// Nodes and engines are spread evenly over four zones, and so are the placers.
    pub fn new(nodes: u32, engines: u32, placers: usize) -> Self {
        let engines: Vec<PoolEngine> = (0..engines)
            .map(|number| PoolEngine {
                zone: ZoneId::new(ZONES[number as usize % ZONES.len()]),
                ..engine_with(&format!("e{number}"), EngineStage::Decode, 64)
            })
            .collect();
        let placer = |_| Placer {
            table: PlacementTable::default(),
            router: router_with(PoolWeights::default(), 64, Some(1e-6), &engines),
            path_changes: 0,
        };
        Self {
            nodes,
            tells_silence: true,
            shares_silence: true,
            placers: (0..placers).map(placer).collect(),
            engines: engines
                .iter()
                .enumerate()
                .map(|(number, engine)| {
                    let handle = SubjectHandle::of_engine(&engine.id);
                    (handle, (number as u64, engine.clone()))
                })
                .collect(),
        }
    }

    /// Changes of belief about paths at all placers.
    pub fn path_changes(&self) -> usize {
        self.placers.iter().map(|placer| placer.path_changes).sum()
    }

    /// Plays so many requests a second for so many milliseconds.
    pub fn play(&mut self, per_second: u32, millis: u64, outage: &Outage) -> Vec<Outcome> {
        let mut events = BinaryHeap::new();
        let mut requests: Vec<Request> = (0..millis * u64::from(per_second) / 1_000)
            .map(|number| self.request(number, number * 1_000 / u64::from(per_second)))
            .collect();
        for (index, request) in requests.iter().enumerate() {
            events.push(Reverse((request.outcome.asked_at, index, Step::Ask)));
        }
        while let Some(Reverse((at, index, step))) = events.pop() {
            if step == Step::Hear {
                self.hear(at, outage);
                continue;
            }
            if step == Step::Silent && self.shares_silence {
                events.push(Reverse((at + WORD_MILLIS, index, Step::Hear)));
            }
            if let Some((next_at, next)) = self.advance(&mut requests[index], step, at, outage) {
                events.push(Reverse((next_at, index, next)));
            }
        }
        requests.into_iter().map(|request| request.outcome).collect()
    }

    fn request(&self, number: u64, asked_at: u64) -> Request {
        let node = (mix(number) % u64::from(self.nodes)) as usize;
        let from = ZoneId::new(ZONES[node % ZONES.len()]);
        // The placers of a zone are those whose number has the same remainder; a node that is cut off reaches no other.
        let placers = self.placers.len() / ZONES.len();
        let placer = node % ZONES.len() + ZONES.len() * (mix(number + 1) as usize % placers);
        let key = RequestKey {
            node: SubjectHandle::of_number(node as u64),
            number: mix(number + 2),
        };
        Request {
            outcome: Outcome {
                asked_at,
                silences: 0,
                handed_over: 0,
                single_try: number.is_multiple_of(4),
                zone: from.clone(),
                from,
            },
            key,
            step: 0,
            placer,
            tried: Vec::new(),
        }
    }

    fn advance(
        &mut self,
        request: &mut Request,
        step: Step,
        at: u64,
        outage: &Outage,
    ) -> Option<(u64, Step)> {
        match step {
            Step::Ask => self.ask(request, at, outage),
            Step::Silent => {
                request.outcome.silences += 1;
                let progress = if self.tells_silence {
                    DispatchProgress::Unresponsive
                } else {
                    DispatchProgress::ConnectionFailed
                };
                self.report(request, progress, at);
                (request.step < MOST_TRIES).then_some((at, Step::Ask))
            }
            Step::Answered => {
                request.outcome.handed_over += 1;
                self.report(request, DispatchProgress::Started { reported_load: None }, at);
                self.report(request, DispatchProgress::Answered { pauses: Vec::new() }, at);
                None
            }
            Step::Hear => None,
        }
    }

    /// Asks the placer and sends the request to the engine that it names, by a new connection.
    fn ask(&mut self, request: &mut Request, at: u64, outage: &Outage) -> Option<(u64, Step)> {
        request.step += 1;
        let question = PlacementQuery {
            key: request.key,
            step: request.step,
            request: RequestSummary {
                pool: pool(),
                prompt: prompt(request.key.number),
                zone: request.outcome.from.clone(),
                constraints: RequestConstraints {
                    single_try: request.outcome.single_try,
                    ..RequestConstraints::default()
                },
                rank: 1,
                remaining: Duration::from_secs(8),
            },
            kind: PlacementKind::Retry {
                excluded: request.tried.clone(),
            },
        };
        let placer = &mut self.placers[request.placer];
        let now = MonotonicTime::from_millis(at);
        let settings = PoolAdmission::default();
        let answer = placer.table.answer(&mut placer.router, &question, &settings, now);
        let Some(Placement::One(chosen)) = answer.map(|answer| answer.placement) else {
            return None;
        };
        request.tried.push(chosen.engine);
        let (number, engine) = &self.engines[&chosen.engine];
        request.outcome.zone = engine.zone.clone();
        if outage.reaches(&request.outcome.from, &engine.zone, *number, at) {
            Some((at + ANSWER_MILLIS, Step::Answered))
        } else {
            Some((at + max_wait::CONNECT.as_millis() as u64, Step::Silent))
        }
    }

    /// Hands what each placer has to tell to those that it reaches.
    fn hear(&mut self, at: u64, outage: &Outage) {
        let now = MonotonicTime::from_millis(at);
        for teller in 0..self.placers.len() {
            let words = self.placers[teller].router.take_silence_reports(usize::MAX, now);
            let from = ZoneId::new(ZONES[teller % ZONES.len()]);
            for (hearer, placer) in self.placers.iter_mut().enumerate() {
                let to = ZoneId::new(ZONES[hearer % ZONES.len()]);
                if hearer != teller && outage.reaches(&from, &to, 1, at) {
                    placer.router.on_peer_silence_reports(&words, true, now);
                    placer.path_changes += placer.router.take_path_changes().len();
                }
            }
        }
    }

    fn report(&mut self, request: &Request, progress: DispatchProgress, at: u64) {
        let placer = &mut self.placers[request.placer];
        let report = ProgressReport {
            key: request.key,
            step: request.step,
            progress,
        };
        let now = MonotonicTime::from_millis(at);
        placer.table.on_progress(&mut placer.router, &report, now);
        placer.path_changes += placer.router.take_path_changes().len();
    }
}

impl Outage {
    fn reaches(&self, from: &ZoneId, to: &ZoneId, engine: u64, at: u64) -> bool {
        match self {
            Self::ZoneCut {
                zone,
                from: begin,
                until,
            } => !(*begin..*until).contains(&at) || from == to || (from != zone && to != zone),
            Self::Dark {
                every,
                from: begin,
                until,
            } => !(*begin..*until).contains(&at) || !engine.is_multiple_of(*every),
        }
    }
}

fn prompt(name: u64) -> PromptShape {
    PromptShape {
        model: "m".to_owned(),
        parts: vec![PromptPart { name, tokens: 800 }],
        tokens: 800,
        output_tokens: 100,
        output_estimate: None,
    }
}
