//! Origins of streams: which engines may continue them, and what is known of them while answers are lost, late or doubled.

#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::{EngineId, EngineStart, RequestId, SoftwareVersion, TenantId};
use shelfjunction_core::membership::rendezvous;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::quarantine::{Fingerprint, RequestContent};
use shelfjunction_core::routing::pool::{PromptPart, PromptShape};
use shelfjunction_core::streams::{
    ContentAnswer, ContentLookup, ContentStreams, FoundStream, Keepers, NotFound, OriginLookup, REPLICAS,
    StreamKey, StreamOrigin, StreamRecord, StreamRegistry,
};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeSet;
use std::time::Duration;

const LIFETIME: Duration = Duration::from_secs(15);

fn version(name: &str) -> Option<SoftwareVersion> {
    SoftwareVersion::of_text(name)
}

fn engine(start: u64) -> EngineId {
    EngineId::started("engine", EngineStart(start))
}

fn record(name: &str) -> StreamRecord {
    StreamRecord {
        pool: PoolId("lm".to_owned()),
        origin: StreamOrigin::at(&engine(1), version(name)),
    }
}

fn key(request: &str) -> StreamKey {
    StreamKey::of(None, &RequestId::new(request))
}

fn found(name: &str) -> Option<FoundStream> {
    Some(FoundStream {
        record: record(name),
        age: Duration::ZERO,
    })
}

#[test]
fn an_unknown_version_equals_only_the_same_start() {
    let allows = |began: Option<SoftwareVersion>, start: u64, offered: Option<SoftwareVersion>| {
        StreamOrigin::at(&engine(1), began).allows(SubjectHandle::of_engine(&engine(start)), offered.as_ref())
    };
    assert!(allows(version("v1"), 2, version("v1")));
    assert!(!allows(version("v1"), 2, version("v2")));
    assert!(allows(version("v1"), 1, None) && allows(None, 1, version("v1")) && allows(None, 1, None));
    assert!(!allows(version("v1"), 2, None) && !allows(None, 2, version("v1")) && !allows(None, 2, None));
    assert!(
        !allows(version("v1"), 1, version("v2")),
        "a start that changed its version"
    );
}

#[test]
fn versions_are_compared_whole_however_long_they_are() {
    let long = |end: &str| SoftwareVersion::of_text(&format!("{}{end}", "x".repeat(500))).unwrap();
    assert_eq!(long("a"), long("a"));
    assert_ne!(long("a"), long("b"));
    assert!(long("a").as_str().len() <= 64);
    assert_eq!(SoftwareVersion::of_text(""), None);
}

#[test]
fn a_tenant_does_not_find_the_streams_of_another() {
    let request = RequestId::new("r1");
    let keys = [None, Some("a"), Some("b")].map(|tenant| {
        let tenant = tenant.map(TenantId::new);
        StreamKey::of(tenant.as_ref(), &request)
    });
    assert_eq!(keys.into_iter().collect::<BTreeSet<_>>().len(), 3);
    let joined = StreamKey::of(Some(&TenantId::new("a")), &RequestId::new("bc"));
    assert_ne!(
        joined,
        StreamKey::of(Some(&TenantId::new("ab")), &RequestId::new("c"))
    );
}

#[test]
fn a_stream_is_forgotten_after_its_lifetime() {
    let mut registry = StreamRegistry::default();
    let at = MonotonicTime::from_millis;
    registry.add(key("r1"), record("v1"), LIFETIME, at(0));
    assert_eq!(registry.get(key("r1"), at(14_999)).unwrap().0, &record("v1"));
    assert_eq!(registry.get(key("r1"), at(15_000)), None);
    registry.add(key("r2"), record("v1"), LIFETIME, at(15_000));
    assert_eq!(registry.len(), 1);
}

#[test]
fn a_request_identifier_that_two_streams_have_finds_neither() {
    let mut registry = StreamRegistry::default();
    let now = MonotonicTime::from_millis(0);
    for name in ["v1", "v1"] {
        registry.add(key("r1"), record(name), LIFETIME, now);
    }
    assert!(
        registry.get(key("r1"), now).is_some(),
        "a report that arrives twice"
    );
    registry.add(key("r1"), record("v2"), LIFETIME, now);
    assert_eq!(registry.get(key("r1"), now), None);
}

