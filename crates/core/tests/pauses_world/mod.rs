//! Streams on engines with prompts read beside them, in virtual time: several nodes choose with a router each and hear
//! of each other's work every 100 ms.
//!
//! Every engine works in steps. A step of one that runs outputs takes a fixed time, and a piece of a prompt on top
//! where one is to be read; after a number of steps each output gives an event. All of it times the engine's factor.

mod parts;

pub use parts::{Setup, Streams};

use super::pool_support::{engine_with, pool, router_with};
use parts::{Engine, Request};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shelfjunction_core::identity::{EngineId, NodeId, ZoneId};
use shelfjunction_core::routing::pool::{
    EngineStage, KvCacheSource, PeerLoadSlice, PoolQuery, PoolRoute, PoolRouter, PromptPart, PromptShape,
    RequestConstraints,
};
use shelfjunction_core::time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const STEP_MICROS: f64 = 3_400.0;
const STEPS_PER_EVENT: u32 = 14;
const PIECE_TOKENS: f64 = 1_024.0;
const OUTPUT_ENGINE_TOKENS_PER_MICRO: f64 = 0.030;
const READING_ENGINE_TOKENS_PER_MICRO: f64 = 0.060;
const HAND_OVER_MICROS: u64 = 8_000;
const TELLING_MICROS: u64 = 100_000;
/// Time for which an engine's machine stays busy or free.
const BUSY_MICROS: u64 = 600_000;
/// Factor by which work takes longer at an engine whose machine is busy with others' work.
const BUSY_FACTOR: f64 = 2.5;
const SWING: f64 = 0.5;
const SWING_SECONDS: f64 = 10.0;
/// One pause in so many is told to the router, as nodes do.
const PAUSES_TOLD: u32 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    HandedOver(usize, usize),
    StepDone(usize),
    Told,
    MachinesChange,
}

struct World {
    setup: Setup,
    random: StdRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    numbers: u64,
    routers: Vec<PoolRouter>,
    names: Vec<EngineId>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    streams: Streams,
}

/// Plays a run to its end.
pub fn play(setup: Setup) -> Streams {
    let mut world = World::new(setup);
    world.at(0, Happening::Arrival);
    world.at(0, Happening::Told);
    world.at(0, Happening::MachinesChange);
    while let Some(Reverse((at, _, happening))) = world.queue.pop() {
        world.now = at;
        world.take(happening);
    }
    world.streams
}

impl World {
    fn new(setup: Setup) -> Self {
        let reading = (0..setup.reading_engines.len())
            .map(|index| engine_with(&format!("p{index}"), EngineStage::Prefill, 64));
        let outputs = (0..setup.output_engines.len())
            .map(|index| engine_with(&format!("d{index}"), EngineStage::Decode, 64));
        let listed: Vec<_> = reading.chain(outputs).collect();
        let reading = setup.reading_engines.iter().map(|factor| Engine {
            factor: *factor,
            reads_only: true,
            ..Engine::default()
        });
        let mut engines: Vec<Engine> = reading.collect();
        engines.extend(setup.output_engines.iter().map(|factor| Engine {
            factor: *factor,
            ..Engine::default()
        }));
        Self {
            random: StdRng::seed_from_u64(setup.seed),
            now: 0,
            queue: BinaryHeap::new(),
            numbers: 0,
            routers: vec![router_with(setup.weights.clone(), 64, Some(1e-7), &listed); setup.nodes],
            names: listed.iter().map(|engine| engine.id.clone()).collect(),
            engines,
            requests: Vec::new(),
            streams: Streams::default(),
            setup,
        }
    }

    fn at(&mut self, micros: u64, happening: Happening) {
        self.numbers += 1;
        self.queue.push(Reverse((micros, self.numbers, happening)));
    }

    fn time(&self) -> MonotonicTime {
        MonotonicTime::from_millis(10_000) + Duration::from_micros(self.now)
    }

