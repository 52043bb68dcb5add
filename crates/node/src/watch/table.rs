//! One table of the store, as the threads of the process share what is known of it.

use crate::context::Context;
use crate::peers::Duty;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_core::watching::{
    SharedWatch, SharedWatchSettings, TableWord, WatchRole, WatchStep, is_watcher,
};
use shelfjunction_threads::lock;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// What is known of one table, and whether the store answers questions about it.
#[derive(Debug)]
pub(crate) struct TableWatch {
    name: &'static str,
    settings: SharedWatchSettings,
    /// What a node of a large fleet does that is not on duty.
    off_duty: WatchRole,
    state: Mutex<State>,
    heard: Condvar,
}

#[derive(Debug)]
struct State {
    watch: SharedWatch,
    /// Whether the last question was answered; true until one was not.
    in_contact: bool,
    was_watcher: bool,
}

impl TableWatch {
    /// The table of a name; `off_duty` is what a node of a large fleet does that is not on duty.
    pub(crate) fn new(name: &'static str, settings: SharedWatchSettings, off_duty: WatchRole) -> Self {
        Self {
            name,
            settings,
            off_duty,
            state: Mutex::new(State {
                watch: SharedWatch::new(settings),
                in_contact: true,
                was_watcher: false,
            }),
            heard: Condvar::new(),
        }
    }

    pub(super) fn name(&self) -> &'static str {
        self.name
    }

    /// Notes an answer of the store.
    pub(super) fn on_store_answer(&self, store_version: u64, now: MonotonicTime) {
        let mut state = lock(&self.state);
        state.in_contact = true;
        state.watch.on_store_answer(store_version, now);
    }

    /// Notes that the store gave no answer.
    pub(super) fn on_store_silent(&self) {
        lock(&self.state).in_contact = false;
    }

    /// Notes that the store has forgotten the history that the next question would go on from.
    pub(super) fn on_history_gone(&self) {
        lock(&self.state).watch.on_history_gone();
    }

    /// Takes another node's word, where this node has everything up to `own_version`.
    pub(crate) fn on_word(&self, word: TableWord, own_version: u64, now: MonotonicTime) {
        lock(&self.state).watch.on_word(word, own_version, now);
        if word.version > own_version {
            self.heard.notify_one();
        }
    }

    /// Has the whole table read anew.
    pub(crate) fn read_anew(&self) {
        lock(&self.state).watch.read_anew();
        self.heard.notify_one();
    }

    /// Looks again at what is this node's to do: the other nodes have become known.
    pub(crate) fn look_again(&self) {
        drop(lock(&self.state));
        self.heard.notify_one();
    }

    /// Notes that what was lacking has come from another node.
    pub(crate) fn on_caught_up(&self) {
        lock(&self.state).watch.on_caught_up();
    }

    /// What this node says to others; the version that it has is read by `version` only after the rest, so that the
    /// word never claims more than what was known.
    pub(crate) fn word(&self, now: MonotonicTime, version: impl FnOnce() -> u64) -> TableWord {
        let word = lock(&self.state).watch.word(now);
        word.of_version(version())
    }

    /// Whether the store answers questions about the table.
    pub(crate) fn in_contact(&self) -> bool {
        lock(&self.state).in_contact
    }

    /// Version of the store from which the next question goes on; zero where everything must be read.
    pub(super) fn store_version(&self) -> u64 {
        lock(&self.state).watch.store_version()
    }

    /// Rests until a question is due; the time for which it may wait at the store.
    pub(super) fn wait_for_question(&self, context: &Context) -> Duration {
        loop {
            let now = context.now();
            let others = context.peers.in_contact_with_store(now);
            let duty = context.peers.duty(now);
            let mut state = lock(&self.state);
            let watches = is_watcher(
                self.name,
                context.peers.own_handle(),
                state.in_contact && matches!(duty, Duty::Shared | Duty::Placer),
                &others,
                self.settings.watchers,
            );
            if watches != std::mem::replace(&mut state.was_watcher, watches) {
                log::info!(table = self.name, watches, nodes_in_contact = others.len(), age_millis:? = state.watch.age(now).map(|age| age.as_millis() as u64); "watch_changed");
            }
            let role = match (watches, duty) {
                (true, _) => WatchRole::Watches,
                (false, Duty::Off) => self.off_duty,
                (false, Duty::NotKnown) => WatchRole::AwaitsNodes,
                (false, Duty::Placer) if !state.in_contact => WatchRole::Regains,
                (false, Duty::Placer | Duty::Shared) => WatchRole::Asks,
            };
            match state.watch.next(role, now) {
                WatchStep::Ask(wait) => return wait,
                WatchStep::Rest(rest) => {
                    let waited = self.heard.wait_timeout(state, rest);
                    drop(waited.unwrap_or_else(PoisonError::into_inner));
                }
            }
        }
    }
}
