//! A zone of engines under planned changes, which keep every stream they let in until its last token.
#![allow(clippy::unwrap_used, dead_code)]

use proptest::prelude::*;
use shelfjunction_core::bundle::content::{ModelKind, ModelRule, RoleFloor};
use shelfjunction_core::drain::{
    ChangeCoordinator, ChangeDecision, ChangeLimits, ChangeOutcome, ChangeRequest, EngineView,
};
use shelfjunction_core::engine::{EngineStatus, LoadReport, LoadedWeights, OrderAction, Role};
use shelfjunction_core::identity::{EngineId, FencingToken, ModelId, WeightVersion};
use shelfjunction_core::orders::{EngineGoal, next_action};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

pub const ENGINES: usize = 5;
pub const FLOOR: u32 = 2;
pub const CONCURRENT: usize = 2;
/// Steps between the truth and a load report.
pub const LAG: usize = 3;
/// Steps that a role change or load takes.
pub const CHANGE_STEPS: u32 = 4;
pub const STEP: Duration = Duration::from_millis(100);
pub const EMPTY_WITHIN: Duration = Duration::from_secs(3);
/// Longest stream, in steps; longer than [`EMPTY_WITHIN`], so that some changes must be given up.
pub const LONGEST_STREAM: u32 = 60;

#[derive(Clone, Debug)]
pub struct Stream {
    pub wanted: u32,
    pub given: u32,
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub name: EngineId,
    pub role: Role,
    pub version: u64,
    pub draining: bool,
    pub changing: u32,
    pub leaving: bool,
    pub streams: Vec<Stream>,
    pub in_flight_history: Vec<u32>,
    pub goal: Option<EngineGoal>,
}

impl Engine {
    pub fn new(index: usize) -> Self {
        Self {
            name: EngineId::new(format!("engine-{index}")),
            role: Role::Mixed,
            version: 1,
            draining: false,
            changing: 0,
            leaving: false,
            streams: Vec::new(),
            in_flight_history: vec![0; LAG + 1],
            goal: None,
        }
    }

    pub fn status(&self) -> EngineStatus {
        EngineStatus {
            engine: self.name.clone(),
            incarnation: 1,
            fence: FencingToken(1),
            last_order: None,
            role: self.role,
            draining: self.draining,
            changing: self.changing > 0,
            weights: vec![weights(self.version)],
            load: LoadReport {
                requests_in_flight: self.in_flight_history[self.in_flight_history.len() - 1 - LAG],
                ..LoadReport::default()
            },
        }
    }

    pub fn view(&self) -> EngineView {
        EngineView {
            engine: self.name.clone(),
            kind: ModelKind::Model,
            leaving: self.leaving,
            status: Some(self.status()),
            goal: self.goal.clone(),
        }
    }

    /// Lets a stream in, as a gateway with a stale view may ask; true when it is let in.
    pub fn offer(&mut self, wanted: u32) -> bool {
        let open = !self.draining && self.changing == 0;
        if open {
            self.streams.push(Stream { wanted, given: 0 });
        }
        open
    }

    pub fn run(&mut self) {
        self.changing = self.changing.saturating_sub(1);
        self.streams.iter_mut().for_each(|stream| stream.given += 1);
        self.streams.retain(|stream| stream.given < stream.wanted);
        self.in_flight_history
            .push(u32::try_from(self.streams.len()).unwrap());
    }

    /// Carries an order out; a change while a stream is in flight is refused as busy.
    pub fn order(&mut self, action: &OrderAction) {
        match action {
            OrderAction::RaiseFence => {}
            OrderAction::Drain => self.draining = true,
            OrderAction::Undrain => self.draining = false,
            OrderAction::ChangeRole { .. } | OrderAction::LoadWeights { .. } => {
                assert!(self.draining, "a change of an engine that takes new work");
                if self.streams.is_empty() {
                    self.change(action);
                }
            }
        }
    }

    pub fn change(&mut self, action: &OrderAction) {
        self.changing = CHANGE_STEPS;
        match action {
            OrderAction::ChangeRole { role } => self.role = *role,
            OrderAction::LoadWeights { weights } => self.version = weights.version.0.parse().unwrap(),
            _ => {}
        }
    }
}

pub fn weights(version: u64) -> LoadedWeights {
    LoadedWeights {
        model: ModelId::new("model"),
        version: WeightVersion::new(version.to_string()),
        adapters: Vec::new(),
    }
}

pub fn models() -> Vec<ModelRule> {
    vec![ModelRule {
        model: ModelId::new("model"),
        version: WeightVersion::new("1"),
        kind: ModelKind::Model,
        weight_bytes: 1,
        adapters: Vec::new(),
        floors: vec![RoleFloor {
            role: Role::Mixed,
            engines: FLOOR,
        }],
    }]
}

