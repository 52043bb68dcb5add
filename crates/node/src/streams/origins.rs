//! Reports the origins of streams to other nodes, and asks them for the origin of one that a caller takes up.

use crate::context::Context;
use crate::peers::Placing;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::streams::{
    ContentAnswer, ContentLookup, ContentStreams, FoundStream, Keepers, MAX_PAUSE, NotFound, OriginLookup,
    REPLICAS, REPORTS_ARRIVE_AFTER, StreamKey, StreamRecord, StreamRegistry,
};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::stream_messages::StreamDatagram;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Times that a node which does not answer is asked: datagrams get lost.
const ROUNDS: usize = 2;

/// Streams that may be taken up again, and lookups under way.
#[derive(Default)]
pub(crate) struct StreamOrigins {
    registry: Mutex<StreamRegistry>,
    lookups: Mutex<BTreeMap<u64, Lookup>>,
    answered: Condvar,
    ran_at: Mutex<Option<MonotonicTime>>,
}

/// A lookup under way.
enum Lookup {
    ByRequest(OriginLookup<SocketAddr>),
    ByContent(ContentLookup<SocketAddr>),
}

impl Lookup {
    fn unanswered(&self) -> Vec<SocketAddr> {
        match self {
            Self::ByRequest(lookup) => lookup.unanswered().copied().collect(),
            Self::ByContent(lookup) => lookup.unanswered().copied().collect(),
        }
    }

    fn is_settled(&self) -> bool {
        match self {
            Self::ByRequest(lookup) => lookup.is_settled(),
            Self::ByContent(lookup) => lookup.is_settled(),
        }
    }
}

/// Where a record was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KnownFrom {
    /// At this node.
    Here,
    /// At another node.
    Peer,
}

impl KnownFrom {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Here => "here",
            Self::Peer => "peer",
        }
    }
}

impl StreamOrigins {
    /// No stream has begun before the first start of the whole system; a node that starts later has missed what others reported.
    pub(crate) fn new(first_start: bool) -> Self {
        let registry = if first_start {
            StreamRegistry::default()
        } else {
            StreamRegistry::complete_since(MonotonicTime::default() + REPORTS_ARRIVE_AFTER)
        };
        Self {
            registry: Mutex::new(registry),
            ..Self::default()
        }
    }

    /// Notes that the process runs. To be called several times within [`MAX_PAUSE`]: after a longer pause reports may have been missed.
    pub(crate) fn note_running(&self, now: MonotonicTime) {
        let ran_at = lock(&self.ran_at).replace(now).unwrap_or(now);
        let paused = now.since(ran_at);
        if paused > MAX_PAUSE {
            log::info!(paused_millis = paused.as_millis() as u64; "stream_reports_missed");
            lock(&self.registry).note_missed_before(now);
        }
    }

    /// Records a stream whose first event is about to be passed to the caller, here and at other nodes.
    pub(crate) fn report(
        &self,
        context: &Context,
        keys: [StreamKey; 2],
        record: StreamRecord,
        lifetime: Duration,
    ) {
        let datagram = StreamDatagram::Began {
            keys,
            record: record.clone(),
            lifetime_millis: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
        };
        self.add(context, keys, &record, lifetime);
        let Some(bytes) = datagram.encode() else {
            return log::warn!("stream_origin_not_sent");
        };
        for address in replicas(context, keys[1]) {
            context.peers.send(&bytes, address);
        }
    }

    /// Records a stream that began at another node.
    pub(super) fn add(
        &self,
        context: &Context,
        keys: [StreamKey; 2],
        record: &StreamRecord,
        lifetime: Duration,
    ) {
        let mut registry = lock(&self.registry);
        for key in keys {
            registry.add(key, record.clone(), lifetime, context.now());
        }
        context.metrics.streams.known.set(registry.len() as i64);
    }

    /// The origin of the stream that a request began, from this node or the others; absent if none of them knows it.
    pub(crate) fn find(&self, context: &Context, key: StreamKey) -> Option<(FoundStream, KnownFrom)> {
        if let Some(found) = self.find_here(context, key) {
            return Some((found, KnownFrom::Here));
        }
        let lookup = Lookup::ByRequest(OriginLookup::new(nodes_to_ask(context)));
        let question = |number| StreamDatagram::Lookup { number, key };
        let Some(Lookup::ByRequest(lookup)) = self.ask(context, lookup, question) else {
            return None;
        };
        let unanswered = lookup.unanswered().count();
        let found = lookup.into_found();
        log::debug!(unanswered, found = found.is_some(); "stream_origin_asked");
        Some((found?, KnownFrom::Peer))
    }

    /// The origin of a stream of some content that may have begun up to `lifetime` ago.
    pub(crate) fn find_by_content(
        &self,
        context: &Context,
        key: StreamKey,
        lifetime: Duration,
    ) -> Result<(FoundStream, KnownFrom), NotFound> {
        let own = self.streams_of_content(context, key);
        let from = match &own.streams {
            ContentStreams::None => KnownFrom::Peer,
            ContentStreams::OfOneOrigin(_) | ContentStreams::OfSeveral => KnownFrom::Here,
        };
        let keepers = keepers_of_all_regions(context, key);
        let mut lookup = ContentLookup::new(nodes_to_ask(context), keepers, lifetime);
        lookup.take_own(own);
        let question = |number| StreamDatagram::ContentLookup { number, key };
        let Some(Lookup::ByContent(lookup)) = self.ask(context, Lookup::ByContent(lookup), question) else {
            return Err(NotFound::Unknown);
        };
        let unanswered = lookup.unanswered().count();
        let found = lookup.into_found();
        log::debug!(unanswered, found = found.is_ok(); "stream_origin_asked");
        Ok((found?, from))
    }

