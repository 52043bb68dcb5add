//! The process's course of the calls, over HTTP.

use super::CallTimes;
use super::workload::PlannedCall;
use shelfjunction_core::engine::AnswerPart;
use shelfjunction_platform::engine::EngineClient;
use shelfjunction_platform::http_engine::{EngineTimeouts, HttpEngineClient};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a part; far above any wait that is measured.
const LONGEST_WAIT_MILLIS: u64 = 600_000;

/// Times of each call in order; absent where it was refused or broke.
pub fn run(engine: SocketAddr, calls: &[PlannedCall]) -> Vec<Option<CallTimes>> {
    let client = HttpEngineClient::new(EngineTimeouts {
        between_parts_millis: LONGEST_WAIT_MILLIS,
        ..EngineTimeouts::default()
    });
    let start = Instant::now();
    thread::scope(|scope| {
        let client = &client;
        let threads: Vec<_> = calls
            .iter()
            .map(|planned| scope.spawn(move || observe(client, engine, planned, start)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().ok().flatten())
            .collect()
    })
}

/// Sends a call at its planned time, which also is what its times are counted from.
fn observe(
    client: &HttpEngineClient,
    engine: SocketAddr,
    planned: &PlannedCall,
    start: Instant,
) -> Option<CallTimes> {
    let arrived = start + planned.at;
    thread::sleep(arrived.saturating_duration_since(Instant::now()));
    let mut stream = client.call(engine, &planned.call).ok()?;
    let mut first = None;
    let mut last = arrived;
    let mut tokens: u32 = 0;
    loop {
        match stream.next_part().ok()?? {
            AnswerPart::Token { .. } => {
                last = Instant::now();
                first.get_or_insert(last);
                tokens += 1;
            }
            AnswerPart::Finished { .. } => break,
            AnswerPart::Prefilled { .. } | AnswerPart::Failed { .. } => return None,
        }
    }
    let first: Instant = first?;
    Some(CallTimes {
        first_token: first.saturating_duration_since(arrived),
        between_tokens: between(first, last, tokens),
    })
}

fn between(first: Instant, last: Instant, tokens: u32) -> Duration {
    last.saturating_duration_since(first) / tokens.saturating_sub(1).max(1)
}
