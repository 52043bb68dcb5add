//! Demand that a gateway reports reaches the planner, and an engine changes role through drain, change and undrain;
//! a change whose holder freezes in the middle is finished by the next holder.
#![allow(clippy::unwrap_used)]

mod support;

use shelfjunction_controller::peer::client;
use shelfjunction_controller::{Controller, ControllerConfig, ControllerHandle, Services};
use shelfjunction_core::bundle::content::Bundle;
use shelfjunction_core::demand::{DemandEntry, DemandReport};
use shelfjunction_core::engine::{LoadedWeights, OrderAction, OrderReply, Role};
use shelfjunction_core::identity::{EngineId, FencingToken};
use shelfjunction_core::lease::LeaseTimings;
use shelfjunction_core::machine::{Machine, MachineState};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::publish::publish_first;
use shelfjunction_lab::platform::{PlatformConfig, PlatformHandle, PlatformServer};
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::gate::{Gate, GatedEngines, GatedTable};
use support::{Engines, ToldOrder, config, engine_machine, engine_status};

/// Far above any wait of a test that passes; only a failing test meets it.
const STUCK: Duration = Duration::from_secs(30);

/// Engines of the zone, all mixed at first.
const ENGINES: [&str; 6] = [
    "engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6",
];

/// Horizon of the planner, which is also the past that it waits for; a change takes four seconds of it.
const HORIZON_MILLIS: u64 = 6_000;

/// A bundle under which any gain repays a change.
fn eager(deployment: &Deployment) -> Bundle {
    let mut bundle = deployment.bundle.clone();
    bundle.fleet.roles.minimum_dwell_millis = 0;
    bundle.fleet.roles.change_price = 0.0;
    bundle.fleet.roles.horizon_millis = HORIZON_MILLIS;
    for rule in &mut bundle.models {
        rule.floors.clear();
    }
    bundle
}

/// Long prompts and long answers in the interactive class, far more than mixed engines serve in time.
fn demand(deployment: &Deployment) -> DemandReport {
    let requests = 30.0;
    DemandReport {
        entries: vec![DemandEntry {
            model: deployment.model.clone(),
            class: ServiceClass::Interactive,
            requests,
            prompt_tokens: requests * 4_000.0,
            uncached_prompt_tokens: requests * 4_000.0,
            output_tokens: requests * 100.0,
        }],
    }
}

fn weights(deployment: &Deployment) -> LoadedWeights {
    let mut rules = deployment.bundle.models.iter();
    let rule = rules.find(|rule| rule.model == deployment.model).unwrap();
    LoadedWeights {
        model: rule.model.clone(),
        version: rule.version.clone(),
        adapters: rule.adapters.iter().map(|entry| entry.adapter.clone()).collect(),
    }
}

fn report(controller: &ControllerHandle, demand: DemandReport) {
    let answer = client::ask(
        controller.peer_address(),
        &PeerRequest::ReportDemand(demand),
        STUCK,
    );
    assert_eq!(answer.unwrap(), PeerResponse::Noted);
}

fn changes(told: &[ToldOrder]) -> Vec<ToldOrder> {
    told.iter()
        .filter(|told| told.order.action != OrderAction::RaiseFence)
        .cloned()
        .collect()
}

struct Zone {
    deployment: Deployment,
    platform: PlatformHandle,
    engines: Arc<Engines>,
    machines: Vec<Machine>,
}

impl Zone {
    fn new() -> Self {
        let mut deployment = Deployment::pharmacy();
        deployment.bundle = eager(&deployment);
        let engines = Arc::new(Engines::default());
        let mut machines = Vec::new();
        for (name, port) in ENGINES.into_iter().zip(1..) {
            // Nothing listens there: the stand-in engines are reached in memory, by this address.
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            let mut status = engine_status(name, 1);
            status.weights = vec![weights(&deployment)];
            engines.statuses.lock().unwrap().push((address, status));
            let mut machine = engine_machine(name, address);
            machine.zone = deployment.zones[0].clone();
            machines.push(machine);
        }
        let platform = PlatformServer::start(PlatformConfig {
            machines: machines.clone(),
            ..PlatformConfig::default()
        });
        let zone = Self {
            deployment,
            platform: platform.unwrap(),
            engines,
            machines,
        };
        publish_first(&zone.client(), &zone.deployment).unwrap();
        zone
    }

    fn client(&self) -> HttpPlatform {
        HttpPlatform::new(self.platform.address(), PlatformTimeouts::default())
    }

    fn start(&self, node: &str, table: &Arc<Gate>, role_changes: &Arc<Gate>) -> ControllerHandle {
        let client = Arc::new(self.client());
        let services = Services {
            table: Arc::new(GatedTable {
                inner: client.clone(),
                gate: Arc::clone(table),
            }),
            objects: client.clone(),
            machines: client.clone(),
            weights: client,
            engines: Arc::new(GatedEngines {
                inner: self.engines.clone(),
                orders: Arc::default(),
                role_changes: Arc::clone(role_changes),
            }),
        };
        let mut settings = ControllerConfig {
            zone: self.deployment.zones[0].clone(),
            region: self.deployment.region.clone(),
            roots: self.deployment.roots(),
            lease: LeaseTimings {
                duration_millis: 2_000,
                renew_every_millis: 400,
                margin_millis: 500,
                read_every_millis: 200,
                retry_after_millis: 100,
            },
            ..config(node)
        };
        settings.timings.engine_timeout_millis = 400;
        settings.timings.plan_millis = 50;
        settings.timings.demand_retention_millis = 60_000;
        Controller::start_with(settings, services).unwrap()
    }

