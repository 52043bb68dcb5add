//! Tells other nodes of engines' rate limits, and hears of them.
//!
//! A node that hears of a new limit, or of the end of one, tells others at once, so that all know it a moment later; what
//! stands is told again, for nodes that have come or were cut off. In a small fleet everybody tells everybody. In a large
//! one nodes tell the placers what answers to them said, and placers tell all.

use super::log_limit;
use crate::context::Context;
use crate::peers::{Placing, announce_topology};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::rate_limit::LimitNotice;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::rate_messages::{LimitMessage, MOST_NOTICES, RateDatagram};
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time after which limits are told again.
const AGAIN: Duration = Duration::from_millis(700);

/// Least time between two messages, for engines whose limit changes with each answer.
const LEAST_PAUSE: Duration = Duration::from_millis(100);

/// A node of a large fleet to which a placer is far hears it once in so many rounds.
const FAR_ROUNDS: u32 = 8;

/// Messages of one round; of more limits the others follow in the next rounds.
const MOST_MESSAGES: usize = 4;

/// When others were told last.
#[derive(Default)]
pub(crate) struct LimitSender {
    /// The last look at whether there is something to tell.
    looked_at: Option<MonotonicTime>,
    rounds: u32,
    /// How many limits were told of those that did not fit into one round.
    told: usize,
}

impl LimitSender {
    /// Tells others what there is to tell; the time after which there may be more.
    pub(crate) fn tell(&mut self, context: &Context) -> Duration {
        let now = context.now();
        let since = self.looked_at.map(|at| now.since(at));
        if since.is_some_and(|since| since < LEAST_PAUSE) {
            return LEAST_PAUSE;
        }
        let is_news = context.rate_limits.has_news.swap(false, Ordering::AcqRel);
        if !is_news && since.is_some_and(|since| since < AGAIN) {
            return AGAIN;
        }
        self.looked_at = Some(now);
        let (to, named_here) = self.audience(context, is_news, now);
        let notices = lock(&context.router).limit_notices(named_here, now);
        // A node off duty that has nothing to add says nothing: a thousand would do so at the same moment. Tenants' buckets are
        // owned by nodes that speak of limits, so the nodes of a small fleet say that they do where tenants have rates.
        let has_tenant_rates = context
            .forwarding()
            .is_some_and(|config| config.has_tenant_rates());
        if notices.is_empty() && (named_here || !(is_news || has_tenant_rates)) {
            return Duration::MAX;
        }
        self.rounds += 1;
        for part in self.due(&notices) {
            send(context, part, &to);
        }
        AGAIN
    }

    /// Who is told, and whether only of what answers to this node have said.
    fn audience(&self, context: &Context, is_news: bool, now: MonotonicTime) -> (Vec<SocketAddr>, bool) {
        match context.peers.placing(now) {
            Placing::Each => (context.peers.addresses(now), false),
            Placing::Placers(placers) if placers.includes(context.peers.own_handle()) => {
                let is_for_all = is_news || self.rounds.is_multiple_of(FAR_ROUNDS);
                let to = if is_for_all {
                    context.peers.addresses(now)
                } else {
                    context.peers.notified_often(now)
                };
                (to, false)
            }
            Placing::Placers(_) => (context.peers.told(now), true),
        }
    }

    /// The notices of this round: all, or in turn as many as fit.
    fn due<'w>(&mut self, notices: &'w [LimitNotice]) -> Vec<&'w [LimitNotice]> {
        let parts: Vec<&[LimitNotice]> = notices.chunks(MOST_NOTICES).collect();
        if parts.len() <= MOST_MESSAGES {
            // Without notices the message says that this node speaks of limits.
            return if parts.is_empty() { vec![notices] } else { parts };
        }
        let first = self.told % parts.len();
        self.told = first + MOST_MESSAGES;
        parts
            .into_iter()
            .cycle()
            .skip(first)
            .take(MOST_MESSAGES)
            .collect()
    }
}

fn send(context: &Context, notices: &[LimitNotice], to: &[SocketAddr]) {
    let message = LimitMessage {
        node: context.config.node.clone(),
        start: context.start,
        owns_slots: !context.state.is_stopping(),
        notices: notices.to_vec(),
    };
    if let Some(bytes) = RateDatagram::Limits(Box::new(message)).encode() {
        to.iter().for_each(|peer| context.peers.send(&bytes, *peer));
    }
    // Who may own slots has to be known to belong to a region, or it counts as an owner in each.
    announce_topology(context, to);
}

/// Tells a placer what is known of an engine's limit, and when it has a slot.
pub(crate) fn notify_placer(context: &Context, engine: &EngineId, placer: SocketAddr) {
    let now = context.now();
    let notice = lock(&context.router)
        .engine(engine)
        .and_then(|state| state.limit_notice(now));
    send(context, notice.as_slice(), &[placer]);
}

/// Takes another node's message. One that was not known to speak of limits may have started a moment ago, and is told at once what
/// stands, and that this node speaks of limits too.
pub(crate) fn receive_message(context: &Context, message: &LimitMessage, from: SocketAddr) {
    if message.node == context.config.node {
        return;
    }
    let is_new = context
        .peers
        .note_speaks_of_limits(&message.node, message.start, message.owns_slots);
    receive_notices(context, &message.notices, "peer");
    if is_new {
        let notices = lock(&context.router).limit_notices(false, context.now());
        let parts = notices.chunks(MOST_NOTICES).take(MOST_MESSAGES);
        parts.for_each(|part| send(context, part, &[from]));
    }
}

/// Takes notices of other nodes.
pub(super) fn receive_notices(context: &Context, notices: &[LimitNotice], source: &str) {
    let now = context.now();
    let mut is_news = false;
    for notice in notices {
        let mut router = lock(&context.router);
        if let Some(state) = router.on_limit_notice(notice, now) {
            log_limit(&state.engine.id, notice.limit, source);
            is_news = true;
        }
    }
    if is_news {
        context.rate_limits.note_news(context);
    }
}
