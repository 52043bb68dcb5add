//! Over HTTP, against the stand-in engines and platform: while a new version is rolled out and a machine leaves, each
//! stream that an engine let in is whole, and the leaving engine lets nothing in once it is drained.
#![allow(clippy::unwrap_used)]

mod support;

use shelfjunction_controller::{Controller, ControllerConfig};
use shelfjunction_core::engine::{AnswerPart, EngineCall, EngineRefusalReason, LoadedWeights, Phase, Role};
use shelfjunction_core::identity::{AttemptId, EngineId, RequestId, WeightVersion};
use shelfjunction_core::machine::{Machine, MachineState};
use shelfjunction_core::membership::record::{RecordBody, RecordKey};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_engine_model::EngineModelConfig;
use shelfjunction_engine_model::config::{ChangeCosts, EngineKind};
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::publish::{publish, publish_first};
use shelfjunction_lab::engine::{EngineConfig, EngineHandle, EngineServer};
use shelfjunction_lab::platform::{PlatformConfig, PlatformServer};
use shelfjunction_platform::engine::{CallError, EngineClient};
use shelfjunction_platform::http_engine::{EngineTimeouts, HttpEngineClient};
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use shelfjunction_protocol::frame::{read_frame, write_frame};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use shelfjunction_threads::StopSignal;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;
use support::{config, engine_machine};

/// Far above any wait of a test that passes; only a failing test meets it.
const STUCK: Duration = Duration::from_secs(60);

/// Engines of the zone; the last leaves.
const ENGINES: [&str; 4] = ["engine-1", "engine-2", "engine-3", "engine-4"];
const LEAVING: &str = "engine-4";

/// Output tokens of each stream; at 8 ms a token a third of a second.
const TOKENS: u32 = 40;

/// What one caller saw.
#[derive(Debug, Default)]
struct Seen {
    whole: u32,
    refused: BTreeSet<String>,
    faults: Vec<String>,
}

fn held_weights(deployment: &Deployment) -> LoadedWeights {
    let rule = deployment
        .bundle
        .models
        .iter()
        .find(|rule| rule.model == deployment.model)
        .unwrap();
    LoadedWeights {
        model: rule.model.clone(),
        version: rule.version.clone(),
        adapters: rule.adapters.iter().map(|entry| entry.adapter.clone()).collect(),
    }
}

fn start_engine(name: &str, deployment: &Deployment) -> EngineHandle {
    let kind = EngineKind::Model {
        role: Role::Mixed,
        weights: vec![held_weights(deployment)],
    };
    let changes = ChangeCosts {
        role_millis: 100,
        load_millis: 100,
    };
    let model = EngineModelConfig {
        kind,
        changes,
        ..EngineModelConfig::default()
    };
    EngineServer::start(EngineConfig {
        name: EngineId::new(name),
        model,
        ..EngineConfig::default()
    })
    .unwrap()
}

fn call(deployment: &Deployment, request: String) -> EngineCall {
    EngineCall {
        attempt: AttemptId::new(format!("{request}-attempt")),
        request: RequestId::new(request),
        model: deployment.model.clone(),
        adapter: None,
        prompt: "a short prompt".to_owned(),
        max_tokens: TOKENS,
        class: ServiceClass::Standard,
        cache_salt: "salt".to_owned(),
        phase: Phase::Whole,
        import: None,
        offset: 0,
    }
}

/// Sends one call after another to one engine until told to stop.
fn keep_calling(deployment: &Deployment, name: &str, address: SocketAddr, stop: &StopSignal) -> Seen {
    let client = HttpEngineClient::new(EngineTimeouts::default());
    let mut seen = Seen::default();
    let mut number = 0;
    while !stop.is_set() {
        number += 1;
        let call = call(deployment, format!("{name}-{number}"));
        match client.call(address, &call) {
            Ok(stream) => match read_whole(stream) {
                Ok(()) => seen.whole += 1,
                Err(fault) => seen.faults.push(fault),
            },
            Err(CallError::Refused(refusal)) => {
                let known = [EngineRefusalReason::Draining, EngineRefusalReason::Changing];
                assert!(known.contains(&refusal.reason), "{refusal:?}");
                seen.refused.insert(format!("{:?}", refusal.reason));
                stop.wait(Duration::from_millis(refusal.retry_after_millis));
            }
            Err(error) => seen.faults.push(format!("{error:?}")),
        }
    }
    seen
}

