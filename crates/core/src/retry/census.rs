//! Who shares a budget for repeats, and what of it processes that are gone may have granted: what one node makes of the
//! words of others.
//!
//! Everybody tells how much of its part it has granted, before it grants much more, and which nodes it has heard itself.
//! So of a node that was killed others know what it granted. In a large fleet only a few nodes hear everybody, and the
//! others go by what those tell. A node never tells on what it was told: an old word would keep itself alive.

use super::sharing::{Sharers, WHOLE};
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a node tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharingWord {
    /// Time until the sender knows all that it granted within a window; zero: it does.
    pub settles_in_millis: u32,
    /// What the sender has granted within the window, at most, in hundredths of its whole part.
    pub granted_hundredths: u32,
    /// The nodes that the sender has heard itself; absent while it does not know how many there are.
    pub sharers: Option<Sharers>,
}

/// How long nodes may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silences {
    /// After so long a node may be gone; longer than the time between two words of it.
    pub alive: Duration,
    /// After so long what it told of others no longer counts.
    pub told: Duration,
    /// Length of the budget's window: after so long, what a silent node granted lies outside.
    pub window: Duration,
}

/// This node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnWord {
    /// Nodes in all, itself included; absent until the store has listed them.
    pub nodes: Option<u32>,
    /// Since when it has heard every node that speaks; absent while it hears only some.
    pub hears_all_since: Option<MonotonicTime>,
    /// Whether it knows all that was granted in its name within the window.
    pub is_settled: bool,
}

/// A process that is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PastLife {
    last_heard_at: MonotonicTime,
    granted_hundredths: u32,
}

/// Most past lives of one node that are kept; a process takes longer to start than would let more matter.
const MOST_PAST_LIVES: usize = 8;

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownPeer {
    /// When it was last heard, or first listed where it never was.
    known_at: MonotonicTime,
    /// What it told last, with the number of its start; absent where it was never heard.
    word: Option<(u64, SharingWord)>,
    past: Vec<PastLife>,
}

impl KnownPeer {
    /// A node that was listed, or is about to be heard.
    pub fn listed(now: MonotonicTime) -> Self {
        Self {
            known_at: now,
            word: None,
            past: Vec::new(),
        }
    }

    /// Takes its word, from a process with the given number of its start.
    pub fn hear(&mut self, start: u64, word: SharingWord, now: MonotonicTime) {
        if let Some((earlier, last)) = self.word
            && earlier != start
        {
            self.past.push(PastLife {
                last_heard_at: self.known_at,
                granted_hundredths: last.granted_hundredths,
            });
            let surplus = self.past.len().saturating_sub(MOST_PAST_LIVES);
            self.past.drain(..surplus);
        }
        self.word = Some((start, word));
        self.known_at = now;
    }

    fn is_alive(&self, silences: &Silences, now: MonotonicTime) -> bool {
        now.since(self.known_at) < silences.alive
    }

    /// Whether it has certainly granted nothing within the window: it has been silent throughout, for somebody who would
    /// have heard it.
    fn is_gone(&self, hears_all_since: MonotonicTime, silences: &Silences, now: MonotonicTime) -> bool {
        let silent_since = self.known_at.max(hears_all_since);
        now.since(silent_since) >= silences.window.max(silences.alive)
    }

    /// What processes of this node that are gone granted within the window, at most, in hundredths of its whole part.
    fn forgotten(&self, hears_long: bool, silences: &Silences, now: MonotonicTime) -> u32 {
        let Some((_, word)) = self.word else {
            return WHOLE;
        };
        let recent = self
            .past
            .iter()
            .filter(|life| now.since(life.last_heard_at) < silences.window);
        let known: u32 = recent.clone().map(|life| life.granted_hundredths).sum();
        if !self.is_alive(silences, now) {
            return (known + word.granted_hundredths).min(WHOLE);
        }
        let settled_at = self.known_at + Duration::from_millis(u64::from(word.settles_in_millis));
        if settled_at <= now {
            return 0;
        }
        let knows_past = hears_long || recent.count() > 0;
        if knows_past { known.min(WHOLE) } else { WHOLE }
    }
}

/// The nodes as this one has heard them itself; absent while it does not know how many there are.
pub fn heard(own: OwnWord, peers: &[&KnownPeer], silences: &Silences, now: MonotonicTime) -> Option<Sharers> {
    let nodes = own.nodes?;
    let is_gone = |peer: &KnownPeer| {
        own.hears_all_since
            .is_some_and(|since| peer.is_gone(since, silences, now))
    };
    let present: Vec<&KnownPeer> = peers.iter().copied().filter(|peer| !is_gone(peer)).collect();
    let gone = (peers.len() - present.len()) as u32;
    let hears_long = own
        .hears_all_since
        .is_some_and(|since| now.since(since) >= silences.window);
    let forgotten = present
        .iter()
        .map(|peer| peer.forgotten(hears_long, silences, now));
    let own_forgotten = if own.is_settled { 0 } else { WHOLE };
    let unknown = nodes.saturating_sub(peers.len() as u32 + 1) * WHOLE;
    Some(Sharers {
        nodes,
        present: nodes.saturating_sub(gone),
        forgotten_hundredths: forgotten.sum::<u32>() + own_forgotten + unknown,
    })
}

/// The nodes as they were heard by whoever knows most of them: this node, or one that spoke lately. Whoever did not hear a
/// node takes it for one that granted its whole part and was killed, so the calmest word knows most.
pub fn believed(
    own: OwnWord,
    peers: &[&KnownPeer],
    silences: &Silences,
    now: MonotonicTime,
) -> Option<Sharers> {
    let fresh = peers
        .iter()
        .filter(|peer| now.since(peer.known_at) < silences.told);
    let told = fresh.filter_map(|peer| peer.word.and_then(|(_, word)| word.sharers));
    let all: Vec<Sharers> = heard(own, peers, silences, now).into_iter().chain(told).collect();
    let nodes = all.iter().map(|sharers| sharers.nodes).max()?;
    let calmest = all.into_iter().reduce(Sharers::calmer)?;
    Some(Sharers { nodes, ..calmest })
}
