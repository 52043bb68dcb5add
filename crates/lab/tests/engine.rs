//! The stand-in engine over HTTP: whole answers, resume, cancel, KV transfer, faults and bad input.
#![allow(clippy::unwrap_used)]

use shelfjunction_core::engine::{
    AnswerPart, EngineCall, EngineRefusalReason, EngineStatus, KvTransfer, LoadedWeights, Order, OrderAction,
    OrderReply, OrderSequence, Phase, Role, RunState,
};
use shelfjunction_core::identity::{
    AttemptId, EngineId, FencingToken, ModelId, OrderId, RequestId, WeightVersion,
};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_engine_model::EngineFaults;
use shelfjunction_engine_model::answer::AnswerSeed;
use shelfjunction_engine_model::config::EngineKind;
use shelfjunction_lab::calibrate::{self, Calibration, ObservedEngines};
use shelfjunction_lab::engine::{
    EngineConfig, EngineHandle, EngineLog, EngineServer, EngineServerFaults, WeightStoreConfig,
};
use shelfjunction_lab::platform::faults::PlatformFaults;
use shelfjunction_lab::platform::{PlatformConfig, PlatformServer};
use shelfjunction_platform::engine::{AnswerStream, CallError, EngineClient, StreamError};
use shelfjunction_platform::http_engine::{EngineTimeouts, HttpEngineClient};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

const INCARNATION: u64 = 7;

/// Model seconds in one second, so that changes of seconds take milliseconds.
const TIME_SCALE: f64 = 100.0;

/// Model milliseconds for which exports are kept where a test must not depend on how fast it runs: ten minutes.
const LONG_RETENTION_MILLIS: u64 = 60_000_000;

fn weights(version: &str) -> LoadedWeights {
    LoadedWeights {
        model: ModelId::new("renewal"),
        version: WeightVersion::new(version),
        adapters: Vec::new(),
    }
}

fn config(name: &str, role: Role) -> EngineConfig {
    let mut config = EngineConfig {
        name: EngineId::new(name),
        incarnation: Some(INCARNATION),
        time_scale: TIME_SCALE,
        ..EngineConfig::default()
    };
    config.model.kind = EngineKind::Model {
        role,
        weights: vec![weights("1")],
    };
    config
}

fn start(name: &str, role: Role) -> EngineHandle {
    EngineServer::start(config(name, role)).unwrap()
}

fn client() -> HttpEngineClient {
    HttpEngineClient::new(EngineTimeouts::default())
}

fn call(request: &str, max_tokens: u32) -> EngineCall {
    EngineCall {
        request: RequestId::new(request),
        attempt: AttemptId::new("1"),
        model: ModelId::new("renewal"),
        adapter: None,
        prompt: "a history of renewals ".repeat(40),
        max_tokens,
        class: ServiceClass::Interactive,
        cache_salt: "salt".to_owned(),
        phase: Phase::Whole,
        import: None,
        offset: 0,
    }
}

fn parts(mut stream: Box<dyn AnswerStream>) -> Vec<AnswerPart> {
    let mut parts = Vec::new();
    while let Some(part) = stream.next_part().unwrap() {
        parts.push(part);
    }
    parts
}

/// The tokens of an answer from an offset on, as an oracle that knows the model computes them.
fn expected(call: &EngineCall, offset: u32) -> Vec<AnswerPart> {
    let seed = AnswerSeed::new(&call.model, None, &call.prompt);
    (offset..seed.length(call.max_tokens))
        .map(|offset| AnswerPart::Token {
            request: call.request.clone(),
            offset,
            text: seed.token(offset),
        })
        .collect()
}

fn assert_answer(call: &EngineCall, offset: u32, parts: &[AnswerPart]) {
    let (last, tokens) = parts.split_last().unwrap();
    assert_eq!(tokens, expected(call, offset));
    assert!(matches!(last, AnswerPart::Finished { request, .. } if *request == call.request));
}

fn post(address: SocketAddr, path: &str, body: &impl serde::Serialize) {
    let body = serde_json::to_vec(body).unwrap();
    let response = ureq::post(format!("http://{address}{path}"))
        .send(&body[..])
        .unwrap();
    assert_eq!(response.status(), 200);
}

fn faults(address: SocketAddr, faults: EngineServerFaults) {
    post(address, "/faults", &faults);
}

fn log(address: SocketAddr) -> EngineLog {
    let mut response = ureq::get(format!("http://{address}/log")).call().unwrap();
    serde_json::from_slice(&response.body_mut().read_to_vec().unwrap()).unwrap()
}

fn order(sequence: u64, action: OrderAction) -> Order {
    Order {
        engine: EngineId::new("renewal-1"),
        token: FencingToken(1),
        sequence: OrderSequence(sequence),
        order: OrderId::new(sequence.to_string()),
        action,
    }
}

