//! Tells other nodes of this node's work.

use super::Peers;
use super::placers::Placing;
use super::region_sums::SumSender;
use super::use_words::UseTeller;
use crate::context::Context;
use crate::cordons;
use crate::engine_signals::AnnouncementSender;
use crate::quarantine;
use crate::rate_limits;
use crate::streams;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::routing::pool::{PaceReports, PeerLoad, PeerLoadSlice, PrefixUpdate};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::node_words::{
    Datagram, MOST_CHANGES, MOST_CHANGES_ALONE, MOST_ENGINES, MOST_FIGURES, MOST_LASTING, MOST_NEWS,
    MOST_SILENCES, WorkMessage,
};
use shelfjunction_protocol::topology_messages::{MAX_PREFIX_UPDATES, TopologyAnnouncement, TopologyDatagram};
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::Duration;

/// Least time between two messages to everybody.
const LEAST_PAUSE: Duration = Duration::from_millis(20);

/// Time for which changes that can wait are gathered: work that ended, and what engines came to hold.
const GATHER: Duration = Duration::from_millis(120);

/// Time after which the work is told again though it has not changed.
const TELL_AGAIN: Duration = Duration::from_millis(700);

/// Time after which a placer tells everybody that it lives; several fit into the silence that it may keep.
const PLACER_TELLS_AGAIN: Duration = Duration::from_millis(500);

/// A node to which a placer is far hears it once in so many rounds.
const FAR_ROUNDS: u32 = 8;

/// Time after which a node of a large fleet that is no placer tells the placers of itself, so that they know whom to
/// tell, and notice soon that one is gone whose callers' requests come to others, who earn repeats from them.
const OTHERS_TELL_AGAIN: Duration = Duration::from_secs(2);

/// Least time between two messages of a placer to the whole of a large fleet.
const LEAST_PAUSE_TO_ALL: Duration = Duration::from_millis(200);

/// An idle node tells of itself once in so many rounds.
const IDLE_ROUNDS: u32 = 2;

/// Datagrams about work that a node sends in a second; with more peers it tells of changes less often.
const DATAGRAMS_PER_SECOND: u32 = 600;

/// Messages to everybody that may follow on each other at [`LEAST_PAUSE`] after a quiet time.
const MOST_SAVED: u32 = 4;

/// Engines in one slice on average; fewer than fit, since the slices differ in size.
const ENGINES_PER_SLICE: usize = 20;

/// Time between two messages that tell of some engines' lasting speeds: those of a hundred engines pass in five seconds,
/// and take 260 bytes a second to each placer.
const LASTING_AGAIN: Duration = Duration::from_millis(200);

/// Time after which the topology is announced again, a little less than the time between two messages to far nodes.
const ANNOUNCE_AGAIN: Duration = Duration::from_millis(3_500);

/// Time after which a slice is told again though it has not changed.
const SLICE_AGAIN: Duration = Duration::from_millis(400);

/// Tells other nodes as long as the process runs.
pub(crate) fn tell(context: &Context) {
    let mut teller = Teller::new(context);
    loop {
        let confirmed = context.peers.wait_for_change(teller.tells_again);
        context.stream_origins.note_running(context.now());
        let pause = teller.round(confirmed);
        context.drop_unconfirmed_engines();
        teller.use_teller.tell(context, context.now());
        log_pace_changes(context);
        log_working_set(context);
        let tells_again = quarantine::notify_peers(context)
            .min(teller.limit_sender.tell(context))
            .min(teller.announcement_sender.send(context))
            .min(teller.sum_sender.send(context));
        teller.tells_again = teller.tells_again.min(tells_again);
        context.stop.wait(pause);
    }
}

/// One line for each engine whose lasting speed is believed to have changed; the router gathers a bounded number.
fn log_pace_changes(context: &Context) {
    let changes = lock(&context.router).take_pace_changes();
    for change in changes {
        log::info!(
            engine = change.engine.as_str(),
            before_percent = (change.before * 100.0) as u64,
            after_percent = (change.after * 100.0) as u64,
            observations = change.weight as u64;
            "engine_pace_changed"
        );
    }
}

/// One line for each group of engines of which more or fewer are in use; the router gathers a bounded number.
fn log_working_set(context: &Context) {
    let changes = lock(&context.router).take_working_set_changes();
    for change in changes {
        log::info!(
            pool:% = change.pool,
            zone = change.zone.as_str(),
            stage = change.stage.name(),
            in_use = change.in_use,
            reserve = change.reserve,
            wanted = change.wanted;
            "working_set_changed"
        );
    }
}

