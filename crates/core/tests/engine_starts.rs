//! Engines that start again under their name: nothing of an earlier start reaches a later one, in whatever order words
//! come.

#![allow(clippy::unwrap_used)]

mod pool_support;

use pool_support::{engine_with, pool, router_with};
use shelfjunction_core::cordon::CordonTarget;
use shelfjunction_core::forwarding::RouteId;
use shelfjunction_core::identity::{EngineId, EngineStart, NodeId, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::placement_table::PlacementTable;
use shelfjunction_core::placing::question::{
    DispatchProgress, Placement, PlacementKind, PlacementQuery, ProgressReport, RequestKey, RequestSummary,
};
use shelfjunction_core::quarantine::config::QuarantineSettings;
use shelfjunction_core::quarantine::{Asked, Fingerprint, Quarantine, Standing};
use shelfjunction_core::routing::pool::{
    ActiveCordon, AvoidanceReason, EngineListing, EngineStage, EngineState, ListChange, PeerLoad,
    PeerLoadSlice, PoolAdmission, PoolEngine, PoolRouter, PoolWeights, PrefixUpdate, PromptPart, PromptShape,
    ReportedLoad, RequestConstraints,
};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const NAME: &str = "engine";

/// Nodes of a fleet in which some choose engines for all.
const NODES: usize = 66;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn id(start: u64) -> EngineId {
    EngineId::started(NAME, EngineStart(start))
}

fn engine(start: u64) -> PoolEngine {
    PoolEngine {
        id: id(start),
        ..engine_with(NAME, EngineStage::Decode, 8)
    }
}

fn listed(start: u64) -> ListChange {
    ListChange::Listed(engine(start))
}

fn gone(start: u64) -> ListChange {
    ListChange::Gone(id(start))
}

/// As the store tells it: an entry that is removed names only the identifier.
fn gone_by_name() -> ListChange {
    ListChange::Gone(EngineId::new(NAME))
}

fn unreadable() -> ListChange {
    ListChange::Unreadable(EngineId::new(NAME))
}

/// A node that chooses engines.
struct Node {
    listing: EngineListing,
    router: PoolRouter,
    table: PlacementTable,
}

impl Node {
    fn new() -> Self {
        let mut node = Self {
            listing: EngineListing::default(),
            router: router_with(PoolWeights::default(), 8, Some(0.001), &[]),
            table: PlacementTable::default(),
        };
        node.hear(1, listed(1), false, at(0));
        node
    }

    /// Takes a change as nodes do; `doubtful` where the store was in trouble.
    fn hear(&mut self, version: u64, change: ListChange, doubtful: bool, now: MonotonicTime) {
        for change in self.listing.apply(vec![(version, change)], version) {
            match change {
                ListChange::Listed(engine) => self.router.on_engine_listed(engine),
                ListChange::Gone(engine) => self.router.on_engine_delisted(&engine, doubtful, now),
                ListChange::Unreadable(entry) => {
                    self.router.on_entry_unreadable(&entry, now);
                }
            }
        }
    }

    fn state(&self, start: u64) -> &EngineState {
        self.router.engine(&id(start)).unwrap()
    }

    fn answer(&mut self, number: u64, step: u32, now: MonotonicTime) -> Placement {
        let question = PlacementQuery {
            key: key(number),
            step,
            request: request(),
            kind: PlacementKind::Retry { excluded: Vec::new() },
        };
        let settings = PoolAdmission::default();
        let answer = self.table.answer(&mut self.router, &question, &settings, now);
        answer.unwrap().placement
    }

    fn progress(&mut self, number: u64, progress: DispatchProgress, now: MonotonicTime) {
        let report = ProgressReport {
            key: key(number),
            step: 1,
            progress,
        };
        self.table.on_progress(&mut self.router, &report, now);
    }
}

fn key(number: u64) -> RequestKey {
    RequestKey {
        node: SubjectHandle::of_text("node", "asks"),
        number,
    }
}

fn request() -> RequestSummary {
    let part = |name, tokens| PromptPart { name, tokens };
    RequestSummary {
        pool: pool(),
        prompt: PromptShape {
            model: "m".to_owned(),
            parts: vec![part(5, 6_000), part(9, 1_000)],
            tokens: 7_000,
            output_tokens: 100,
            output_estimate: None,
        },
        zone: ZoneId::new("zone-a"),
        constraints: RequestConstraints::default(),
        rank: 1,
        remaining: Duration::from_secs(4),
    }
}

fn chosen(placement: Placement) -> Option<SubjectHandle> {
    match placement {
        Placement::One(chosen) => Some(chosen.engine),
        _ => None,
    }
}

fn handle(start: u64) -> SubjectHandle {
    SubjectHandle::of_engine(&id(start))
}

fn news(start: u64) -> PrefixUpdate {
    PrefixUpdate {
        engine: handle(start),
        prefixes: request().prompt.prefixes(),
        just_answered: true,
    }
}

#[test]
fn a_later_start_holds_nothing_of_what_the_earlier_one_was_believed_to_hold() {
    let mut node = Node::new();
    node.router.on_prefix_updates(&[news(1)], at(10));
    let prefixes = request().prompt.prefixes();
    assert_eq!(node.state(1).prefixes.held_tokens(&prefixes), 7_000);
    node.hear(2, listed(2), false, at(100));
    assert_eq!(node.state(2).prefixes.held_tokens(&prefixes), 0);
    let Placement::One(chosen) = node.answer(1, 1, at(110)) else {
        panic!("one engine");
    };
    assert_eq!(
        (chosen.engine, chosen.held_tokens, chosen.fetch_from),
        (handle(2), 0, None)
    );
}

#[test]
fn the_earlier_start_takes_no_work_at_once_though_its_end_is_in_doubt() {
    let mut node = Node::new();
    node.hear(2, gone_by_name(), true, at(100));
    assert_eq!(
        node.router.available_engine_count(at(110)),
        1,
        "only its entry may have lapsed"
    );
    node.hear(3, listed(2), false, at(120));
    assert_eq!(node.router.available_engine_count(at(120)), 1);
    assert_eq!(chosen(node.answer(1, 1, at(121))), Some(handle(2)));
    assert!(node.state(1).has_later_start() && !node.state(1).is_active());
    assert!(!node.state(1).is_draining());
}

#[test]
fn an_entry_that_cannot_be_read_is_out_of_use_at_once_though_the_store_was_in_trouble() {
    let mut node = Node::new();
    node.hear(2, gone_by_name(), true, at(100));
    node.hear(3, unreadable(), true, at(110));
    assert_eq!(node.router.available_engine_count(at(110)), 0);
    assert_eq!(node.answer(1, 1, at(111)), Placement::Nowhere);
    let mut node = Node::new();
    node.hear(2, unreadable(), true, at(100));
    assert_eq!(node.router.available_engine_count(at(100)), 0);
    node.hear(3, listed(1), false, at(200));
    assert_eq!(node.router.available_engine_count(at(200)), 1);
}

#[test]
fn an_engine_that_ended_without_a_word_is_told_from_one_that_said_that_it_leaves() {
    let mut node = Node::new();
    node.hear(2, listed(2), false, at(100));
    assert!(node.state(1).was_replaced_unannounced());
    let mut node = Node::new();
    let leaving = PoolEngine {
        leaving: true,
        ..engine(1)
    };
    node.hear(2, ListChange::Listed(leaving), false, at(50));
    node.hear(3, listed(2), false, at(100));
    assert!(!node.state(1).was_replaced_unannounced());
}

/// Late words of the earlier start, at each node of a fleet: nothing of them touches the later one.
#[test]
fn late_words_of_the_earlier_start_touch_nothing_of_the_later_one_at_66_nodes() {
    let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::new()).collect();
    let work = PeerLoad {
        prompt_tokens: [50_000; 4],
        requests: 8,
        ..PeerLoad::default()
    };
    let peer = NodeId::new("peer");
    for node in &mut nodes {
        // Before the restart every word counts.
        assert_eq!(chosen(node.answer(1, 1, at(10))), Some(handle(1)));
        assert_eq!(chosen(node.answer(2, 1, at(11))), Some(handle(1)));
        node.router
            .on_peer_load(&peer, PeerLoadSlice::ALL, &[(handle(1), work)], at(12));
        assert_eq!(node.state(1).load(at(13)).requests, 10.0);
        node.hear(2, listed(2), false, at(100));
    }
    let told = ReportedLoad {
        running: 8,
        waiting: 30,
        places: 8,
        work_time_percent: Some(900),
    };
    for node in &mut nodes {
        node.progress(
            1,
            DispatchProgress::Started {
                reported_load: Some(told),
            },
            at(110),
        );
        node.progress(1, DispatchProgress::ConnectionFailed, at(111));
        node.progress(2, DispatchProgress::Answered { pauses: vec![400] }, at(112));
        node.router
            .on_peer_load(&peer, PeerLoadSlice::ALL, &[(handle(1), work)], at(113));
        node.router.on_prefix_updates(&[news(1)], at(114));
        node.router
            .on_stage_orders(&[(handle(1), EngineStage::Prefill)], at(115));
        node.hear(3, listed(1), false, at(116));
        node.hear(4, gone(1), false, at(117));
        let now = at(118);
        let state = node.state(2);
        assert_eq!(state.load(now).requests, 0.0, "work, own and told");
        assert!(state.prefixes.is_empty(), "news");
        assert!(!state.answered_recently(now), "liveness");
        assert_eq!(state.ordered_stage(now), None, "orders");
        assert_eq!(state.work_factor(now), 1.0);
        assert_eq!(node.router.available_engine_count(now), 1, "health");
        assert_eq!(node.router.own_load(), [], "the earlier one's work has ended");
        assert_eq!(chosen(node.answer(3, 1, now)), Some(handle(2)));
        assert_eq!(node.state(2).load(now).requests, 1.0);
    }
}

