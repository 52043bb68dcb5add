//! One node's part in watching one table.

use crate::setting::FieldError;
use crate::table::StorePosition;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the shared watch of a table.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SharedWatchSettings {
    /// Nodes that ask the store; two, so that the loss of one goes unnoticed.
    pub watchers: usize,
    /// Time within which a change must be in force everywhere, in milliseconds.
    pub bound_millis: u64,
}

impl Default for SharedWatchSettings {
    fn default() -> Self {
        Self {
            watchers: 2,
            bound_millis: 2_000,
        }
    }
}

/// Part of the bound after which a node that nobody has confirmed anything to asks the store itself. What is left of
/// the bound is for the question and for a first answer that is lost.
const FRESH_PART: f64 = 0.6;

/// Part of the fresh time for which a watcher's question waits at the store.
const WAIT_PART: f64 = 0.5;

/// Time in which a change that a node has heard of reaches it with the messages of others, before it asks the store.
const HEAR_FIRST: Duration = Duration::from_millis(120);

/// Part of the bound for which a node that is not on duty leaves a change to the messages and snapshots of others: what
/// is left is enough for a question and a first answer that is lost.
const HEAR_FIRST_PART: f64 = 0.25;

/// Time after the start within which a node knows the others, if the store answers: nodes that start together for the first
/// time enter themselves within a second.
const NODES_KNOWN_WITHIN: Duration = Duration::from_millis(1_500);

/// Least time between two questions for something newer that the store does not give.
const ASK_AGAIN: Duration = Duration::from_millis(500);

impl SharedWatchSettings {
    /// Every wrong setting; `section` is the name of the settings' table.
    pub fn validate(&self, section: &str) -> Vec<FieldError> {
        let least = [
            ("watchers", self.watchers as u64, 1),
            ("bound_millis", self.bound_millis, 100),
        ];
        least
            .into_iter()
            .filter(|(_, value, least)| value < least)
            .map(|(field, value, least)| FieldError {
                field: format!("{section}.{field}"),
                value: value.to_string(),
                allowed: format!("{least} or more"),
            })
            .collect()
    }

    /// Age of the last confirmation up to which a node need not ask.
    pub fn fresh(&self) -> Duration {
        Duration::from_millis(self.bound_millis).mul_f64(FRESH_PART)
    }

    /// Time for which a watcher's question waits at the store.
    pub fn wait(&self) -> Duration {
        self.fresh().mul_f64(WAIT_PART)
    }
}

/// What a node says of a table to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableWord {
    /// Version of the last change that the node has; zero for none.
    pub version: u64,
    /// Version of the store up to which that is the last change.
    pub store_version: u64,
    /// Milliseconds since the store confirmed that there is nothing newer; absent where it never did.
    pub age_millis: Option<u32>,
}

impl TableWord {
    /// The word of a node that has everything up to a version.
    pub fn of_version(self, version: u64) -> Self {
        Self { version, ..self }
    }
}

/// A node's part in watching a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// It always has a question at the store.
    Watches,
    /// It asks where messages do not bring a change at once.
    Asks,
    /// It is one of the few that watch for all, and the store did not answer its last question: it asks again until the
    /// store does, however fresh the words of others keep it.
    Regains,
    /// It asks where neither messages nor snapshots of others bring a change: in a large fleet the questions of all
    /// would cost the store more than they are worth.
    AsksLast,
    /// It needs the table only while it hears none of those that watch it, and asks only then.
    Relies,
    /// It does not know the other nodes yet, so that it can't tell what is its to do; it asks if it does not learn so soon.
    AwaitsNodes,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Ask the store for changes; the question may wait there so long.
    Ask(Duration),
    /// Do nothing for so long, or until something newer is heard of.
    Rest(Duration),
}

/// One node's part in watching one table.
#[derive(Clone, Copy, Debug)]
pub struct SharedWatch {
    settings: SharedWatchSettings,
    store_version: u64,
    confirmed_at: Option<MonotonicTime>,
    answered_at: Option<MonotonicTime>,
    lacking: Option<Lacking>,
    /// Newest version that a question was asked for and that its answer did not bring, as far as others' words tell.
    asked_for: u64,
    /// When another node's word was last heard.
    heard_at: MonotonicTime,
}

/// Something newer that another node has.
#[derive(Clone, Copy, Debug)]
struct Lacking {
    since: MonotonicTime,
    version: u64,
}

impl SharedWatch {
    /// Nothing is confirmed yet.
    pub fn new(settings: SharedWatchSettings) -> Self {
        Self {
            settings,
            store_version: 0,
            confirmed_at: None,
            answered_at: None,
            lacking: None,
            asked_for: 0,
            heard_at: MonotonicTime::default(),
        }
    }

