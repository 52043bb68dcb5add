//! The nodes that share the budgets for repeats, as this node and others have heard them.

use super::{HEARD_LATELY, Known, Peers, Placing};
use shelfjunction_core::identity::NodeId;
use shelfjunction_core::retry::census::{self, KnownPeer, OwnWord, Silences};
use shelfjunction_core::retry::sharing::Sharers;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Silence after which a node of a large fleet may be gone: one that is no placer speaks every 2 s, and one of its words
/// may be lost.
const SILENCE_IN_LARGE_FLEET: Duration = Duration::from_millis(4_500);

/// Names taken off the list at once; the store takes a hundred rows in a call.
const MOST_REMOVED: usize = 50;

impl Known {
    fn known_peers(&self) -> Vec<&KnownPeer> {
        self.peers.values().map(|peer| &peer.sharing).collect()
    }

    fn own_word(&self, settles_in: Duration) -> OwnWord {
        OwnWord {
            nodes: self.knows_number().then(|| self.nodes()),
            hears_all_since: self.hears_all_since,
            is_settled: settles_in.is_zero(),
        }
    }
}

impl Peers {
    /// The nodes as this one has heard them itself; absent until the list was read. Asked whenever there is something to
    /// tell, which is how it is noticed that this node begins to hear everybody, or no longer does.
    pub(crate) fn sharers_heard(&self, settles_in: Duration, now: MonotonicTime) -> Option<Sharers> {
        let placing = self.placing(now);
        let silences = self.silences(&placing);
        let mut known = lock(&self.known);
        if !placing.shares_duty(self.own.node) {
            known.hears_all_since = None;
        } else if known.hears_all_since.is_none() {
            known.hears_all_since = Some(now);
        }
        census::heard(known.own_word(settles_in), &known.known_peers(), &silences, now)
    }

    /// The nodes as they were heard by whoever hears most of them.
    pub(crate) fn sharers(&self, settles_in: Duration, now: MonotonicTime) -> Option<Sharers> {
        let silences = self.silences(&self.placing(now));
        let known = lock(&self.known);
        census::believed(known.own_word(settles_in), &known.known_peers(), &silences, now)
    }

    /// Some of the nodes that have said nothing for so long to this one, which would have heard them.
    pub(super) fn silent_for(&self, silence: Duration, now: MonotonicTime) -> Vec<NodeId> {
        let known = lock(&self.known);
        let Some(hears_all_since) = known.hears_all_since else {
            return Vec::new();
        };
        let silent = known
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.known_at.max(hears_all_since)) >= silence);
        silent.map(|(node, _)| node.clone()).take(MOST_REMOVED).collect()
    }

    pub(super) fn silences(&self, placing: &Placing) -> Silences {
        let alive = match placing {
            Placing::Each => HEARD_LATELY,
            Placing::Placers(_) => SILENCE_IN_LARGE_FLEET,
        };
        Silences {
            alive,
            told: HEARD_LATELY,
            window: self.budget_window,
        }
    }
}