    /// The platform puts the engine's machine on the leaving list.
    fn leave(&mut self, engine: &EngineId) {
        let machine = self
            .machines
            .iter_mut()
            .find(|machine| machine.name == engine.as_str())
            .unwrap();
        machine.state = MachineState::Leaving;
        self.platform.set_machines(self.machines.clone());
    }

    fn end(self, controllers: Vec<ControllerHandle>) {
        controllers.iter().for_each(ControllerHandle::stop);
        controllers.into_iter().for_each(ControllerHandle::wait);
        self.platform.stop();
        self.platform.wait();
    }
}

fn has_undrained(told: &[ToldOrder]) -> bool {
    told.iter().any(|told| told.order.action == OrderAction::Undrain)
}

/// What the first engine that was changed was told, with the token and whether it obeyed.
fn changes_of_first(told: &[ToldOrder]) -> Vec<ToldOrder> {
    let changes = changes(told);
    let first = changes[0].order.engine.clone();
    changes
        .into_iter()
        .filter(|told| told.order.engine == first)
        .collect()
}

fn is_role_change(action: &OrderAction) -> bool {
    matches!(action, OrderAction::ChangeRole { role } if *role != Role::Mixed)
}

#[test]
fn reported_demand_changes_a_role_through_a_drain() {
    let zone = Zone::new();
    let open = Arc::new(Gate::default());
    let controller = zone.start("node-1", &open, &open);
    controller.wait_commanding(STUCK).unwrap();
    report(&controller, demand(&zone.deployment));

    let told = changes_of_first(&zone.engines.wait_told(has_undrained, STUCK));
    let actions: Vec<OrderAction> = told.into_iter().map(|told| told.order.action).collect();
    assert!(
        matches!(actions.as_slice(), [OrderAction::Drain, change, OrderAction::Undrain] if is_role_change(change)),
        "{actions:?}"
    );
    zone.end(vec![controller]);
}

#[test]
fn a_change_begun_by_a_frozen_holder_is_finished_by_the_next() {
    let zone = Zone::new();
    let (table, role_changes) = (Arc::new(Gate::default()), Arc::new(Gate::default()));
    role_changes.close();
    let first = zone.start("node-1", &table, &role_changes);
    first.wait_commanding(STUCK).unwrap();
    report(&first, demand(&zone.deployment));
    // The engine is drained; the order that changes its role is committed and stays in the holder's hands.
    role_changes.wait_held(STUCK);
    table.close();

    // The next holder knows of no demand: only the engine's row tells it what the engine is to become.
    let open = Arc::new(Gate::default());
    let second = zone.start("node-2", &open, &open);
    assert_eq!(second.wait_commanding(STUCK), Some(FencingToken(2)));
    let told = zone.engines.wait_told(has_undrained, STUCK);
    role_changes.open();
    let told = changes_of_first(&zone.engines.wait_told(|later| later.len() > told.len(), STUCK));
    table.open();

    let obeyed: Vec<(u64, &OrderAction)> = told
        .iter()
        .filter(|told| told.reply == OrderReply::Done)
        .map(|told| (told.order.token.0, &told.order.action))
        .collect();
    assert!(
        matches!(
            obeyed.as_slice(),
            [(1, OrderAction::Drain), (2, change), (2, OrderAction::Undrain)] if is_role_change(change)
        ),
        "{told:#?}"
    );
    let late = told
        .iter()
        .find(|told| told.order.token == FencingToken(1) && is_role_change(&told.order.action));
    assert_eq!(
        late.unwrap().reply,
        OrderReply::Fenced {
            highest: FencingToken(2)
        }
    );
    zone.end(vec![first, second]);
}

#[test]
fn an_engine_that_leaves_in_the_middle_of_a_change_stays_drained_under_the_next_holder() {
    let mut zone = Zone::new();
    let (table, role_changes) = (Arc::new(Gate::default()), Arc::new(Gate::default()));
    role_changes.close();
    let first = zone.start("node-1", &table, &role_changes);
    first.wait_commanding(STUCK).unwrap();
    report(&first, demand(&zone.deployment));
    role_changes.wait_held(STUCK);
    table.close();
    let drained = changes(&zone.engines.told.lock().unwrap())[0]
        .order
        .engine
        .clone();
    zone.leave(&drained);

    let open = Arc::new(Gate::default());
    let second = zone.start("node-2", &open, &open);
    assert_eq!(second.wait_commanding(STUCK), Some(FencingToken(2)));
    report(&second, demand(&zone.deployment));
    // A change of another engine shows that the second holder has decided about all of them.
    let told = zone.engines.wait_told(has_undrained, STUCK);
    let of_drained = changes(&told)
        .into_iter()
        .filter(|told| told.order.engine == drained);
    let actions: Vec<OrderAction> = of_drained.map(|told| told.order.action).collect();
    assert_eq!(actions, [OrderAction::Drain]);
    role_changes.open();
    table.open();
    zone.end(vec![first, second]);
}
