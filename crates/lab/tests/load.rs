//! Load is open-loop: a call that waits for a slow server is as late as its caller would find it.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::caller::CallResult;
use shelfjunction_lab::load::plan::{LengthDistribution, LoadPlan, Mix};
use shelfjunction_lab::load::{self, schedule};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

const ANSWER: &str = "data: {\"choices\":[{\"text\":\"one\"}]}\n\ndata: {\"choices\":[{\"text\":\" two\"}]}\n\ndata: [DONE]\n\n";

fn plan(gateway: SocketAddr) -> LoadPlan {
    LoadPlan {
        gateways: vec![gateway],
        direct: Vec::new(),
        duration: Duration::from_millis(500),
        requests_per_second: 40.0,
        senders: 1,
        seed: 7,
        part_timeout: Duration::from_secs(30),
        mixes: vec![Mix {
            name: "only".to_owned(),
            token: "token".to_owned(),
            model: "renewal".to_owned(),
            share: 1.0,
            prompt_tokens: LengthDistribution::fixed(10),
            output_tokens: LengthDistribution::fixed(2),
            class: None,
            keyed: true,
        }],
    }
}

/// Answers calls one after another, the first only when it is released.
fn serve(listener: &TcpListener, released: &Receiver<()>) {
    for (index, stream) in listener.incoming().enumerate() {
        let mut stream = stream.unwrap();
        read_call(&stream);
        if index == 0 {
            released.recv().unwrap();
        }
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: r\r\nconnection: close\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(ANSWER.as_bytes()).unwrap();
    }
}

fn read_call(stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap() > 2 {
        let lower = line.to_ascii_lowercase();
        if let Some(text) = lower.strip_prefix("content-length:") {
            length = text.trim().parse().unwrap();
        }
        line.clear();
    }
    reader.read_exact(&mut vec![0; length]).unwrap();
}

#[test]
fn waiting_for_a_free_sender_counts_as_latency() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let plan = plan(listener.local_addr().unwrap());
    let (release, released) = mpsc::channel();
    thread::spawn(move || serve(&listener, &released));
    let mut released_at = None;
    let mut observations = Vec::new();
    let summary = load::run(
        &plan,
        |observation| observations.push(observation.clone()),
        |progress| {
            if released_at.is_none() {
                released_at = Some(progress.elapsed);
                release.send(()).unwrap();
            }
        },
    )
    .unwrap();
    let released_at = released_at.unwrap();
    assert_eq!(summary.planned, observations.len() as u64);
    assert_eq!(summary.completed, summary.planned);
    assert!(observations.len() > 5, "{}", observations.len());
    for observation in &observations {
        assert_eq!(observation.result, CallResult::Completed);
        assert_eq!(observation.text, "one two");
        assert!(
            observation.at + observation.total >= released_at,
            "{observation:?}"
        );
        assert!(observation.at + observation.first_token.unwrap() >= released_at);
    }
}

#[test]
fn a_schedule_depends_on_its_seed_alone() {
    let plan = plan("127.0.0.1:1".parse().unwrap());
    let first = schedule::generate(&plan).unwrap();
    assert_eq!(first, schedule::generate(&plan).unwrap());
    assert!(first.is_sorted_by_key(|call| call.at));
    assert_eq!(schedule::prompt(&first[0]).split(' ').count(), 10);
    let other = LoadPlan { seed: 8, ..plan };
    assert_ne!(first, schedule::generate(&other).unwrap());
}
