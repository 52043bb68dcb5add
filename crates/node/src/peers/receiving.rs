//! Takes the words of other nodes.

use super::placers::Placing;
use super::region_sums;
use super::sending::announce_topology;
use super::{Behind, Peer};
use crate::belief_log;
use crate::context::Context;
use crate::engine_signals;
use crate::metering;
use crate::placing;
use crate::quarantine;
use crate::rate_limits;
use crate::relay;
use crate::spill;
use crate::streams;
use crate::tenant_rates;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::routing::pool::ListUpdate;
use shelfjunction_core::sharing::UseWord;
use shelfjunction_protocol::node_words::{Datagram, MOST_RECEIVED, WorkMessage};
use shelfjunction_protocol::quarantine_messages::QuarantineDatagram;
use shelfjunction_protocol::rate_messages::RateDatagram;
use shelfjunction_protocol::relay_messages::RelayDatagram;
use shelfjunction_protocol::signal_messages::SignalDatagram;
use shelfjunction_protocol::spill_messages::SpillDatagram;
use shelfjunction_protocol::stream_messages::StreamDatagram;
use shelfjunction_protocol::tenant_loan_messages::TenantLoanDatagram;
use shelfjunction_protocol::tenant_rate_messages::TenantRateDatagram;
use shelfjunction_protocol::topology_messages::TopologyDatagram;
use shelfjunction_protocol::usage_messages::UsageDatagram;
use shelfjunction_threads::lock;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Pause after the socket failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Hears other nodes as long as the process runs.
pub(crate) fn hear(context: &Context, socket: &UdpSocket) {
    let mut bytes = [0; MOST_RECEIVED];
    loop {
        match socket.recv_from(&mut bytes) {
            Ok((length, from)) => match Datagram::decode(&bytes[..length]) {
                Some(Datagram::Work(message)) => take(context, *message, from),
                Some(Datagram::Question(question)) => placing::answer(context, &question, from),
                Some(Datagram::Answer(answer)) => context.placements.on_answer(*answer),
                Some(Datagram::Progress(report)) => placing::take_progress(context, &report),
                Some(Datagram::LivenessQuestion(question)) => {
                    placing::answer_liveness(context, question, from);
                }
                Some(Datagram::LivenessAnswer(answer)) => context.placements.on_liveness(answer),
                Some(Datagram::Usage(message)) => metering::take(context, &message),
                Some(Datagram::Suspects(reports)) => quarantine::merge_reports(context, &reports, from),
                Some(Datagram::Trial(report)) => quarantine::merge_trial(context, &report),
                Some(Datagram::Use(word)) => take_use(context, &word),
                None => take_later_format(context, &bytes[..length], from),
            },
            Err(error) => {
                log::debug!(error:% = error; "peer_socket_failed");
                context.stop.wait(PAUSE);
            }
        }
    }
}

/// Takes a datagram of a format that not every build knows.
fn take_later_format(context: &Context, bytes: &[u8], from: SocketAddr) {
    if let Some(datagram) = RateDatagram::decode(bytes) {
        return take_rate_datagram(context, datagram, from);
    }
    if let Some(datagram) = TenantRateDatagram::decode(bytes) {
        return tenant_rates::receive(context, datagram, from);
    }
    if let Some(datagram) = TopologyDatagram::decode(bytes) {
        return take_topology_datagram(context, datagram, from);
    }
    if let Some(datagram) = SpillDatagram::decode(bytes) {
        return spill::receive(context, datagram, from);
    }
    if let Some(datagram) = RelayDatagram::decode(bytes) {
        return relay::receive(context, datagram, from);
    }
    if let Some(datagram) = TenantLoanDatagram::decode(bytes) {
        return tenant_rates::receive_loan(context, datagram, from);
    }
    if let Some(datagram) = QuarantineDatagram::decode(bytes) {
        return quarantine::merge_confirmations(context, datagram, from);
    }
    if let Some(datagram) = UsageDatagram::decode(bytes) {
        return metering::receive(context, datagram, from);
    }
    if let Some(datagram) = StreamDatagram::decode(bytes) {
        return streams::receive(context, datagram, from);
    }
    match SignalDatagram::decode(bytes) {
        Some(message) => engine_signals::on_message(context, &message, from),
        None => log::debug!(from:% = from, length = bytes.len(); "datagram_unreadable"),
    }
}

