//! The processes' course of the calls, over HTTP.

use super::CallTimes;
use super::workload::PlannedCall;
use shelfjunction_core::engine::{AnswerPart, EngineCall, KvTransfer, Phase};
use shelfjunction_platform::engine::EngineClient;
use shelfjunction_platform::http_engine::{EngineTimeouts, HttpEngineClient};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a part; far above any wait that is measured.
const LONGEST_WAIT_MILLIS: u64 = 600_000;

/// The processes that calls go to.
#[derive(Clone, Copy, Debug)]
pub struct ObservedEngines {
    /// Runs calls, or only their prompts when there is a decode engine.
    pub engine: SocketAddr,
    /// Runs the output from the KV cache of the other.
    pub decode: Option<SocketAddr>,
}

/// Times of each call in order; absent where it was refused or broke.
pub fn run(engines: ObservedEngines, calls: &[PlannedCall]) -> Vec<Option<CallTimes>> {
    let client = HttpEngineClient::new(EngineTimeouts {
        between_parts_millis: LONGEST_WAIT_MILLIS,
        ..EngineTimeouts::default()
    });
    let start = Instant::now();
    thread::scope(|scope| {
        let client = &client;
        let threads: Vec<_> = calls
            .iter()
            .map(|planned| scope.spawn(move || observe(client, engines, planned, start)))
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
    engines: ObservedEngines,
    planned: &PlannedCall,
    start: Instant,
) -> Option<CallTimes> {
    let arrived = start + planned.at;
    thread::sleep(arrived.saturating_duration_since(Instant::now()));
    match engines.decode {
        None => read_answer(client, engines.engine, &planned.call, arrived),
        Some(decode) => {
            let import = Some(prefill(client, engines.engine, &planned.call)?);
            let call = EngineCall {
                import,
                ..planned.call.clone()
            };
            read_answer(client, decode, &call, arrived)
        }
    }
}

/// Runs a call's prompt and tells where its KV cache is.
fn prefill(client: &HttpEngineClient, engine: SocketAddr, call: &EngineCall) -> Option<KvTransfer> {
    let prompt = EngineCall {
        phase: Phase::PrefillOnly,
        ..call.clone()
    };
    let mut stream = client.call(engine, &prompt).ok()?;
    match stream.next_part().ok()?? {
        AnswerPart::Prefilled { handle, .. } => Some(KvTransfer {
            source: engine,
            handle,
        }),
        _ => None,
    }
}

fn read_answer(
    client: &HttpEngineClient,
    engine: SocketAddr,
    call: &EngineCall,
    arrived: Instant,
) -> Option<CallTimes> {
    let mut stream = client.call(engine, call).ok()?;
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
