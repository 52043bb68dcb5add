//! Frees KV caches that nobody will fetch, aside from the requests that left them.

use crate::asking;
use crate::context::Context;
use crate::ports::EngineLink;
use shelfjunction_core::engine::KvTransfer;
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
    waiting: Mutex<VecDeque<KvTransfer>>,
    added: Condvar,
}

impl Releases {
    /// Queues one; dropped when too many wait.
    pub(crate) fn add(&self, transfer: KvTransfer) {
        let mut waiting = lock(&self.waiting);
        if waiting.len() < MOST_WAITING {
            waiting.push_back(transfer);
            self.added.notify_one();
        }
    }

    fn next(&self) -> KvTransfer {
        let mut waiting = lock(&self.waiting);
        loop {
            if let Some(transfer) = waiting.pop_front() {
                return transfer;
            }
            waiting = self.added.wait(waiting).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Frees queued KV caches as long as the process runs.
pub(crate) fn run(context: &Context) {
    loop {
        let transfer = context.releases.next();
        let outcome = release(context, &transfer);
        log::debug!(engine:% = transfer.source, handle = transfer.handle.as_str(), outcome; "transfer_freed");
    }
}

fn release(context: &Context, transfer: &KvTransfer) -> &'static str {
    let holder = {
        let router = lock(&context.router);
        let mut engines = router.engines();
        engines
            .find(|state| state.engine.address == transfer.source)
            .map(|state| state.engine.id.clone())
    };
    let Some(engine) = holder else {
        return "engine_gone";
    };
    let question = |link: &mut dyn EngineLink| link.begin_release(&transfer.handle);
    match asking::ask(context, &engine, transfer.source, ANSWER_WAIT, question) {
        Ok(_) => "freed",
        Err(cause) => cause,
    }
}