fn take_topology_datagram(context: &Context, datagram: TopologyDatagram, from: SocketAddr) {
    match datagram {
        TopologyDatagram::Zone(announcement) => {
            context.note_node_zone(&announcement.node, &announcement.zone);
            context.peers.note_zone(&announcement.node, announcement.zone);
        }
        TopologyDatagram::Prefixes(updates) => {
            lock(&context.router).on_distant_prefixes(&updates, context.now());
        }
        TopologyDatagram::Sums(report) => region_sums::take(context, *report, from),
        TopologyDatagram::Topology(announcement) => {
            context.note_node_zone(&announcement.node, &announcement.zone);
            context.peers.note_topology(announcement);
        }
    }
}

fn take_rate_datagram(context: &Context, datagram: RateDatagram, from: SocketAddr) {
    match datagram {
        RateDatagram::Limits(message) => rate_limits::receive_message(context, &message, from),
        RateDatagram::Question(question) => rate_limits::answer_question(context, &question, from),
        RateDatagram::Answer(answer) => context.rate_limits.on_answer(answer),
    }
}

fn take(context: &Context, message: WorkMessage, from: SocketAddr) {
    let now = context.now();
    if message.node == context.config.node {
        return;
    }
    let position = (message.start, message.number);
    let is_new_start;
    {
        let mut known = lock(&context.peers.known);
        let peer = known
            .peers
            .entry(message.node.clone())
            .or_insert_with_key(|node| {
                log::info!(peer = node.as_str(), address:% = from; "peer_heard");
                Peer::new(node, from, now)
            });
        if peer
            .last_message
            .is_some_and(|last| last.0 == position.0 && last.1 >= position.1)
        {
            return;
        }
        is_new_start = peer.last_message.is_none_or(|last| last.0 != position.0);
        peer.address = from;
        peer.known_at = now;
        peer.store_answers = message.store_answers;
        peer.holds_lease = message.holds_lease;
        peer.places = message.places;
        peer.limits.hear_slice(message.start, message.slice);
        peer.accepts_sparse_reports = message.slice.accepts_sparse_reports()
            || (peer.accepts_sparse_reports && peer.last_message.is_some_and(|last| last.0 == message.start));
        peer.last_message = Some(position);
        peer.told_nodes = message.nodes;
        peer.cordons = message.cordons;
        peer.sharing.hear(message.start, message.sharing, now);
    }
    if is_new_start {
        // It has forgotten this node's zone, and would take this node for one of its region until the next announcement.
        announce_topology(context, &[from]);
    }
    let handle = SubjectHandle::of_text("node", message.node.as_str());
    if message.places
        && let Some(region) = context.peers.region_of(handle)
    {
        lock(&context.router).on_region_heard(&region, now);
    }
    lock(&context.fleet_clock).observe(handle, message.unix, now);
    take_list_news(context, message.list_news, from);
    let config_version = context.forwarding().map_or(0, |config| config.version);
    context.config_watch.on_word(message.config, config_version, now);
    let list_version = lock(&context.listing).applied_version();
    context.list_watch.on_word(message.list, list_version, now);
    let versions = Behind {
        peer: from,
        config_version: message.config.version,
        list_version: message.list.version,
        cordons: message.cordons,
    };
    context.peers.note_versions(context, versions);
    let in_large_fleet = !message.silences.is_empty() && context.peers.placing(now) != Placing::Each;
    let mut router = lock(&context.router);
    router.on_peer_load(&message.node, message.slice, &message.work, now);
    router.on_prefix_updates(&message.news, now);
    router.on_pace_reports(&message.paces, now);
    router.on_peer_demand(&message.node, message.prompt_tokens_per_second, now);
    router.on_stage_orders(&message.orders, now);
    router.on_unanswered_request_reports(&message.silences, in_large_fleet, now);
    drop(router);
    if !message.silences.is_empty() || !message.news.is_empty() {
        belief_log::tell_changes(context);
    }
}

fn take_use(context: &Context, word: &UseWord) {
    if word.node == context.peers.own_handle() {
        return;
    }
    let settings = &context.config.admission.sharing;
    let now = context.now();
    let mut router = lock(&context.router);
    if !router.sharing_mut().on_word(word, settings, now) {
        log::debug!(number = word.number; "use_word_passed_over");
    }
}

fn take_list_news(context: &Context, news: ListUpdate, from: SocketAddr) {
    let has_changed = context.update_list(&format!("peer {from}"), |listing| {
        let taken = news.apply_to(listing);
        if !taken.is_empty() {
            lock(&context.recent_changes).reset();
        }
        taken
    });
    if has_changed {
        context.list_watch.on_caught_up();
    }
}