/// Asks for the status until it is as wanted.
fn await_status(address: SocketAddr, wanted: impl Fn(&EngineStatus) -> bool) -> EngineStatus {
    loop {
        let status = client().status(address).unwrap();
        if wanted(&status) {
            return status;
        }
    }
}

fn end(engine: EngineHandle) {
    engine.stop();
    engine.wait();
}

#[test]
fn an_answer_is_whole_and_can_be_read_again_from_every_offset() {
    let engine = start("renewal-1", Role::Mixed);
    let address = engine.address();
    let call = call("patient/1 ü", 40);
    assert_answer(&call, 0, &parts(client().call(address, &call).unwrap()));
    for offset in [0, 1, 17, 30] {
        assert_answer(
            &call,
            offset,
            &parts(client().resume(address, &call.request, offset).unwrap()),
        );
    }
    let tokens = expected(&call, 0).len() as u32;
    assert_eq!(
        client().run_state(address, &call.request),
        Ok(RunState::Finished { tokens })
    );
    let unknown = RequestId::new("unknown");
    let never = RunState::NeverSeen {
        incarnation: INCARNATION,
    };
    assert_eq!(client().run_state(address, &unknown), Ok(never));
    let refused = client().resume(address, &unknown, 0).err().unwrap();
    assert!(matches!(refused, CallError::Refused(why) if why.reason == EngineRefusalReason::UnknownRequest));
    let events = client().kv_events(address, 0).unwrap();
    assert_eq!((events.incarnation, events.events.len()), (INCARNATION, 1));
    end(engine);
}

#[test]
fn an_answer_that_breaks_is_resumed_without_a_second_run() {
    let engine = start("renewal-1", Role::Mixed);
    let address = engine.address();
    faults(
        address,
        EngineServerFaults {
            break_after_parts: Some(5),
            ..EngineServerFaults::default()
        },
    );
    let call = call("r", 40);
    let mut stream = client().call(address, &call).unwrap();
    for token in &expected(&call, 0)[..5] {
        assert_eq!(stream.next_part().unwrap().as_ref(), Some(token));
    }
    assert_eq!(stream.next_part(), Err(StreamError::Disconnected));
    faults(address, EngineServerFaults::default());
    assert_answer(
        &call,
        5,
        &parts(client().resume(address, &call.request, 5).unwrap()),
    );
    assert_eq!(log(address).runs.len(), 1);
    end(engine);
}

#[test]
fn a_cancelled_call_ends_as_failed() {
    let engine = start("renewal-1", Role::Mixed);
    let address = engine.address();
    let call = call("r", 100_000);
    let mut stream = client().call(address, &call).unwrap();
    stream.next_part().unwrap();
    client().cancel(address, &call.request).unwrap();
    let last = parts(stream).pop().unwrap();
    assert!(matches!(last, AnswerPart::Failed { .. }), "{last:?}");
    assert_eq!(client().run_state(address, &call.request), Ok(RunState::Failed));
    end(engine);
}

#[test]
fn a_kv_cache_moves_from_a_prefill_to_a_decode_engine() {
    // An export's five seconds are fifty milliseconds at this test's pace, which a busy machine passes between two calls.
    let mut kept = config("renewal-1", Role::Prefill);
    kept.model.reports.export_retention_millis = LONG_RETENTION_MILLIS;
    let prefill = EngineServer::start(kept).unwrap();
    let decode = start("renewal-2", Role::Decode);
    let whole = call("r", 40);
    let wrong = client().call(decode.address(), &whole).err().unwrap();
    assert!(matches!(wrong, CallError::Refused(why) if why.reason == EngineRefusalReason::WrongRole));
    let first = EngineCall {
        phase: Phase::PrefillOnly,
        ..whole.clone()
    };
    let prefilled = parts(client().call(prefill.address(), &first).unwrap());
    let [AnswerPart::Prefilled { handle, .. }] = &prefilled[..] else {
        panic!("{prefilled:?}");
    };
    let import = |handle: &str| {
        Some(KvTransfer {
            source: prefill.address(),
            handle: handle.to_owned(),
        })
    };
    let second = EngineCall {
        import: import(handle),
        ..whole.clone()
    };
    assert_answer(
        &whole,
        0,
        &parts(client().call(decode.address(), &second).unwrap()),
    );
    let gone = EngineCall {
        import: import("gone"),
        ..whole.clone()
    };
    let refused = client().call(decode.address(), &gone).err().unwrap();
    assert!(
        matches!(&refused, CallError::Refused(why) if why.reason == EngineRefusalReason::TransferGone),
        "{refused:?}"
    );
    let other_salt = EngineCall {
        cache_salt: "other".to_owned(),
        ..second
    };
    let refused = client().call(decode.address(), &other_salt).err().unwrap();
    assert!(
        matches!(&refused, CallError::Refused(why) if why.reason == EngineRefusalReason::Malformed),
        "{refused:?}"
    );
    end(prefill);
    end(decode);
}

