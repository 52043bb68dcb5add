//! Demand that a gateway reports reaches the planner, and an engine changes role through drain, change and undrain.
#![allow(clippy::unwrap_used)]

mod support;

use shelfjunction_controller::peer::client;
use shelfjunction_controller::{Controller, ControllerConfig, ControllerHandle, Services};
use shelfjunction_core::bundle::content::Bundle;
use shelfjunction_core::demand::{DemandEntry, DemandReport};
use shelfjunction_core::engine::{LoadedWeights, OrderAction, Role};
use shelfjunction_core::identity::WeightVersion;
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::publish::publish_first;
use shelfjunction_lab::platform::{PlatformConfig, PlatformServer};
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::{Engines, ToldOrder, config, engine_machine, engine_status};

/// Far above any wait of a test that passes; only a failing test meets it.
const STUCK: Duration = Duration::from_secs(30);

/// Engines of the zone, all mixed at first.
const ENGINES: [&str; 6] = [
    "engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6",
];

/// A bundle under which any gain repays a change.
fn eager(deployment: &Deployment) -> Bundle {
    let mut bundle = deployment.bundle.clone();
    bundle.fleet.roles.minimum_dwell_millis = 0;
    bundle.fleet.roles.change_price = 0.0;
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

#[test]
fn reported_demand_changes_a_role_through_a_drain() {
    let mut deployment = Deployment::pharmacy();
    deployment.bundle = eager(&deployment);
    let model = deployment
        .bundle
        .models
        .iter()
        .find(|rule| rule.model == deployment.model)
        .unwrap();
    let weights = LoadedWeights {
        model: model.model.clone(),
        version: WeightVersion::new(model.version.as_str()),
        adapters: model.adapters.iter().map(|entry| entry.adapter.clone()).collect(),
    };
    let engines = Arc::new(Engines::default());
    let mut machines = Vec::new();
    for (name, port) in ENGINES.into_iter().zip(1..) {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let mut status = engine_status(name, 1);
        status.weights = vec![weights.clone()];
        engines.statuses.lock().unwrap().push((address, status));
        let mut machine = engine_machine(name, address);
        machine.zone = deployment.zones[0].clone();
        machines.push(machine);
    }
    let platform = PlatformServer::start(PlatformConfig {
        machines,
        ..PlatformConfig::default()
    })
    .unwrap();
    let client = Arc::new(HttpPlatform::new(platform.address(), PlatformTimeouts::default()));
    publish_first(&*client, &deployment).unwrap();
    let services = Services {
        table: client.clone(),
        objects: client.clone(),
        machines: client.clone(),
        weights: client.clone(),
        engines: engines.clone(),
    };
    let mut settings = ControllerConfig {
        zone: deployment.zones[0].clone(),
        region: deployment.region.clone(),
        roots: deployment.roots(),
        ..config("node-1")
    };
    settings.timings.plan_millis = 50;
    settings.timings.demand_retention_millis = 60_000;
    let controller = Controller::start_with(settings, services).unwrap();
    controller.wait_commanding(STUCK).unwrap();
    report(&controller, demand(&deployment));

    let undrained = |told: &[ToldOrder]| told.iter().any(|told| told.order.action == OrderAction::Undrain);
    let told = changes(&engines.wait_told(undrained, STUCK));
    let first = told[0].order.engine.clone();
    let of_first: Vec<OrderAction> = told
        .iter()
        .filter(|told| told.order.engine == first)
        .map(|told| told.order.action.clone())
        .collect();
    assert!(
        matches!(
            of_first.as_slice(),
            [OrderAction::Drain, OrderAction::ChangeRole { role }, OrderAction::Undrain] if *role != Role::Mixed
        ),
        "{of_first:?}"
    );
    controller.stop();
    controller.wait();
    platform.stop();
    platform.wait();
}
