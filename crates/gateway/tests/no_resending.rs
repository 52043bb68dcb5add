//! The client of engines sends each call once, whatever the engine's side does with the connection.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::engine::{EngineCall, EngineRefusal, EngineRefusalReason, Phase};
use shelfjunction_core::identity::{AttemptId, ModelId, RequestId};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_platform::engine::{CallError, EngineClient};
use shelfjunction_platform::http_engine::{EngineTimeouts, HttpEngineClient};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

/// An engine that reads each call and then says `answer`; tells of each connection that it took.
fn engine(answer: String) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let call = read_call(&mut stream);
            stream.write_all(answer.as_bytes()).unwrap();
            drop(stream);
            if sender.send(call).is_err() {
                return;
            }
        }
    });
    (address, receiver)
}

fn read_call(stream: &mut TcpStream) -> String {
    let mut call = Vec::new();
    let mut bytes = [0; 1_024];
    while !call.ends_with(b"}") {
        let read = stream.read(&mut bytes).unwrap();
        assert!(read > 0, "the call was cut off");
        call.extend_from_slice(&bytes[..read]);
    }
    String::from_utf8(call).unwrap()
}

fn call() -> EngineCall {
    EngineCall {
        request: RequestId::new("request"),
        attempt: AttemptId::new("request-1"),
        model: ModelId::new("order-application"),
        adapter: None,
        prompt: "dispatch 7".to_owned(),
        max_tokens: 1,
        class: ServiceClass::Standard,
        cache_salt: String::new(),
        phase: Phase::Whole,
        import: None,
        offset: 0,
    }
}

fn outcome(client: &HttpEngineClient, address: SocketAddr) -> CallError {
    match client.call(address, &call()) {
        Ok(_) => panic!("the engine gave no stream"),
        Err(error) => error,
    }
}

#[test]
fn each_call_goes_out_once() {
    let client = HttpEngineClient::new(EngineTimeouts::default());
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    elsewhere.set_nonblocking(true).unwrap();
    let target = elsewhere.local_addr().unwrap();
    let refusal = EngineRefusal {
        reason: EngineRefusalReason::Draining,
        retry_after_millis: 5,
    };
    let body = serde_json::to_string(&refusal).unwrap();
    let redirect = |status| {
        format!(
            "HTTP/1.1 {status} Elsewhere\r\nLocation: http://{target}/v1/calls\r\nContent-Length: 0\r\n\r\n"
        )
    };
    let cases = [
        (String::new(), CallError::Ambiguous),
        ("HTTP/1.1 200 O".to_owned(), CallError::Ambiguous),
        (
            "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(),
            CallError::Ambiguous,
        ),
        (redirect(307), CallError::Ambiguous),
        (redirect(308), CallError::Ambiguous),
        (redirect(302), CallError::Ambiguous),
        (
            format!(
                "HTTP/1.1 503 Busy\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            ),
            CallError::Refused(refusal),
        ),
    ];
    for (answer, expected) in cases {
        let (address, taken) = engine(answer.clone());
        assert_eq!(outcome(&client, address), expected, "{answer:?}");
        assert!(taken.recv().unwrap().contains("dispatch 7"));
        // Another call of this thread comes after any silent repetition of the first.
        assert_eq!(outcome(&client, address), expected, "{answer:?}");
        taken.recv().unwrap();
        assert!(taken.try_recv().is_err(), "sent again after {answer:?}");
    }
    assert_eq!(elsewhere.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
}

#[test]
fn a_refused_connection_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = HttpEngineClient::new(EngineTimeouts::default());
    assert_eq!(outcome(&client, address), CallError::NotSent);
}
