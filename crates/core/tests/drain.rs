//! Planned changes under random load: no stream is cut, floors and bounds hold, a leaving engine gets nothing new,
//! and a change whose engine can't run empty is given up.
//!
//! The engines here are the oracle's own: they keep every stream they let in until its last token, and their load
//! reports lag behind the truth.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use shelfjunction_core::bundle::content::{ModelKind, ModelRule, RoleFloor};
use shelfjunction_core::drain::{
    ChangeCoordinator, ChangeDecision, ChangeLimits, ChangeOutcome, ChangeRequest, EngineView, WeightQueues,
    roll_requests,
};
use shelfjunction_core::engine::{EngineStatus, LoadReport, LoadedWeights, OrderAction, Role};
use shelfjunction_core::identity::{EngineId, FencingToken, ModelId, WeightVersion};
use shelfjunction_core::orders::{EngineGoal, next_action};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const ENGINES: usize = 5;
const FLOOR: u32 = 2;
const CONCURRENT: usize = 2;
/// Steps between the truth and a load report.
const LAG: usize = 3;
/// Steps that a role change or load takes.
const CHANGE_STEPS: u32 = 4;
const STEP: Duration = Duration::from_millis(100);
const EMPTY_WITHIN: Duration = Duration::from_secs(3);
/// Longest stream, in steps; longer than [`EMPTY_WITHIN`], so that some changes must be given up.
const LONGEST_STREAM: u32 = 60;

#[derive(Clone, Debug)]
struct Stream {
    wanted: u32,
    given: u32,
}

#[derive(Clone, Debug)]
struct Engine {
    name: EngineId,
    role: Role,
    version: u64,
    draining: bool,
    changing: u32,
    leaving: bool,
    streams: Vec<Stream>,
    in_flight_history: Vec<u32>,
    goal: Option<EngineGoal>,
}