    /// What this node knows of the streams of some content.
    pub(super) fn streams_of_content(&self, context: &Context, key: StreamKey) -> ContentAnswer {
        lock(&self.registry).streams_of_content(key, context.now())
    }

    pub(super) fn find_here(&self, context: &Context, key: StreamKey) -> Option<FoundStream> {
        let registry = lock(&self.registry);
        let (record, age) = registry.get(key, context.now())?;
        Some(FoundStream {
            record: record.clone(),
            age,
        })
    }

    /// Asks other nodes; the lookup with their answers.
    fn ask(
        &self,
        context: &Context,
        lookup: Lookup,
        question: impl Fn(u64) -> StreamDatagram,
    ) -> Option<Lookup> {
        let number = rand::random();
        lock(&self.lookups).insert(number, lookup);
        let bytes = question(number).encode();
        for _ in 0..ROUNDS {
            if self.ask_round(context, number, bytes.as_deref()) {
                break;
            }
        }
        lock(&self.lookups).remove(&number)
    }

    /// Asks the nodes that have not answered, and waits for them; whether the lookup is settled.
    fn ask_round(&self, context: &Context, number: u64, question: Option<&[u8]>) -> bool {
        let unanswered = lock(&self.lookups).get(&number).map(Lookup::unanswered);
        if let Some(bytes) = question {
            for node in unanswered.into_iter().flatten() {
                context.peers.send(bytes, node);
            }
        }
        let timeout = context.wait_for_all_regions(context.config.placing.answer_wait());
        let is_settled =
            |lookups: &BTreeMap<u64, Lookup>| lookups.get(&number).is_none_or(Lookup::is_settled);
        let waited = self
            .answered
            .wait_timeout_while(lock(&self.lookups), timeout, |lookups| !is_settled(lookups));
        let (lookups, _) = waited.unwrap_or_else(PoisonError::into_inner);
        is_settled(&lookups)
    }

    /// Takes an answer; one that nobody waits for any more is dropped.
    pub(super) fn on_answer(&self, number: u64, found: Option<FoundStream>, from: SocketAddr) {
        if let Some(Lookup::ByRequest(lookup)) = lock(&self.lookups).get_mut(&number) {
            lookup.on_answer(&from, found);
            self.answered.notify_all();
        }
    }

    /// The same for the streams of a content.
    pub(super) fn on_content_answer(&self, number: u64, answer: ContentAnswer, from: SocketAddr) {
        if let Some(Lookup::ByContent(lookup)) = lock(&self.lookups).get_mut(&number) {
            lookup.on_answer(&from, answer);
            self.answered.notify_all();
        }
    }
}

/// Nodes that receive the origins of streams of some content: all others in a small fleet, some placers of the region in a large one,
/// which every node knows.
fn replicas(context: &Context, content: StreamKey) -> Vec<SocketAddr> {
    let now = context.now();
    let Placing::Placers(placers) = context.peers.placing(now) else {
        return context.peers.addresses(now);
    };
    let chosen = placers.home().placers_for(content.number(), |_| false, REPLICAS);
    addresses_of(context, chosen.iter())
}

/// The nodes that [`replicas`] names in each region.
fn keepers_of_all_regions(context: &Context, content: StreamKey) -> Vec<Keepers<SocketAddr>> {
    let now = context.now();
    let Placing::Placers(placers) = context.peers.placing(now) else {
        return vec![Keepers {
            others: context.peers.addresses(now).into_iter().collect(),
            includes_own: true,
        }];
    };
    let regions = std::iter::once(placers.home()).chain(placers.distant().values());
    regions
        .map(|region| {
            let chosen = region.placers_for(content.number(), |_| false, REPLICAS);
            Keepers {
                others: addresses_of(context, chosen.iter()).into_iter().collect(),
                includes_own: chosen.contains(&context.peers.own_handle()),
            }
        })
        .collect()
}

/// Nodes that are asked for a stream: all others in a small fleet, the placers of all regions in a large one. Placers may have come or
/// gone since the stream began.
fn nodes_to_ask(context: &Context) -> Vec<SocketAddr> {
    let now = context.now();
    let Placing::Placers(placers) = context.peers.placing(now) else {
        return context.peers.addresses(now);
    };
    let distant = placers.distant().values();
    let distant = distant.flat_map(|region| region.placers().iter());
    addresses_of(context, placers.home().placers().iter().chain(distant))
}

fn addresses_of<'n>(context: &Context, nodes: impl Iterator<Item = &'n SubjectHandle>) -> Vec<SocketAddr> {
    let own = context.peers.own_handle();
    nodes
        .filter(|node| **node != own)
        .filter_map(|node| context.peers.address_of(*node))
        .collect()
}