    /// Notes that the store answered a question up to a version of its own, with changes or without.
    pub fn on_store_answer(&mut self, store_version: u64, now: MonotonicTime) {
        self.store_version = self.store_version.max(store_version);
        self.confirmed_at = Some(now);
        self.answered_at = Some(now);
        self.asked_for = self.lacking.take().map_or(0, |lacking| lacking.version);
    }

    /// Takes another node's word, where this node has everything up to `own_version`.
    pub fn on_word(&mut self, word: TableWord, own_version: u64, now: MonotonicTime) {
        self.heard_at = self.heard_at.max(now);
        if word.version > own_version {
            return self.lacks(word.version, now);
        }
        if StorePosition::era_of(word.store_version) < StorePosition::era_of(self.store_version) {
            return;
        }
        self.store_version = self.store_version.max(word.store_version);
        let age = word.age_millis.map(|age| Duration::from_millis(age.into()));
        let confirmed = age.and_then(|age| now.earlier(age));
        self.confirmed_at = self.confirmed_at.max(confirmed);
    }

    /// A version that a question has been asked for in vain means that changes were missed: everything is read anew.
    fn lacks(&mut self, version: u64, now: MonotonicTime) {
        if self.asked_for >= version {
            self.store_version = 0;
        }
        let lacking = self.lacking.get_or_insert(Lacking { since: now, version });
        lacking.version = lacking.version.max(version);
    }

    /// Notes that what was lacking has come from another node.
    pub fn on_caught_up(&mut self) {
        self.lacking = None;
    }

    /// Forgets what is confirmed, so that everything is read anew at once.
    pub fn read_anew(&mut self) {
        self.on_history_gone();
        self.confirmed_at = None;
        self.heard_at = MonotonicTime::default();
    }

    /// What this node says to others, but for the version that it has.
    ///
    /// The version must be read after this: read before it, a change in between would make the node claim that the
    /// older version is the last one up to a version of the store that has the newer, and others would miss it.
    pub fn word(&self, now: MonotonicTime) -> TableWord {
        let age = self.confirmed_at.map(|at| now.since(at).as_millis());
        TableWord {
            version: 0,
            store_version: self.store_version,
            age_millis: age.and_then(|age| u32::try_from(age).ok()),
        }
    }

    /// Version of the store from which the next question goes on; zero where everything must be read.
    pub fn store_version(&self) -> u64 {
        self.store_version
    }

    /// Forgets up to which version of the store changes are known, so that everything is read anew.
    pub fn on_history_gone(&mut self) {
        self.store_version = 0;
    }

    /// Time since the store confirmed what this node has, to it or to others.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// What to do next; time is counted from the start of the process.
    pub fn next(&self, role: WatchRole, now: MonotonicTime) -> WatchStep {
        let start = MonotonicTime::default();
        // Until something was confirmed, a node asks at once, or waits for those that watch to be heard after its start.
        let first_due = match role {
            WatchRole::Watches => return WatchStep::Ask(self.settings.wait()),
            WatchRole::Regains => return WatchStep::Ask(Duration::ZERO),
            WatchRole::Asks => now,
            WatchRole::AsksLast => start + self.settings.fresh(),
            WatchRole::AwaitsNodes => start + NODES_KNOWN_WITHIN,
            WatchRole::Relies => self.heard_at + self.settings.fresh(),
        };
        let due = if role == WatchRole::Relies {
            first_due
        } else {
            let fresh_until = self.confirmed_at.map(|at| at + self.settings.fresh());
            let due = fresh_until.unwrap_or(first_due);
            self.lacking_due(role).map_or(due, |lacking| lacking.min(due))
        };
        if due <= now {
            WatchStep::Ask(Duration::ZERO)
        } else {
            WatchStep::Rest(due.since(now))
        }
    }

    fn lacking_due(&self, role: WatchRole) -> Option<MonotonicTime> {
        let hear_first = match role {
            WatchRole::Watches | WatchRole::Regains | WatchRole::Asks | WatchRole::AwaitsNodes => HEAR_FIRST,
            WatchRole::AsksLast | WatchRole::Relies => {
                Duration::from_millis(self.settings.bound_millis).mul_f64(HEAR_FIRST_PART)
            }
        };
        let heard = self.lacking?.since + hear_first;
        let again = self.answered_at.map(|at| at + ASK_AGAIN);
        Some(again.map_or(heard, |again| heard.max(again)))
    }
}