impl Engine {
    fn new(index: usize) -> Self {
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

    fn status(&self) -> EngineStatus {
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

    fn view(&self) -> EngineView {
        EngineView {
            engine: self.name.clone(),
            kind: ModelKind::Model,
            leaving: self.leaving,
            status: Some(self.status()),
            goal: self.goal.clone(),
        }
    }

    /// Lets a stream in, as a gateway with a stale view may ask; true when it is let in.
    fn offer(&mut self, wanted: u32) -> bool {
        let open = !self.draining && self.changing == 0;
        if open {
            self.streams.push(Stream { wanted, given: 0 });
        }
        open
    }

    fn run(&mut self) {
        self.changing = self.changing.saturating_sub(1);
        self.streams.iter_mut().for_each(|stream| stream.given += 1);
        self.streams.retain(|stream| stream.given < stream.wanted);
        self.in_flight_history
            .push(u32::try_from(self.streams.len()).unwrap());
    }

    /// Carries an order out; a change while a stream is in flight is refused as busy.
    fn order(&mut self, action: &OrderAction) {
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

    fn change(&mut self, action: &OrderAction) {
        self.changing = CHANGE_STEPS;
        match action {
            OrderAction::ChangeRole { role } => self.role = *role,
            OrderAction::LoadWeights { weights } => self.version = weights.version.0.parse().unwrap(),
            _ => {}
        }
    }
}

fn weights(version: u64) -> LoadedWeights {
    LoadedWeights {
        model: ModelId::new("model"),
        version: WeightVersion::new(version.to_string()),
        adapters: Vec::new(),
    }
}

fn models() -> Vec<ModelRule> {
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
enum Event {
    Offer { engine: usize, wanted: u32 },
    Leave { engine: usize },
    Stay { engine: usize },
    Roll { version: u64 },
    Role { engine: usize, role: Role },
    Nothing,
}

fn event() -> impl Strategy<Value = Event> {
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

struct Zone {
    engines: Vec<Engine>,
    coordinator: ChangeCoordinator,
    requests: Vec<ChangeRequest>,
    now: MonotonicTime,
    begun: usize,
    ended: Vec<ChangeOutcome>,
}

impl Zone {
    fn new() -> Self {
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

    fn take(&mut self, event: &Event) {
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

    fn step(&mut self) {
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

    fn follow(&mut self, decision: ChangeDecision) {
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

    fn order_engines(&mut self) {
        for engine in &mut self.engines {
            let goal = engine.goal.clone();
            let action = goal.and_then(|goal| next_action(&engine.status(), &goal));
            if let Some(action) = action {
                engine.order(&action);
            }
        }
    }

    /// Engines that count for the floor and take new work.
    fn in_service(&self) -> usize {
        let serves = |engine: &&Engine| {
            engine.role == Role::Mixed && !engine.draining && engine.changing == 0 && !engine.leaving
        };
        self.engines.iter().filter(serves).count()
    }

    /// Whether the platform's leaving list, which asks nobody, explains a floor that does not hold.
    fn anyone_left_unplanned(&self) -> bool {
        self.engines.iter().any(|engine| engine.leaving)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn planned_changes_cut_nothing_and_end(events in proptest::collection::vec(event(), 1..300)) {
        let mut zone = Zone::new();
        for event in &events {
            zone.take(event);
            zone.step();
        }
        // Without new work and requests, every change ends and every engine that stays serves again.
        zone.requests.clear();
        for _ in 0..200 {
            zone.step();
        }
        prop_assert_eq!(zone.coordinator.changing().count(), 0);
        for engine in &zone.engines {
            prop_assert_eq!(engine.draining, engine.leaving, "{:?}", engine);
            prop_assert!(engine.streams.is_empty());
        }
    }
}

#[test]
fn a_change_that_never_runs_empty_is_given_up_and_the_engine_serves_again() {
    let mut zone = Zone::new();
    zone.take(&Event::Offer {
        engine: 0,
        wanted: u32::MAX,
    });
    for _ in 0..=LAG {
        zone.step();
    }
    zone.take(&Event::Role {
        engine: 0,
        role: Role::Prefill,
    });
    for _ in 0..40 {
        zone.step();
    }
    assert_eq!(
        (zone.begun, zone.ended.as_slice()),
        (1, [ChangeOutcome::GivenUp].as_slice())
    );
    assert!(!zone.engines[0].draining);
    assert_eq!(zone.engines[0].streams.len(), 1);
}

#[test]
fn a_change_that_the_engine_rejects_is_given_up_at_once() {
    let mut zone = Zone::new();
    zone.take(&Event::Offer {
        engine: 0,
        wanted: 20,
    });
    zone.take(&Event::Role {
        engine: 0,
        role: Role::Prefill,
    });
    zone.step();
    let engine = zone.engines[0].name.clone();
    zone.coordinator.on_rejected(&engine);
    for _ in 0..3 {
        zone.step();
    }
    assert_eq!(
        (zone.begun, zone.ended.as_slice()),
        (1, [ChangeOutcome::GivenUp].as_slice())
    );
    assert!(!zone.engines[0].draining);
}

#[test]
fn a_new_version_is_asked_of_model_engines_only() {
    let mut models = models();
    models[0].version = WeightVersion::new("2");
    let mut queues = WeightQueues::new(0);
    queues.note(ModelId::new("model"), WeightVersion::new("2"), 0);
    let mut views = vec![Engine::new(0).view(), Engine::new(1).view()];
    views[0].kind = ModelKind::Application;
    let asked: Vec<EngineId> = roll_requests(&views, &models, &queues)
        .into_iter()
        .map(|request| request.engine)
        .collect();
    assert_eq!(asked, [views[1].engine.clone()]);
}

#[test]
fn a_load_waits_for_the_weight_stores_queue() {
    let mut models = models();
    models[0].version = WeightVersion::new("2");
    let views = [Engine::new(0).view()];
    let asked = |queue: Option<u64>| {
        let mut queues = WeightQueues::new(500);
        if let Some(millis) = queue {
            queues.note(ModelId::new("model"), WeightVersion::new("2"), millis);
        }
        roll_requests(&views, &models, &queues).len()
    };
    assert_eq!([asked(None), asked(Some(501)), asked(Some(500))], [0, 0, 1]);
}

#[test]
fn a_goal_that_an_earlier_holder_committed_is_carried_on() {
    let mut zone = Zone::new();
    zone.engines[0].draining = true;
    zone.engines[0].goal = Some(EngineGoal {
        role: Role::Prefill,
        weights: vec![weights(1)],
        draining: false,
    });
    for _ in 0..20 {
        zone.step();
    }
    assert_eq!(zone.ended, [ChangeOutcome::Completed]);
    assert_eq!(
        (zone.engines[0].role, zone.engines[0].draining),
        (Role::Prefill, false)
    );
}
