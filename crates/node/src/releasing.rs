//! Frees KV caches that nobody will fetch, aside from the requests that left them.

use crate::asking;
use crate::context::Context;
use crate::ports::EngineLink;
use shelfjunction_core::engine::KvTransfer;
use shelfjunction_core::identity::EngineId;
use shelfjunction_threads::lock;
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Most KV caches that wait to be freed; engines drop them by themselves after a while.
const MOST_WAITING: usize = 256;

/// Longest wait for an engine's answer.
const ANSWER_WAIT: Duration = Duration::from_millis(300);

/// KV caches that wait to be freed.
#[derive(Default)]
pub(crate) struct Releases {
    /// Each with the start of the engine that holds it.
    waiting: Mutex<VecDeque<(EngineId, KvTransfer)>>,
    added: Condvar,
}

impl Releases {
    /// Queues one; dropped when too many wait.
    pub(crate) fn add(&self, source: EngineId, transfer: KvTransfer) {
        let mut waiting = lock(&self.waiting);
        if waiting.len() < MOST_WAITING {
            waiting.push_back((source, transfer));
            self.added.notify_one();
        }
    }

    fn next(&self) -> (EngineId, KvTransfer) {
        let mut waiting = lock(&self.waiting);
        loop {
            if let Some(held) = waiting.pop_front() {
                return held;
            }
            waiting = self.added.wait(waiting).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Frees queued KV caches as long as the process runs.
pub(crate) fn run(context: &Context) {
    loop {
        let (source, transfer) = context.releases.next();
        let outcome = release(context, &source, &transfer);
        log::debug!(engine:% = source, handle = transfer.handle.as_str(), outcome; "transfer_freed");
    }
}

/// Frees a KV cache at the start of the engine that holds it; a later start may hold another under the same handle.
fn release(context: &Context, source: &EngineId, transfer: &KvTransfer) -> &'static str {
    let is_there = lock(&context.router)
        .engine(source)
        .is_some_and(|state| !state.has_later_start() && state.engine.address == transfer.source);
    if !is_there {
        return "engine_gone";
    }
    let question = |link: &mut dyn EngineLink| link.begin_release(&transfer.handle);
    match asking::ask(context, source, transfer.source, ANSWER_WAIT, question) {
        Ok(_) => "freed",
        Err(cause) => cause,
    }
}