#[test]
fn a_crash_in_a_role_change_restarts_empty() {
    let engine = start("renewal-1", Role::Mixed);
    let address = engine.address();
    let call = call("r", 4);
    parts(client().call(address, &call).unwrap());
    let model = EngineFaults {
        crash_in_change: true,
        ..EngineFaults::default()
    };
    faults(
        address,
        EngineServerFaults {
            model,
            ..EngineServerFaults::default()
        },
    );
    let change = order(1, OrderAction::ChangeRole { role: Role::Decode });
    assert_eq!(client().order(address, &change), Ok(OrderReply::InProgress));
    let status = await_status(address, |status| status.incarnation > INCARNATION);
    assert_eq!(
        (status.fence, status.role, status.changing),
        (FencingToken(0), Role::Mixed, false)
    );
    assert!(status.weights.is_empty());
    let never = RunState::NeverSeen {
        incarnation: INCARNATION + 1,
    };
    assert_eq!(client().run_state(address, &call.request), Ok(never));
    assert_eq!((log(address).runs.len(), log(address).orders.len()), (1, 1));
    end(engine);
}

#[test]
fn weights_arrive_when_the_store_comes_back() {
    let platform = PlatformServer::start(PlatformConfig::default()).unwrap();
    platform.set_faults(PlatformFaults::outage());
    let mut config = config("renewal-1", Role::Mixed);
    config.weight_store = Some(WeightStoreConfig {
        platform: platform.address(),
        weight_bytes: 1,
    });
    let engine = EngineServer::start(config).unwrap();
    let address = engine.address();
    let load = order(
        1,
        OrderAction::LoadWeights {
            weights: weights("2"),
        },
    );
    assert_eq!(client().order(address, &load), Ok(OrderReply::InProgress));
    assert_eq!(client().order(address, &load), Ok(OrderReply::InProgress));
    assert!(client().status(address).unwrap().changing);
    platform.set_faults(PlatformFaults::default());
    let status = await_status(address, |status| !status.changing);
    assert_eq!(status.weights, vec![weights("2")]);
    assert!(status.last_order.unwrap().done);
    end(engine);
    platform.stop();
    platform.wait();
}

/// Engines whose KV caches wait until they are fetched: on a busy machine a fetch took longer than they were kept, and calls
/// were refused for want of their cache (`TransferGone`, 2 of 20 beside five fault soaks).
fn patient(role: Role) -> EngineConfig {
    let mut config = config("renewal-1", role);
    config.import_millis = 60_000;
    config.model.reports.export_retention_millis = 10_000_000;
    config
}

#[test]
fn a_calibration_compares_every_call() {
    let [mixed, prefill, decode] =
        [Role::Mixed, Role::Prefill, Role::Decode].map(|role| EngineServer::start(patient(role)).unwrap());
    let whole = ObservedEngines {
        engine: mixed.address(),
        decode: None,
    };
    let split = ObservedEngines {
        engine: prefill.address(),
        decode: Some(decode.address()),
    };
    for engines in [whole, split] {
        let report = calibrate::run(&Calibration {
            engines,
            config: patient(Role::Mixed),
            calls: 20,
            rates: vec![200.0, 400.0],
            seed: 1,
        });
        let counts: Vec<(usize, usize)> = report
            .rates
            .iter()
            .map(|run| (run.compared, run.left_out))
            .collect();
        assert_eq!(counts, [(20, 0), (20, 0)]);
    }
    for engine in [mixed, prefill, decode] {
        end(engine);
    }
}

#[test]
fn bad_input_is_answered_or_closed_and_the_engine_serves_on() {
    let engine = start("renewal-1", Role::Mixed);
    let address = engine.address();
    let heads: [&[u8]; 8] = [
        b"\x00\xff\x16\x03\x01 rubbish\r\n\r\n",
        b"POST /v1/calls HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\nabc",
        b"POST /v1/calls HTTP/1.1\r\nContent-Length: 100\r\n\r\n{\"request\":",
        b"POST /v1/calls HTTP/1.1\r\nContent-Length: 2\r\n\r\n\xff\xfe",
        b"POST /v1/calls HTTP/1.1\r\nContent-Length: 17\r\n\r\n{\"request\": false}",
        b"POST /control/orders HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]",
        b"POST /faults HTTP/1.1\r\nContent-Length: 13\r\n\r\n{\"unknown\":1}",
        b"GET /v1/calls/%ff?offset=-1 HTTP/1.1\r\n\r\n",
    ];
    for head in heads {
        let mut connection = TcpStream::connect(address).unwrap();
        connection.write_all(head).unwrap();
        connection.shutdown(Shutdown::Write).unwrap();
        let mut answer = Vec::new();
        let _ = connection.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    let log = log(address);
    assert!(log.runs.is_empty());
    assert!(log.malformed_requests >= 7, "{}", log.malformed_requests);
    let call = call("r", 4);
    assert_answer(&call, 0, &parts(client().call(address, &call).unwrap()));
    end(engine);
}