#[test]
fn a_key_that_is_added_again_stays_until_the_last_lifetime_ends() {
    let mut registry = StreamRegistry::default();
    let at = MonotonicTime::from_millis;
    registry.add(key("r1"), record("v1"), LIFETIME, at(0));
    registry.add(key("r1"), record("v1"), LIFETIME, at(10_000));
    registry.add(key("r2"), record("v1"), LIFETIME, at(16_000));
    assert!(registry.get(key("r1"), at(24_999)).is_some());
    registry.add(key("r3"), record("v1"), LIFETIME, at(40_000));
    assert_eq!(registry.len(), 1);
}

#[test]
fn streams_of_the_same_content_are_told_apart_by_their_prompts() {
    let content = RequestContent {
        tenant: None,
        host: "h",
        method: "POST",
        target: "/",
        body: &[],
    };
    let fingerprint = Fingerprint::of(&content);
    let prompt = |name| PromptShape {
        parts: vec![PromptPart { name, tokens: 10 }],
        ..PromptShape::default()
    };
    let keys = [None, Some(prompt(1)), Some(prompt(2))];
    let keys = keys.map(|prompt| StreamKey::of_content(&fingerprint, prompt.as_ref()));
    assert_eq!(keys.into_iter().collect::<BTreeSet<_>>().len(), 3);
}

#[test]
fn the_memory_of_streams_is_bounded() {
    let mut registry = StreamRegistry::default();
    for number in 0..50_000 {
        let now = MonotonicTime::from_millis(number);
        registry.add(
            key(&format!("r{number}")),
            record("v1"),
            Duration::from_secs(600),
            now,
        );
    }
    assert_eq!(registry.len(), 40_000);
    let now = MonotonicTime::from_millis(50_000);
    assert!(registry.get(key("r49999"), now).is_some() && registry.get(key("r0"), now).is_none());
}

#[test]
fn the_first_answer_with_a_record_settles_a_lookup() {
    let mut lookup = OriginLookup::new([1, 2, 3]);
    lookup.on_answer(&1, None);
    lookup.on_answer(&1, found("v2"));
    assert!(!lookup.is_settled(), "a second answer of a node does not count");
    lookup.on_answer(&9, found("v2"));
    assert!(!lookup.is_settled(), "nor does one of a node that was not asked");
    lookup.on_answer(&3, found("v1"));
    assert!(lookup.is_settled());
    assert_eq!(lookup.into_found().unwrap().record, record("v1"));
}

#[test]
fn answers_that_differ_name_no_origin() {
    let mut lookup = OriginLookup::new([1, 2]);
    lookup.on_answer(&1, found("v1"));
    lookup.on_answer(&2, found("v2"));
    assert_eq!(lookup.into_found(), None);
}

fn answer(streams: ContentStreams, complete_for: Duration) -> ContentAnswer {
    ContentAnswer {
        streams,
        complete_for,
    }
}

fn one(name: &str) -> ContentStreams {
    ContentStreams::OfOneOrigin(found(name).unwrap())
}

fn keepers(others: &[u64], includes_own: bool) -> Keepers<u64> {
    Keepers {
        others: others.iter().copied().collect(),
        includes_own,
    }
}

/// A lookup of a content at a node that began after the others' records, and knows a stream of the given version.
fn lookup_of_late_node(version: &str) -> ContentLookup<u64> {
    let mut lookup = ContentLookup::new([1, 2], vec![keepers(&[1, 2], true)], LIFETIME);
    lookup.take_own(answer(one(version), LIFETIME / 2));
    lookup
}

#[test]
fn a_record_of_some_content_is_no_proof_where_an_earlier_one_may_be_missing() {
    let mut lookup = lookup_of_late_node("v2");
    lookup.on_answer(&1, answer(one("v2"), LIFETIME / 2));
    lookup.on_answer(
        &2,
        answer(ContentStreams::None, LIFETIME - Duration::from_millis(1)),
    );
    assert_eq!(lookup.into_found(), Err(NotFound::Incomplete));
    let mut lookup = lookup_of_late_node("v2");
    lookup.on_answer(&2, answer(ContentStreams::None, LIFETIME));
    assert_eq!(lookup.into_found().unwrap().record, record("v2"));
}

#[test]
fn an_ambiguity_that_only_another_node_knows_settles_a_lookup_of_a_content() {
    for other in [ContentStreams::OfSeveral, one("v1")] {
        let mut lookup = lookup_of_late_node("v2");
        assert!(!lookup.is_settled(), "one record does not settle it");
        lookup.on_answer(&2, answer(other, Duration::MAX));
        assert!(lookup.is_settled());
        assert_eq!(lookup.into_found(), Err(NotFound::Ambiguous));
    }
}