/// What was told, and when.
struct Teller<'a> {
    context: &'a Context,
    start: u64,
    number: u64,
    idle_rounds: u32,
    allowance: Allowance,
    tells_again: Duration,
    use_teller: UseTeller,
    limit_sender: rate_limits::LimitSender,
    announcement_sender: AnnouncementSender,
    sum_sender: SumSender,
    told_all_at: Option<MonotonicTime>,
    /// Versions of the configuration and the cordons that everybody was told.
    told_versions: (u64, u64),
    /// Rounds in which a placer told others that it lives.
    rounds_to_all: u32,
    told_slices: BTreeMap<PeerLoadSlice, (Vec<(SubjectHandle, PeerLoad)>, MonotonicTime)>,
    lasting_told_at: Option<MonotonicTime>,
    /// When the topology was last announced to each address.
    announced: BTreeMap<SocketAddr, MonotonicTime>,
    /// Digest that was announced.
    announced_digest: u64,
}

impl<'a> Teller<'a> {
    fn new(context: &'a Context) -> Self {
        Self {
            context,
            start: context.start,
            number: 0,
            idle_rounds: 0,
            allowance: Allowance::new(context.now()),
            tells_again: TELL_AGAIN,
            use_teller: UseTeller::default(),
            limit_sender: rate_limits::LimitSender::default(),
            announcement_sender: AnnouncementSender::default(),
            sum_sender: SumSender::default(),
            told_all_at: None,
            told_versions: (0, 0),
            rounds_to_all: 0,
            told_slices: BTreeMap::new(),
            lasting_told_at: None,
            announced: BTreeMap::new(),
            announced_digest: 0,
        }
    }

    /// Tells what there is to tell; the time until the next message may be sent.
    fn round(&mut self, confirmed: bool) -> Duration {
        let now = self.context.now();
        let own = self.context.peers.own_handle();
        match self.context.peers.placing(now) {
            Placing::Each => {
                self.tells_again = TELL_AGAIN;
                self.tell_of_work(confirmed, now)
            }
            Placing::Placers(placers) if placers.includes(own) => {
                self.tells_again = PLACER_TELLS_AGAIN;
                let pause = self.tell_of_work(false, now);
                self.tell_all(now);
                self.announce_prefixes(now);
                pause
            }
            Placing::Placers(_) => {
                self.tells_again = OTHERS_TELL_AGAIN;
                // The placers learn of silent engines from the requests that they placed.
                lock(&self.context.router).take_unanswered_request_reports(usize::MAX, now);
                self.tell_placers(confirmed, now)
            }
        }
    }

    /// Tells of the work at engines, in as many slices as it takes.
    fn tell_of_work(&mut self, confirmed: bool, now: MonotonicTime) -> Duration {
        let peers = self.context.peers.told_of_load(now);
        let work = lock(&self.context.router).own_load();
        let slices = work.len().div_ceil(ENGINES_PER_SLICE).max(1) as u16;
        let mut sent = 0;
        for index in 0..slices {
            let slice = PeerLoadSlice {
                index,
                slice_count: slices,
            };
            let works: Vec<_> = work
                .iter()
                .copied()
                .filter(|(handle, _)| slice.includes(*handle))
                .take(MOST_ENGINES)
                .collect();
            if index > 0 && !self.is_due(slice, &works, now) {
                continue;
            }
            let mut message = self.compose(slice, true, now);
            message.work = works.clone();
            {
                let mut router = lock(&self.context.router);
                message.news = router.take_prefix_updates(MOST_NEWS);
                message.silences = router.take_unanswered_request_reports(MOST_SILENCES, now);
            }
            message.paces = self.pace_words(now);
            self.told_slices.insert(slice, (works, now));
            if self.speaks(&message, confirmed) {
                self.send(&peers, message);
                sent += peers.len();
            }
        }
        self.told_slices.retain(|slice, _| slice.slice_count == slices);
        self.announce(&peers, now);
        self.allowance.spend(sent.max(peers.len()), now)
    }

    /// What is told of engines' paces: figures in every message, lasting speeds seldom.
    fn pace_words(&mut self, now: MonotonicTime) -> PaceReports {
        let mut router = lock(&self.context.router);
        let is_due = self
            .lasting_told_at
            .is_none_or(|at| now.since(at) >= LASTING_AGAIN);
        let most_lasting = if is_due { MOST_LASTING } else { 0 };
        if is_due {
            self.lasting_told_at = Some(now);
        }
        router.take_pace_reports(MOST_FIGURES, most_lasting, now)
    }

