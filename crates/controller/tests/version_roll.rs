//! A bundle with a new version of the weights is rolled out engine by engine: each is drained, loaded and put back
//! before the next, an application is left alone, and a leaving engine is drained and nothing else. An engine that
//! restarts empty is fenced again and led back to the same weights.

// Waits of tests and the lab, on machines that are not suspended.
#![allow(clippy::disallowed_methods)]
#![allow(clippy::unwrap_used)]

mod support;

use shelfjunction_controller::{Controller, ControllerConfig, Services};
use shelfjunction_core::engine::{LoadedWeights, OrderAction};
use shelfjunction_core::identity::{EngineId, WeightVersion};
use shelfjunction_core::lease::LeaseTimings;
use shelfjunction_core::machine::{Machine, MachineService, MachineState};
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::publish::{publish, publish_first};
use shelfjunction_lab::platform::{PlatformConfig, PlatformServer};
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{Engines, ToldOrder, config, engine_machine, engine_status};

/// Far above any wait of a test that passes; only a failing test meets it.
const STUCK: Duration = Duration::from_secs(30);

/// Engines that run the model; the last of them leaves. One more acts as the application.
const MODEL_ENGINES: [&str; 4] = ["engine-1", "engine-2", "engine-3", "engine-4"];
const LEAVING: &str = "engine-4";
const APPLICATION: &str = "application-1";

fn weights(deployment: &Deployment, name: &str) -> LoadedWeights {
    let model = if name == APPLICATION {
        &deployment.application
    } else {
        &deployment.model
    };
    let rule = deployment
        .bundle
        .models
        .iter()
        .find(|rule| rule.model == *model)
        .unwrap();
    LoadedWeights {
        model: rule.model.clone(),
        version: rule.version.clone(),
        adapters: rule.adapters.iter().map(|entry| entry.adapter.clone()).collect(),
    }
}

fn start_engines(deployment: &Deployment) -> (Arc<Engines>, Vec<Machine>) {
    let engines = Arc::new(Engines::default());
    let mut machines = Vec::new();
    for (name, port) in MODEL_ENGINES.into_iter().chain([APPLICATION]).zip(1..) {
        // Nothing listens there: the stand-in engines are reached in memory, by this address.
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let mut status = engine_status(name, 1);
        status.weights = vec![weights(deployment, name)];
        engines.statuses.lock().unwrap().push((address, status));
        let mut machine = engine_machine(name, address);
        machine.zone = deployment.zones[0].clone();
        if name == APPLICATION {
            machine.service = MachineService::ApplicationEngine { address };
        }
        machines.push(machine);
    }
    (engines, machines)
}

fn actions_of(told: &[ToldOrder], engine: &str) -> Vec<OrderAction> {
    let of_engine = told
        .iter()
        .filter(|told| told.order.engine == EngineId::new(engine));
    let changes = of_engine.filter(|told| told.order.action != OrderAction::RaiseFence);
    changes.map(|told| told.order.action.clone()).collect()
}

/// Most engines that were drained at the same time, by the order in which they were told; leaving ones not counted.
fn most_drained_at_once(told: &[ToldOrder]) -> usize {
    let mut drained = BTreeSet::new();
    let mut most = 0;
    for told in told
        .iter()
        .filter(|told| told.order.engine != EngineId::new(LEAVING))
    {
        match told.order.action {
            OrderAction::Drain => drained.insert(told.order.engine.clone()),
            OrderAction::Undrain => drained.remove(&told.order.engine),
            _ => continue,
        };
        most = most.max(drained.len());
    }
    most
}

/// The engine's process ends and starts again: it holds nothing and remembers no order.
fn restart_empty(engines: &Engines, name: &str) {
    let mut statuses = engines.statuses.lock().unwrap();
    let (_, status) = statuses
        .iter_mut()
        .find(|(_, status)| status.engine.as_str() == name)
        .unwrap();
    *status = engine_status(name, status.incarnation + 1);
}

#[test]
fn a_new_version_is_rolled_out_one_engine_at_a_time() {
    let deployment = Deployment::pharmacy();
    let (engines, mut machines) = start_engines(&deployment);
    let platform_config = PlatformConfig {
        machines: machines.clone(),
        ..PlatformConfig::default()
    };
    let platform = PlatformServer::start(platform_config).unwrap();
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
        lease: LeaseTimings::default(),
        ..config("node-1")
    };
    settings.timings.plan_millis = 50;
    settings.timings.bundle_poll_millis = 50;
    let controller = Controller::start_with(settings, services).unwrap();
    controller.wait_commanding(STUCK).unwrap();

    let leaving = machines
        .iter_mut()
        .find(|machine| machine.name == LEAVING)
        .unwrap();
    leaving.state = MachineState::Leaving;
    platform.set_machines(machines);
    let listed = Instant::now();
    engines.wait_told(|told| actions_of(told, LEAVING) == [OrderAction::Drain], STUCK);
    println!("leaving engine drained after {:?}", listed.elapsed());

    let mut second = deployment.bundle.clone();
    for rule in &mut second.models {
        rule.version = WeightVersion::new("rolled");
    }
    publish(&*client, &second, &deployment.operators()[0]).unwrap();
    let accepted = Instant::now();
    let staying = &MODEL_ENGINES[..MODEL_ENGINES.len() - 1];
    let rolled = |told: &[ToldOrder]| {
        staying
            .iter()
            .all(|engine| actions_of(told, engine).last() == Some(&OrderAction::Undrain))
    };
    let told = engines.wait_told(rolled, STUCK);
    println!("rolled out after {:?}", accepted.elapsed());

    for engine in staying {
        let actions = actions_of(&told, engine);
        assert!(
            matches!(
                actions.as_slice(),
                [OrderAction::Drain, OrderAction::LoadWeights { weights }, OrderAction::Undrain]
                    if weights.version == WeightVersion::new("rolled")
            ),
            "{engine}: {actions:?}"
        );
    }
    assert_eq!(most_drained_at_once(&told), 1);
    assert_eq!(actions_of(&told, APPLICATION), []);
    assert_eq!(actions_of(&told, LEAVING), [OrderAction::Drain]);

    restart_empty(&engines, "engine-1");
    let reloaded = |told: &[ToldOrder]| {
        actions_of(told, "engine-1").last() == Some(&OrderAction::Undrain)
            && actions_of(told, "engine-1").len() > 3
    };
    let again = engines.wait_told(reloaded, STUCK);
    let since_restart: Vec<OrderAction> = again[told.len()..]
        .iter()
        .filter(|told| told.order.engine == EngineId::new("engine-1"))
        .map(|told| told.order.action.clone())
        .collect();
    assert!(
        matches!(
            since_restart.as_slice(),
            [OrderAction::RaiseFence, OrderAction::Drain, OrderAction::LoadWeights { weights }, OrderAction::Undrain]
                if weights.version == WeightVersion::new("rolled")
        ),
        "{since_restart:?}"
    );
    controller.stop();
    controller.wait();
    platform.stop();
    platform.wait();
}
