//! Questions to other nodes by datagram, each answered under the number that it was sent with.

use crate::context::Context;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Questions under way, each waited for by the thread that asked.
pub(crate) struct Questions<Answer> {
    waiting: Mutex<BTreeMap<u64, Option<Answer>>>,
    answered: Condvar,
}

impl<Answer> Default for Questions<Answer> {
    fn default() -> Self {
        Self {
            waiting: Mutex::default(),
            answered: Condvar::new(),
        }
    }
}

impl<Answer> Questions<Answer> {
    /// Takes an answer; one that nobody waits for any more is dropped.
    pub(crate) fn on_answer(&self, number: u64, answer: Answer) {
        if let Some(place) = lock(&self.waiting).get_mut(&number) {
            *place = Some(answer);
            self.answered.notify_all();
        }
    }

    /// Sends a question to a node and waits for its answer, as long as an answer from the node's region may take.
    pub(crate) fn ask(
        &self,
        context: &Context,
        number: u64,
        question: &[u8],
        node: SubjectHandle,
        to: SocketAddr,
    ) -> Option<Answer> {
        let sent_at = context.now();
        let answer = self.ask_for(context, number, question, to, context.answer_wait(node));
        context.note_question(node, answer.is_some(), context.now().since(sent_at));
        answer
    }

    /// Sends a question and waits for its answer, at most for `timeout`.
    pub(crate) fn ask_for(
        &self,
        context: &Context,
        number: u64,
        question: &[u8],
        to: SocketAddr,
        timeout: Duration,
    ) -> Option<Answer> {
        lock(&self.waiting).insert(number, None);
        context.peers.send(question, to);
        let is_waiting =
            |waiting: &mut BTreeMap<u64, Option<Answer>>| waiting.get(&number).is_some_and(Option::is_none);
        let waited = self
            .answered
            .wait_timeout_while(lock(&self.waiting), timeout, is_waiting);
        let (mut waiting, _) = waited.unwrap_or_else(PoisonError::into_inner);
        waiting.remove(&number).flatten()
    }
}