    /// Whether a slice has changed, or was last told a while ago.
    fn is_due(&self, slice: PeerLoadSlice, works: &[(SubjectHandle, PeerLoad)], now: MonotonicTime) -> bool {
        self.told_slices
            .get(&slice)
            .is_none_or(|(told, at)| told != works || now.since(*at) >= SLICE_AGAIN)
    }

    /// The first idle message says that the work has ended; later ones only keep the node known.
    fn speaks(&mut self, message: &WorkMessage, confirmed: bool) -> bool {
        let is_idle = is_idle(message) && !confirmed;
        self.idle_rounds = if is_idle { self.idle_rounds + 1 } else { 0 };
        self.idle_rounds % IDLE_ROUNDS <= 1
    }

    /// Tells the nodes of a large fleet that this placer lives: all of them at once what is new, otherwise those near it
    /// often and the others seldom, so that a node hears as much however many placers there are.
    fn tell_all(&mut self, now: MonotonicTime) {
        let versions = self.versions();
        let is_news = self.told_versions != versions;
        let due_after = if is_news {
            LEAST_PAUSE_TO_ALL
        } else {
            PLACER_TELLS_AGAIN
        };
        if self.told_all_at.is_some_and(|at| now.since(at) < due_after) {
            return;
        }
        self.told_all_at = Some(now);
        self.told_versions = versions;
        self.rounds_to_all += 1;
        let message = self.compose(PeerLoadSlice::EMPTY, true, now);
        let is_far_round = self.rounds_to_all.is_multiple_of(FAR_ROUNDS);
        let peers = if is_far_round {
            self.context.peers.addresses(now)
        } else if is_news {
            self.context.peers.told_of_news(now)
        } else {
            self.context.peers.notified_often(now)
        };
        self.send(&peers, message);
        self.announce(&peers, now);
    }

    /// Announces the topology to those of the peers that have not heard it lately. A node that hears of a placer and not of its
    /// zone takes it for one of its own region.
    fn announce(&mut self, peers: &[SocketAddr], now: MonotonicTime) {
        let digest = self.context.peers.topology().digest();
        if std::mem::replace(&mut self.announced_digest, digest) != digest {
            self.announced.clear();
        }
        self.announced.retain(|_, at| now.since(*at) < ANNOUNCE_AGAIN);
        let due: Vec<SocketAddr> = peers
            .iter()
            .copied()
            .filter(|peer| !self.announced.contains_key(peer))
            .collect();
        self.announced.extend(due.iter().map(|peer| (*peer, now)));
        announce_topology(self.context, &due);
    }

    /// What every node has to hear of at once: the versions of the configuration and of the operators' cordons.
    fn versions(&self) -> (u64, u64) {
        let config = self.context.forwarding().map_or(0, |config| config.version);
        (config, cordons::version(self.context))
    }

    /// Tells the placers that this node lives, and what the store has confirmed.
    fn tell_placers(&mut self, confirmed: bool, now: MonotonicTime) -> Duration {
        let is_due = self
            .told_all_at
            .is_none_or(|at| now.since(at) >= OTHERS_TELL_AGAIN);
        if !confirmed && !is_due {
            return LEAST_PAUSE;
        }
        self.told_all_at = Some(now);
        let message = self.compose(PeerLoadSlice::EMPTY, false, now);
        let peers = self.context.peers.told(now);
        self.send(&peers, message);
        self.announce(&peers, now);
        self.allowance.spend(peers.len(), now)
    }

    /// Announces prefixes that engines of this region hold to the placers of other regions that place such prompts.
    fn announce_prefixes(&self, now: MonotonicTime) {
        let updates = lock(&self.context.router).take_distant_prefixes();
        let Placing::Placers(placers) = self.context.peers.placing(now) else {
            return;
        };
        let mut by_placer: BTreeMap<SubjectHandle, Vec<PrefixUpdate>> = BTreeMap::new();
        for update in updates {
            let Some(last) = update.prefixes.last() else {
                continue;
            };
            for region in placers.distant().values() {
                for placer in region.placers_for(last.hash, |_| false, 1) {
                    by_placer.entry(placer).or_default().push(update.clone());
                }
            }
        }
        for (placer, updates) in by_placer {
            let Some(address) = self.context.peers.address_of(placer) else {
                continue;
            };
            for part in updates.chunks(MAX_PREFIX_UPDATES) {
                if let Some(bytes) = TopologyDatagram::Prefixes(part.to_vec()).encode() {
                    self.context.peers.send(&bytes, address);
                }
            }
        }
    }