#[derive(Clone, Debug)]
pub enum Event {
    Offer { engine: usize, wanted: u32 },
    Leave { engine: usize },
    Stay { engine: usize },
    Roll { version: u64 },
    Role { engine: usize, role: Role },
    Nothing,
}

pub fn event() -> impl Strategy<Value = Event> {
    let engine = 0..ENGINES;
    prop_oneof![
        6 => (engine.clone(), 1..LONGEST_STREAM).prop_map(|(engine, wanted)| Event::Offer { engine, wanted }),
        1 => engine.clone().prop_map(|engine| Event::Leave { engine }),
        1 => engine.clone().prop_map(|engine| Event::Stay { engine }),
        1 => (2_u64..9).prop_map(|version| Event::Roll { version }),
        2 => (engine, prop_oneof![Just(Role::Mixed), Just(Role::Prefill), Just(Role::Decode)])
            .prop_map(|(engine, role)| Event::Role { engine, role }),
        4 => Just(Event::Nothing),
    ]
}

pub struct Zone {
    pub engines: Vec<Engine>,
    pub coordinator: ChangeCoordinator,
    pub requests: Vec<ChangeRequest>,
    pub now: MonotonicTime,
    pub begun: usize,
    pub ended: Vec<ChangeOutcome>,
}

impl Zone {
    pub fn new() -> Self {
        Self {
            engines: (0..ENGINES).map(Engine::new).collect(),
            coordinator: ChangeCoordinator::new(ChangeLimits {
                empty_within: EMPTY_WITHIN,
                pause_after_give_up: Duration::from_secs(1),
                concurrent: CONCURRENT,
            }),
            requests: Vec::new(),
            now: MonotonicTime::from_millis(1),
            begun: 0,
            ended: Vec::new(),
        }
    }

    pub fn take(&mut self, event: &Event) {
        match event {
            Event::Offer { engine, wanted } => {
                let engine = &mut self.engines[*engine];
                let drained_for_leaving = engine.leaving && engine.draining;
                let let_in = engine.offer(*wanted);
                assert!(!(drained_for_leaving && let_in), "new work on a leaving engine");
            }
            Event::Leave { engine } => self.engines[*engine].leaving = true,
            Event::Stay { engine } => self.engines[*engine].leaving = false,
            Event::Roll { version } => {
                let names = self.engines.iter().map(|engine| engine.name.clone());
                let request = |engine| ChangeRequest {
                    engine,
                    role: None,
                    weights: Some(vec![weights(*version)]),
                };
                self.requests = names.map(request).collect();
            }
            Event::Role { engine, role } => {
                let engine = self.engines[*engine].name.clone();
                self.requests.push(ChangeRequest {
                    engine,
                    role: Some(*role),
                    weights: None,
                });
            }
            Event::Nothing => {}
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        let in_service_before = self.in_service();
        let views: Vec<EngineView> = self.engines.iter().map(Engine::view).collect();
        for decision in self.coordinator.step(&views, &self.requests, &models(), self.now) {
            self.follow(decision);
        }
        assert!(
            self.coordinator.changing().count() <= CONCURRENT,
            "too many changes at once"
        );
        self.order_engines();
        let in_service = self.in_service();
        assert!(
            in_service >= FLOOR as usize || in_service >= in_service_before || self.anyone_left_unplanned(),
            "a planned change broke the floor: {in_service_before} to {in_service}"
        );
        self.engines.iter_mut().for_each(Engine::run);
    }

    pub fn follow(&mut self, decision: ChangeDecision) {
        match decision {
            ChangeDecision::SetGoal { engine, goal } => {
                let engine = self
                    .engines
                    .iter_mut()
                    .find(|known| known.name == engine)
                    .unwrap();
                assert!(
                    !engine.leaving || goal.draining,
                    "a leaving engine is wanted in service"
                );
                engine.goal = Some(goal);
            }
            ChangeDecision::Began { engine, .. } => {
                self.begun += 1;
                self.requests.retain(|request| request.engine != engine);
            }
            ChangeDecision::Ended { outcome, .. } => self.ended.push(outcome),
            ChangeDecision::Blocked(_) => {}
        }
    }

    pub fn order_engines(&mut self) {
        for engine in &mut self.engines {
            let goal = engine.goal.clone();
            let action = goal.and_then(|goal| next_action(&engine.status(), &goal));
            if let Some(action) = action {
                engine.order(&action);
            }
        }
    }

    /// Engines that count for the floor and take new work.
    pub fn in_service(&self) -> usize {
        let serves = |engine: &&Engine| {
            engine.role == Role::Mixed && !engine.draining && engine.changing == 0 && !engine.leaving
        };
        self.engines.iter().filter(serves).count()
    }

    /// Whether the platform's leaving list, which asks nobody, explains a floor that does not hold.
    pub fn anyone_left_unplanned(&self) -> bool {
        self.engines.iter().any(|engine| engine.leaving)
    }
}