#[test]
fn words_of_a_start_that_a_node_has_not_heard_of_are_passed_over() {
    let mut node = Node::new();
    node.router.on_prefix_updates(&[news(2)], at(10));
    let work = PeerLoad {
        requests: 3,
        ..PeerLoad::default()
    };
    let peer = NodeId::new("peer");
    node.router
        .on_peer_load(&peer, PeerLoadSlice::ALL, &[(handle(2), work)], at(11));
    assert_eq!(node.router.engine_by_handle(handle(2)), None);
    assert!(node.state(1).prefixes.is_empty());
    assert_eq!(node.state(1).load(at(12)).requests, 0.0);
}

#[test]
fn an_engine_that_came_back_is_charged_again_and_its_third_crash_refuses_the_request() {
    let settings = QuarantineSettings::default();
    let mut register = Quarantine::new(settings);
    let fingerprint: Fingerprint = "00112233445566778899aabbccddeeff".parse().unwrap();
    let asked = Asked {
        route: RouteId("again".to_owned()),
        pool: pool(),
        tenant: None,
    };
    for start in 1..=3 {
        let now = at(4_000 * start);
        assert!(!matches!(
            register.standing(&fingerprint, now),
            Standing::Quarantined { .. }
        ));
        assert!(
            register
                .note_crash(fingerprint, &asked, handle(start), now)
                .is_some()
        );
        assert!(
            register
                .note_crash(fingerprint, &asked, handle(start), now)
                .is_none(),
            "once a start"
        );
    }
    assert!(matches!(
        register.standing(&fingerprint, at(12_001)),
        Standing::Quarantined { .. }
    ));
    let untold = SubjectHandle::of_engine(&EngineId::new(NAME));
    let mut register = Quarantine::new(settings);
    for _ in 0..3 {
        register.note_crash(fingerprint, &asked, untold, at(1));
    }
    assert_eq!(
        register.standing(&fingerprint, at(2)).crashes(),
        1,
        "without a start one name counts once"
    );
}

#[test]
fn what_operators_cordon_by_its_identifier_stays_cordoned_when_it_starts_again() {
    let mut node = Node::new();
    node.router.on_cordons(vec![ActiveCordon {
        target: CordonTarget::Engine(NAME.to_owned()),
        until: at(60_000),
        forced: true,
    }]);
    node.hear(2, listed(2), false, at(100));
    assert!(matches!(
        node.state(2).avoidance_reason(at(110)),
        Some(AvoidanceReason::Cordoned { .. })
    ));
    assert_eq!(node.answer(1, 1, at(111)), Placement::Nowhere);
    assert_eq!(
        node.state(1).avoidance_reason(at(111)),
        Some(AvoidanceReason::Gone)
    );
    let standing: Vec<_> = node
        .router
        .standings()
        .into_iter()
        .map(|one| one.engine)
        .collect();
    assert_eq!(standing, [id(2)], "operators are shown one start");
}