    fn compose(&self, slice: PeerLoadSlice, places: bool, now: MonotonicTime) -> WorkMessage {
        let context = self.context;
        let config_version = || context.forwarding().map_or(0, |config| config.version);
        let list_version = || lock(&context.listing).last_change_version();
        let most_changes = if slice.is_empty() {
            MOST_CHANGES_ALONE
        } else {
            MOST_CHANGES
        };
        let cordons = cordons::version(context);
        let list_news = lock(&context.recent_changes).publishable(most_changes, now);
        let router = lock(&context.router);
        WorkMessage {
            node: context.config.node.clone(),
            start: self.start,
            number: 0,
            nodes: context.peers.nodes_known_itself(),
            sharing: context.sharing_word(now),
            places,
            processor_thousandths: context.peers.own_processor(),
            store_answers: context.takes_duties(),
            holds_lease: context.authority(now).is_some(),
            unix: crate::metering::time_of_day(),
            config: context.config_watch.word(now, config_version),
            list: context.list_watch.word(now, list_version),
            cordons,
            list_news,
            slice,
            work: Vec::new(),
            prompt_tokens_per_second: router.own_demand(now),
            orders: router.pending_stage_orders(now),
            news: Vec::new(),
            silences: Vec::new(),
            paces: PaceReports::default(),
        }
    }

    fn send(&mut self, peers: &[SocketAddr], mut message: WorkMessage) {
        message.number = self.number;
        self.number += 1;
        // Ahead of the changes, so that no engine is listed without its version in between.
        streams::send_software_versions(self.context, peers, &message.list_news);
        let Some(bytes) = Datagram::Work(Box::new(message)).encode() else {
            return;
        };
        for peer in peers {
            self.context.peers.send(&bytes, *peer);
        }
    }
}

/// Tells others the zone of this node and the digest of its topology: those that have only heard it have not read its entry in
/// the store's list.
pub(crate) fn announce_topology(context: &Context, peers: &[SocketAddr]) {
    if !context.peers.announces_topology() {
        return;
    }
    let announcement = TopologyAnnouncement {
        node: context.config.node.clone(),
        start: context.start,
        zone: context.config.zone.clone(),
        digest: context.peers.topology().digest(),
    };
    if let Some(bytes) = TopologyDatagram::Topology(announcement).encode() {
        peers.iter().for_each(|peer| context.peers.send(&bytes, *peer));
    }
}

/// Messages that may be sent, so that many peers do not cost more datagrams: a token bucket.
struct Allowance {
    saved: Duration,
    at: MonotonicTime,
}

impl Allowance {
    fn new(now: MonotonicTime) -> Self {
        Self {
            saved: Duration::ZERO,
            at: now,
        }
    }

    /// Spends so many datagrams; the time until the next ones may be sent.
    fn spend(&mut self, datagrams: usize, now: MonotonicTime) -> Duration {
        let datagrams = u32::try_from(datagrams).unwrap_or(u32::MAX);
        let price = Duration::from_secs(1).saturating_mul(datagrams) / DATAGRAMS_PER_SECOND;
        self.saved = (self.saved + now.since(self.at)).min(price * MOST_SAVED);
        self.at = now;
        let owed = price.saturating_sub(self.saved);
        self.saved = self.saved.saturating_sub(price);
        owed.max(LEAST_PAUSE)
    }
}

fn is_idle(message: &WorkMessage) -> bool {
    message.work.is_empty()
        && message.news.is_empty()
        && message.silences.is_empty()
        && message.paces.is_deferrable()
        && message.orders.is_empty()
        && message.list_news.changes.is_empty()
}

impl Peers {
    /// Waits until there is something to tell, or until it is time to tell again; whether something was confirmed.
    ///
    /// New work at an engine is told at once; other changes are gathered for a while.
    fn wait_for_change(&self, tells_again: Duration) -> bool {
        let quiet = lock(&self.pending);
        let waited = self
            .change
            .wait_timeout_while(quiet, tells_again, |pending| !pending.changed);
        let (pending, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        let gather = if timeout.timed_out() {
            Duration::ZERO
        } else {
            GATHER
        };
        let gathered = self
            .change
            .wait_timeout_while(pending, gather, |pending| !pending.urgent);
        let (mut pending, _) = gathered.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *pending).confirmed
    }
}