fn read_whole(mut stream: Box<dyn shelfjunction_platform::engine::AnswerStream>) -> Result<(), String> {
    let mut expected = 0;
    loop {
        match stream.next_part() {
            Ok(Some(AnswerPart::Token { offset, .. })) if offset == expected => expected += 1,
            Ok(Some(AnswerPart::Finished { tokens, .. })) if tokens == expected => return Ok(()),
            other => return Err(format!("{other:?} after {expected} tokens")),
        }
    }
}

/// Reads the controller's records until every engine that stays serves the version and the leaving one is drained.
fn wait_rolled(controller: SocketAddr, version: &WeightVersion) {
    let mut stream = TcpStream::connect(controller).unwrap();
    stream.set_read_timeout(Some(STUCK)).unwrap();
    write_frame(&mut stream, &PeerRequest::WatchFleet).unwrap();
    let mut settled = BTreeSet::new();
    while settled.len() < ENGINES.len() {
        let Some(PeerResponse::Records(records)) = read_frame(&mut stream).unwrap() else {
            panic!("the stream of records ended");
        };
        for record in records {
            let (RecordKey::Engine(engine), RecordBody::Engine(body)) = (record.key, record.body) else {
                continue;
            };
            let Some(status) = body.status else {
                continue;
            };
            let rolled = status.weights.iter().any(|weights| weights.version == *version);
            let leaving = engine.as_str() == LEAVING;
            let is_settled = if leaving {
                status.draining
            } else {
                rolled && !status.draining && !status.changing
            };
            if is_settled {
                settled.insert(engine);
            }
        }
    }
}

/// Calls every engine for as long as `changes` takes.
fn call_during(deployment: &Deployment, engines: &[EngineHandle], changes: impl FnOnce()) -> Vec<Seen> {
    let stop = StopSignal::default();
    thread::scope(|scope| {
        let callers: Vec<_> = ENGINES
            .iter()
            .zip(engines)
            .map(|(name, engine)| {
                let (stop, address) = (&stop, engine.address());
                scope.spawn(move || keep_calling(deployment, name, address, stop))
            })
            .collect();
        changes();
        stop.set();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    })
}

#[test]
fn no_stream_is_cut_by_a_roll_or_by_a_leaving_machine() {
    let deployment = Deployment::pharmacy();
    let engines: Vec<EngineHandle> = ENGINES
        .iter()
        .map(|name| start_engine(name, &deployment))
        .collect();
    let mut machines: Vec<Machine> = ENGINES
        .iter()
        .zip(&engines)
        .map(|(name, engine)| Machine {
            zone: deployment.zones[0].clone(),
            ..engine_machine(name, engine.address())
        })
        .collect();
    let platform_config = PlatformConfig {
        machines: machines.clone(),
        ..PlatformConfig::default()
    };
    let platform = PlatformServer::start(platform_config).unwrap();
    let client = HttpPlatform::new(platform.address(), PlatformTimeouts::default());
    publish_first(&client, &deployment).unwrap();
    let mut settings = ControllerConfig {
        zone: deployment.zones[0].clone(),
        region: deployment.region.clone(),
        roots: deployment.roots(),
        platform: platform.address(),
        ..config("node-1")
    };
    settings.timings.plan_millis = 100;
    let controller = Controller::start(settings).unwrap();
    controller.wait_commanding(STUCK).unwrap();

    let seen = call_during(&deployment, &engines, || {
        let leaving = machines
            .iter_mut()
            .find(|machine| machine.name == LEAVING)
            .unwrap();
        leaving.state = MachineState::Leaving;
        platform.set_machines(machines);
        let mut second = deployment.bundle.clone();
        let version = WeightVersion::new("rolled");
        second
            .models
            .iter_mut()
            .for_each(|rule| rule.version = version.clone());
        publish(&client, &second, &deployment.operators()[0]).unwrap();
        wait_rolled(controller.peer_address(), &version);
    });
    for (name, seen) in ENGINES.iter().zip(&seen) {
        println!("{name}: {seen:?}");
        assert_eq!(seen.faults, Vec::<String>::new(), "{name}");
        assert!(seen.whole > 0, "{name} served nothing");
        assert!(
            !seen.refused.is_empty(),
            "{name} never refused, so it was never drained under load"
        );
    }
    controller.stop();
    controller.wait();
    engines.iter().for_each(EngineHandle::stop);
    platform.stop();
    platform.wait();
}
