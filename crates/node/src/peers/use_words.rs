//! Tells the other nodes that admit requests what this one admitted for tenants and kinds.

use crate::context::Context;
use shelfjunction_core::sharing::UseWord;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::node_words::Datagram;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Time between two words. Use fades over seconds, so that a word of this age is some 15 in 100 off at the most, and 15 nodes
/// are told with 30 datagrams of a few hundred bytes a second.
const BETWEEN_WORDS: Duration = Duration::from_millis(500);

/// When the last word was told, and its number.
#[derive(Debug, Default)]
pub(super) struct UseTeller {
    number: u64,
    told_at: Option<MonotonicTime>,
}

impl UseTeller {
    /// Tells a word if it is time and there is something to tell.
    pub(super) fn tell(&mut self, context: &Context, now: MonotonicTime) {
        if self.told_at.is_some_and(|at| now.since(at) < BETWEEN_WORDS) {
            return;
        }
        let settings = &context.config.admission.sharing;
        let pools = lock(&context.router).sharing_mut().own_word(settings, now);
        if pools.is_empty() {
            return;
        }
        self.told_at = Some(now);
        self.number += 1;
        let word = UseWord {
            node: context.peers.own_handle(),
            start: context.start,
            number: self.number,
            told_at: now,
            pools,
        };
        if let Some(bytes) = Datagram::Use(Box::new(word)).encode() {
            for peer in context.peers.told(now) {
                context.peers.send(&bytes, peer);
            }
        }
    }
}