    fn take(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival => self.arrive(),
            Happening::HandedOver(request, engine) => {
                self.engines[engine].outputs.push(request);
                self.work(engine);
            }
            Happening::StepDone(engine) => self.step_done(engine),
            Happening::Told => self.tell(),
            Happening::MachinesChange => self.machines_change(),
        }
    }

    fn ends_at(&self) -> u64 {
        self.setup.seconds * 1_000_000
    }

    fn tell(&mut self) {
        let now = self.time();
        for from in 0..self.routers.len() {
            let works = self.routers[from].own_load();
            let name = NodeId::new(format!("node-{from}"));
            for to in (0..self.routers.len()).filter(|to| *to != from) {
                self.routers[to].on_peer_load(&name, PeerLoadSlice::ALL, &works, now);
            }
        }
        if self.now < self.ends_at() {
            self.at(self.now + TELLING_MICROS, Happening::Told);
        }
    }

    fn machines_change(&mut self) {
        for engine in &mut self.engines {
            engine.busy = self.random.random::<f64>() < self.setup.busy_share;
        }
        if self.now < self.ends_at() {
            self.at(self.now + BUSY_MICROS, Happening::MachinesChange);
        }
    }

    /// Requests a second now.
    fn rate(&self) -> f64 {
        let turn = self.now as f64 / 1e6 / SWING_SECONDS * std::f64::consts::TAU;
        self.setup.requests_per_second * (1.0 + SWING * turn.sin())
    }

    /// Prompts of three sizes, as callers mix short ones that wait little with long ones.
    fn arrive(&mut self) {
        let (tokens, events) = match self.random.random_range(0..10_u32) {
            0..5 => (1_100, 12),
            5..8 => (3_000, 4),
            _ => (4_000 + self.random.random_range(0..12_000_u32), 9),
        };
        let request = Request {
            node: self.random.random_range(0..self.setup.nodes),
            prompt: PromptShape {
                model: "m".to_owned(),
                parts: vec![PromptPart {
                    name: self.requests.len() as u64 + 1,
                    tokens,
                }],
                tokens,
                output_tokens: events * STEPS_PER_EVENT,
                output_estimate: None,
            },
            arrived: self.now,
            ticket: None,
            prefill: None,
            events_left: events,
            steps: 0,
            events: 0,
            last_event: None,
            first_late: false,
            pause_late: false,
        };
        self.requests.push(request);
        self.place(self.requests.len() - 1);
        let mean = 1_000_000.0 / self.rate();
        let gap = -mean * (1.0 - self.random.random::<f64>()).ln();
        let next = self.now + gap as u64;
        if next < self.ends_at() {
            self.at(next, Happening::Arrival);
        }
    }

    fn index_of(&self, engine: &EngineId) -> usize {
        self.names.iter().position(|name| name == engine).unwrap()
    }

    /// Asks a request's router; the query is rebuilt for each call, since the router is borrowed too.
    fn ask<T>(
        &mut self,
        request: usize,
        ask: impl FnOnce(&mut PoolRouter, &PoolQuery<'_>, MonotonicTime) -> T,
    ) -> T {
        let now = self.time();
        let asked = &self.requests[request];
        let prefixes = asked.prompt.prefixes();
        let query = PoolQuery {
            from_this_node: true,
            pool: &pool(),
            prompt: Some(&asked.prompt),
            prefixes: &prefixes,
            zone: &ZoneId::new("zone-a"),
            excluded: &[],
            last_resort: false,
            constraints: RequestConstraints {
                max_event_gap: self.setup.bound,
                ..RequestConstraints::default()
            },
            draw: (request as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15),
            rank: 1,
            remaining: Duration::from_secs(5),
            slot_max_wait: Duration::ZERO,
        };
        ask(&mut self.routers[asked.node], &query, now)
    }

    fn place(&mut self, request: usize) {
        let route = self.ask(request, |router, query, now| router.choose(query, now));
        let (engine, is_prompt) = match route {
            PoolRoute::Whole(engine) => (engine.id, false),
            PoolRoute::Split { prefill, .. } => (prefill.id, true),
            PoolRoute::Nowhere => {
                self.streams.nowhere += 1;
                return;
            }
        };
        self.streams.choices.push(engine.to_string());
        let ticket = self.ask(request, |router, query, now| {
            if is_prompt {
                router.on_prompt_sent(&engine, query, now)
            } else {
                router.on_output_sent(&engine, query, KvCacheSource::Prefill, now)
            }
        });
        let tokens = f64::from(self.requests[request].prompt.tokens);
        self.requests[request].ticket = Some(ticket);
        self.requests[request].prefill = is_prompt.then(|| engine.clone());
        let index = self.index_of(&engine);
        self.engines[index].prompts.push_back((request, tokens));
        self.work(index);
    }

    /// Begins a step where there is something to do and none is under way.
    fn work(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.working || (engine.prompts.is_empty() && engine.outputs.is_empty()) {
            return;
        }
        engine.working = true;
        let left = engine.prompts.front().map_or(0.0, |(_, tokens)| *tokens);
        let (tokens, speed, step) = if engine.reads_only {
            (left, READING_ENGINE_TOKENS_PER_MICRO, 0.0)
        } else {
            (
                left.min(PIECE_TOKENS),
                OUTPUT_ENGINE_TOKENS_PER_MICRO,
                STEP_MICROS,
            )
        };
        let busy = if engine.busy { BUSY_FACTOR } else { 1.0 };
        let took = engine.factor * busy * (step + tokens / speed);
        if let Some((_, left)) = engine.prompts.front_mut() {
            *left -= tokens;
        }
        self.at(self.now + took.ceil() as u64, Happening::StepDone(index));
    }

    fn step_done(&mut self, index: usize) {
        self.engines[index].working = false;
        for request in self.engines[index].outputs.clone() {
            self.output_step(request, index);
        }
        let read = self.engines[index].prompts.pop_front_if(|(_, left)| *left <= 0.0);
        if let Some((request, _)) = read {
            self.prompt_read(request, index);
        }
        self.work(index);
    }

    fn prompt_read(&mut self, request: usize, index: usize) {
        if !self.engines[index].reads_only {
            self.engines[index].outputs.push(request);
            return;
        }
        let (Some(ticket), Some(source)) = (
            self.requests[request].ticket.take(),
            self.requests[request].prefill.clone(),
        ) else {
            return;
        };
        let engine = self.ask(request, |router, query, now| {
            router.on_prompt_prefilled(&ticket, query.prefixes, now);
            router.choose_output(query, &source, now)
        });
        let engine = engine.unwrap().id;
        let ticket = self.ask(request, |router, query, now| {
            router.on_output_sent(&engine, query, KvCacheSource::Transfer, now)
        });
        self.streams.choices.push(engine.to_string());
        self.requests[request].ticket = Some(ticket);
        let index = self.index_of(&engine);
        self.at(self.now + HAND_OVER_MICROS, Happening::HandedOver(request, index));
    }

    /// One step of an output: its first event comes at once, each further one after some steps.
    fn output_step(&mut self, number: usize, index: usize) {
        let now = self.now;
        let request = &mut self.requests[number];
        request.steps += 1;
        let gives_event = request.last_event.is_none() || request.steps >= STEPS_PER_EVENT;
        if !gives_event {
            return;
        }
        request.steps = 0;
        request.events += 1;
        request.events_left -= 1;
        let before = request.last_event.replace(now);
        let ended = request.events_left == 0;
        let told = request.events.is_multiple_of(PAUSES_TOLD);
        let within = self.setup.first_event_within;
        match before {
            None => {
                request.first_late = Duration::from_micros(now - request.arrived) > within;
                self.on_first_event(number);
            }
            Some(before) => self.on_pause(number, Duration::from_micros(now - before), told),
        }
        if ended {
            self.on_ended(number, index);
        }
    }

    fn on_first_event(&mut self, number: usize) {
        let Some(ticket) = self.requests[number].ticket.clone() else {
            return;
        };
        self.ask(number, |router, query, now| {
            router.on_output_started(&ticket, query.prefixes, now);
        });
    }

    fn on_pause(&mut self, number: usize, pause: Duration, told: bool) {
        let Some(bound) = self.setup.bound else {
            return;
        };
        if pause > bound && !std::mem::replace(&mut self.requests[number].pause_late, true) {
            let ticket = self.requests[number].ticket.clone().unwrap();
            self.ask(number, |router, _, _| router.on_event_gap_exceeded(&ticket));
        }
        if let Some(ticket) = self.requests[number].ticket.clone().filter(|_| told) {
            let part = pause.as_secs_f64() / bound.as_secs_f64();
            self.ask(number, |router, _, now| router.on_pause(&ticket, part, now));
        }
    }

    fn on_ended(&mut self, number: usize, index: usize) {
        self.engines[index].outputs.retain(|running| *running != number);
        if let Some(ticket) = self.requests[number].ticket.take() {
            self.ask(number, |router, _, _| router.on_answered(&ticket));
        }
        let request = &self.requests[number];
        self.streams.ended += 1;
        self.streams.late_by_pause += u32::from(request.pause_late);
        self.streams.late_by_first_event += u32::from(request.first_late);
        self.streams.late_by_either += u32::from(request.pause_late || request.first_late);
    }
}