#[test]
fn each_region_has_to_prove_that_no_record_of_some_content_is_missing() {
    let regions = vec![keepers(&[1], true), keepers(&[2, 3], false)];
    let mut lookup = ContentLookup::new([1, 2, 3, 4], regions, LIFETIME);
    lookup.take_own(answer(one("v1"), Duration::MAX));
    lookup.on_answer(&4, answer(ContentStreams::None, Duration::MAX));
    assert_eq!(lookup.clone().into_found(), Err(NotFound::Incomplete));
    lookup.on_answer(&3, answer(ContentStreams::None, LIFETIME));
    assert_eq!(lookup.into_found().unwrap().record, record("v1"));
}

#[test]
fn a_registry_that_has_dropped_a_key_is_complete_only_since_then() {
    let at = MonotonicTime::from_millis;
    let complete_for =
        |registry: &StreamRegistry, now| registry.streams_of_content(key("r"), now).complete_for;
    let mut registry = StreamRegistry::default();
    assert_eq!(complete_for(&registry, at(1_000)), Duration::MAX);
    for number in 0..=40_000 {
        registry.add(
            key(&format!("r{number}")),
            record("v1"),
            LIFETIME,
            at(1_000 + number / 8),
        );
    }
    assert_eq!(complete_for(&registry, at(7_000)), Duration::from_secs(6));
    registry.note_missed_before(at(6_500));
    registry.note_missed_before(at(6_000));
    assert_eq!(complete_for(&registry, at(7_000)), Duration::from_millis(500));
}

/// Reports one stream from `origin` to its replicas and looks it up at `asker`; each datagram is lost where `lost` says so.
fn looked_up(
    nodes: u64,
    killed: &BTreeSet<u64>,
    asker: u64,
    request: &str,
    lost: impl Fn(u64, &'static str, usize) -> bool,
) -> Option<StreamRecord> {
    let handle = |node: u64| SubjectHandle::of_text("node", &node.to_string());
    let placers: Vec<u64> = (0..nodes.min(8)).collect();
    let handles: Vec<SubjectHandle> = placers.iter().map(|node| handle(*node)).collect();
    let task = SubjectHandle::of_number(key(request).number());
    let replicas = rendezvous::choose(task, &handles, REPLICAS);
    let knows =
        |node: u64| replicas.contains(&handle(node)) && !killed.contains(&node) && !lost(node, "report", 0);
    let asked: Vec<u64> = placers.iter().copied().filter(|node| *node != asker).collect();
    if knows(asker) {
        return Some(record("v1"));
    }
    let mut lookup = OriginLookup::new(asked);
    for round in 0..2 {
        let unanswered: Vec<u64> = lookup.unanswered().copied().collect();
        for node in unanswered {
            if killed.contains(&node) || lost(node, "question", round) || lost(node, "answer", round) {
                continue;
            }
            let answer = knows(node).then(|| found("v1")).flatten();
            // A datagram may arrive twice.
            lookup.on_answer(&node, answer.clone());
            lookup.on_answer(&node, answer);
        }
    }
    lookup.into_found().map(|found| found.record)
}

proptest! {
    #[test]
    fn a_lookup_never_finds_what_was_not_reported(
        nodes in 3_u64..300,
        killed in proptest::collection::btree_set(0_u64..300, 0..200),
        losses in proptest::collection::vec(any::<bool>(), 64),
        asker in 0_u64..300,
    ) {
        let lost = |node: u64, what: &'static str, round: usize| {
            losses[(node as usize * 7 + what.len() * 3 + round) % losses.len()]
        };
        let answer = looked_up(nodes, &killed, asker % nodes, "r1", lost);
        prop_assert!(answer.is_none_or(|answer| answer == record("v1")));
    }
}

#[test]
fn a_stream_is_known_after_six_of_ten_nodes_were_killed_at_once() {
    let mut known = 0;
    const STREAMS: u64 = 2_000;
    for stream in 0..STREAMS {
        let mixed = |salt: u64| {
            rendezvous::weight(
                SubjectHandle::of_number(stream << 32 | salt << 24),
                SubjectHandle::of_number(salt << 40),
            )
        };
        let killed: BTreeSet<u64> = (0..300).filter(|node| mixed(*node) % 10 < 6).collect();
        let asker = (0..300).find(|node| !killed.contains(node)).unwrap();
        let answer = looked_up(300, &killed, asker, &format!("r{stream}"), |_, _, _| false);
        known += u64::from(answer.is_some());
    }
    assert!(known >= STREAMS * 93 / 100, "{known} of {STREAMS}");
}
