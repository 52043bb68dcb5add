//! Tells other nodes of requests under which engines crashed, and hears of them.
//!
//! In a small fleet everybody tells everybody. In a large one nodes tell the placers of the crashes that they have seen, and
//! placers tell all of the requests that don't run as any other.

use crate::context::Context;
use crate::peers::{Datagram, MOST_SUSPECTS, Placing};
use shelfjunction_core::quarantine::word::{SuspectWord, TrialWord};
use shelfjunction_core::quarantine::{Standing, Told};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which news is told again. Eight times fit into the time for which something is news, so that of ten nodes, with
/// three words in ten lost, one in some 1,500 misses all of one other's.
const NEWS_AGAIN: Duration = Duration::from_millis(300);

/// Time after which all that is restricted is told again, for nodes that have come, or were cut off, since it was news.
const ALL_AGAIN: Duration = Duration::from_secs(3);

/// When others were told last.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// Whether something is new since.
    fresh: bool,
    news_at: Option<MonotonicTime>,
    all_at: Option<MonotonicTime>,
}

impl Pace {
    pub(super) fn note_fresh(&mut self) {
        self.fresh = true;
    }

    fn news_is_due(&mut self, now: MonotonicTime) -> bool {
        let due = self.fresh || self.news_at.is_none_or(|at| now.since(at) >= NEWS_AGAIN);
        if due {
            self.fresh = false;
            self.news_at = Some(now);
        }
        due
    }

    fn all_is_due(&mut self, now: MonotonicTime) -> bool {
        let due = self.all_at.is_none_or(|at| now.since(at) >= ALL_AGAIN);
        if due {
            self.all_at = Some(now);
        }
        due
    }
}

/// Tells others what there is to tell; the time after which there may be more.
pub(crate) fn tell(context: &Context) -> Duration {
    let suspects = &context.suspects;
    if suspects.remembers_nothing() {
        return Duration::MAX;
    }
    let now = context.now();
    let has_news = suspects.with_register(|register| {
        register.forget(now);
        register.has_news(now)
    });
    let (news, all) = {
        let mut pace = lock(&suspects.pace);
        (has_news && pace.news_is_due(now), pace.all_is_due(now))
    };
    let words = |told| lock(&suspects.register).words(told, now);
    let everybody = || context.peers.addresses(now);
    let placers = || context.peers.told(now);
    match context.peers.placing(now) {
        Placing::Each => {
            send(context, news, || words(Told::News), &everybody());
            send(context, all, || words(Told::Restricted), &everybody());
        }
        Placing::Placers(set) if set.includes(context.peers.own_handle()) => {
            send(context, news, || words(Told::SeenHere), &placers());
            send(context, news, || words(Told::RestrictedNews), &everybody());
            send(context, all, || words(Told::Restricted), &everybody());
        }
        Placing::Placers(_) => send(context, news, || words(Told::SeenHere), &placers()),
    }
    if has_news { NEWS_AGAIN } else { ALL_AGAIN }
}

fn send(context: &Context, due: bool, words: impl FnOnce() -> Vec<SuspectWord>, to: &[SocketAddr]) {
    if !due {
        return;
    }
    for part in words().chunks(MOST_SUSPECTS) {
        if let Some(bytes) = Datagram::Suspects(part.to_vec()).encode() {
            to.iter().for_each(|peer| context.peers.send(&bytes, *peer));
        }
    }
}

/// Takes another node's words.
pub(crate) fn take(context: &Context, words: &[SuspectWord], from: SocketAddr) {
    let now = context.now();
    for word in words {
        let changed = context
            .suspects
            .with_register(|register| register.take(word, now));
        let Some(standing) = changed else { continue };
        log::info!(
            fingerprint:% = word.fingerprint,
            route:% = word.asked.route,
            crashes = standing.crashes(),
            standing = standing.name(),
            from:% = from;
            "suspect_heard"
        );
        if !matches!(standing, Standing::Free { .. }) {
            lock(&context.suspects.pace).note_fresh();
            context.peers.note_urgent();
        }
    }
}

/// Takes another node's word of a trial.
pub(crate) fn take_trial(context: &Context, word: &TrialWord) {
    lock(&context.suspects.trials).take(word, context.now());
}

/// Tells every node of a trial.
pub(super) fn tell_trial(context: &Context, word: TrialWord) {
    if let Some(bytes) = Datagram::Trial(Box::new(word)).encode() {
        for peer in context.peers.addresses(context.now()) {
            context.peers.send(&bytes, peer);
        }
    }
}
