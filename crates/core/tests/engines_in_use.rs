//! The list of a node that takes the engines in use of others in place of the whole list.

#![allow(clippy::unwrap_used)]

mod pool_support;

use pool_support::engine_with;
use proptest::prelude::*;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::routing::pool::{
    EngineListing, EngineStage, KnownChanges, ListChange, ListSnapshot, ListUpdate, PoolEngine,
};

fn engine(name: &str) -> PoolEngine {
    engine_with(name, EngineStage::Decode, 8)
}

fn leaving(name: &str) -> PoolEngine {
    PoolEngine {
        leaving: true,
        ..engine(name)
    }
}

fn snapshot(version: u64, engines: Vec<PoolEngine>) -> ListSnapshot {
    ListSnapshot {
        version,
        engines,
        unreadable: Vec::new(),
    }
}

/// Of a node that knows every change that ever was.
fn all_known() -> KnownChanges {
    KnownChanges::complete_since(0)
}

fn names(listing: &EngineListing) -> Vec<String> {
    let engines = listing.snapshot().engines;
    engines
        .iter()
        .map(|engine| engine.id.as_str().to_owned())
        .collect()
}

fn gone(name: &str) -> ListChange {
    ListChange::Gone(EngineId::new(name))
}

#[test]
fn a_node_that_began_with_the_whole_list_takes_newer_engines_in_use() {
    let mut listing = EngineListing::default();
    listing.replace(&snapshot(10, vec![engine("a"), engine("b")]));
    let taken = listing.apply_in_use_snapshot(&snapshot(20, vec![leaving("a")]), &all_known());
    assert_eq!(taken, [gone("b"), ListChange::Listed(leaving("a"))]);
    assert!(listing.is_partial());
}

#[test]
fn engines_in_use_that_are_older_say_nothing_to_a_node_that_knows_all() {
    let mut listing = EngineListing::default();
    listing.replace(&snapshot(10, vec![engine("a")]));
    assert_eq!(
        listing.apply_in_use_snapshot(&snapshot(10, vec![engine("b")]), &all_known()),
        []
    );
    assert!(!listing.is_partial());
}

#[test]
fn an_older_word_of_another_placer_adds_what_was_never_named_and_changes_nothing_else() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![leaving("a")]), &all_known());
    let taken = listing.apply_in_use_snapshot(&snapshot(15, vec![engine("a"), engine("b")]), &all_known());
    assert_eq!(taken, [ListChange::Listed(engine("b"))]);
    assert_eq!(names(&listing), ["a", "b"]);
}

#[test]
fn an_engine_that_one_placer_has_no_longer_in_use_can_be_named_by_another() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![engine("a"), engine("b")]), &all_known());
    assert_eq!(
        listing.apply_in_use_snapshot(&snapshot(30, vec![engine("a")]), &all_known()),
        [gone("b")]
    );
    let taken = listing.apply_in_use_snapshot(&snapshot(25, vec![engine("b")]), &all_known());
    assert_eq!(taken, [ListChange::Listed(engine("b"))]);
}

#[test]
fn news_of_the_whole_list_add_no_engine_that_nobody_uses() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![engine("a")]), &all_known());
    let news = ListUpdate {
        base: 20,
        changes: vec![
            (21, ListChange::Listed(engine("new"))),
            (22, ListChange::Listed(leaving("a"))),
        ],
    };
    assert_eq!(news.apply_to(&mut listing), [ListChange::Listed(leaving("a"))]);
    assert_eq!(listing.reflected_version(), 22);
}

#[test]
fn the_whole_list_makes_a_node_know_all_again() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![engine("a")]), &all_known());
    listing.replace(&snapshot(20, vec![engine("a"), engine("b")]));
    assert!(!listing.is_partial());
    assert_eq!(names(&listing), ["a", "b"]);
}

#[test]
fn engines_in_use_are_told_as_the_list_has_them_now() {
    let mut listing = EngineListing::default();
    listing.replace(&snapshot(10, vec![engine("a"), engine("b")]));
    let in_use = [engine("a"), engine("b")];
    listing.apply(vec![(11, ListChange::Listed(leaving("a"))), (12, gone("b"))], 12);
    assert_eq!(listing.snapshot_of(&in_use), snapshot(12, vec![leaving("a")]));
}

#[test]
fn an_engine_that_left_is_not_revived_by_the_list_of_a_placer_that_was_cut_off() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![engine("a"), engine("b")]), &all_known());
    let news = ListUpdate {
        base: 20,
        changes: vec![(21, gone("b"))],
    };
    news.apply_to(&mut listing);
    let older = snapshot(20, vec![engine("a"), engine("b")]);
    assert_eq!(listing.apply_in_use_snapshot(&older, &all_known()), []);
}

#[test]
fn an_engine_that_a_newer_list_no_longer_names_is_not_revived_where_it_has_changed_since() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![engine("a"), engine("b")]), &all_known());
    let mut changes = all_known();
    changes.note("b", 25);
    listing.apply_in_use_snapshot(&snapshot(30, vec![engine("a")]), &changes);
    let older = snapshot(20, vec![engine("a"), engine("b")]);
    assert_eq!(listing.apply_in_use_snapshot(&older, &all_known()), []);
}

#[test]
fn a_list_from_before_all_that_is_known_of_changes_revives_nothing() {
    let mut listing = EngineListing::default();
    let since_its_start = KnownChanges::complete_since(30);
    listing.apply_in_use_snapshot(&snapshot(30, vec![engine("a")]), &since_its_start);
    let older = snapshot(20, vec![engine("b")]);
    assert_eq!(listing.apply_in_use_snapshot(&older, &all_known()), []);
    let as_new = snapshot(30, vec![engine("b")]);
    listing.apply_in_use_snapshot(&as_new, &since_its_start);
    assert_eq!(names(&listing), ["b"]);
}

#[test]
fn what_is_remembered_of_changes_is_bounded_and_says_since_when_it_is_complete() {
    let mut known = all_known();
    (1..=50_000).for_each(|version| known.note(&format!("engine-{version}"), version));
    assert!(
        known.is_unchanged_since("engine-1", 49_999),
        "forgotten, but before"
    );
    assert!(!known.is_unchanged_since("engine-50000", 49_999));
    assert!(
        !known.is_unchanged_since("engine-1", 40_000),
        "not known any more"
    );
    assert!(
        bincode::serde::encode_to_vec(known.latest(256), bincode::config::standard())
            .unwrap()
            .len()
            < 3_000
    );
}

/// What the store does next, and who hears of it how.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An engine is listed, listed as leaving, or removed.
    Write(usize, u8),
    /// A placer takes the whole list, as it is now.
    PlacerReads(usize),
    /// A placer starts anew, and takes the whole list.
    PlacerStarts(usize),
    /// A placer takes what changed since it read, if it is not cut off.
    PlacerFollows(usize),
    /// The node takes the engines that a placer has in use, whatever its version.
    TakeInUse(usize, u8),
    /// The node hears of the changes that a placer was told last.
    TakeNews(usize),
    /// The node takes the whole list of a placer.
    TakeWhole(usize),
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..NAMES.len(), 0_u8..3).prop_map(|(name, kind)| Step::Write(name, kind)),
        (0_usize..3).prop_map(Step::PlacerReads),
        (0_usize..3).prop_map(Step::PlacerStarts),
        (0_usize..3).prop_map(Step::PlacerFollows),
        (0_usize..3, any::<u8>()).prop_map(|(placer, used)| Step::TakeInUse(placer, used)),
        (0_usize..3).prop_map(Step::TakeNews),
        (0_usize..3).prop_map(Step::TakeWhole),
    ]
}

/// The store's history: each write with its version, which counts other writes too.
#[derive(Default)]
struct Store {
    writes: Vec<(u64, ListChange)>,
    version: u64,
}

impl Store {
    fn write(&mut self, name: &str, kind: u8) {
        self.version += 2;
        let change = match kind {
            0 => ListChange::Listed(engine(name)),
            1 => ListChange::Listed(leaving(name)),
            _ => gone(name),
        };
        self.writes.push((self.version, change));
    }

    fn at(&self, version: u64) -> ListSnapshot {
        let mut listing = EngineListing::default();
        let before = self.writes.iter().filter(|(at, _)| *at <= version);
        listing.apply(before.cloned().collect(), version);
        listing.snapshot()
    }
}

/// A placer: its list, and the last changes that it was told.
#[derive(Default)]
struct Placer {
    listing: EngineListing,
    news: Option<ListUpdate>,
}

impl Placer {
    fn read(&mut self, store: &Store) {
        self.listing.replace(&store.at(store.version));
        self.news = None;
    }

    fn follow(&mut self, store: &Store) {
        let after = self.listing.reflected_version();
        let base = self.listing.last_change_version();
        let changes: Vec<_> = store
            .writes
            .iter()
            .filter(|(at, _)| *at > after)
            .cloned()
            .collect();
        self.listing.apply(changes.clone(), store.version);
        self.news = Some(ListUpdate { base, changes });
    }

    fn in_use(&self, used: u8) -> ListSnapshot {
        let listed = self.listing.snapshot().engines;
        let used = (0..).zip(listed).filter(|(place, _)| used & (1 << place) != 0);
        let used: Vec<_> = used.map(|(_, engine)| engine).collect();
        self.listing.snapshot_of(&used)
    }
}

proptest! {
    #[test]
    fn no_order_of_lists_and_changes_makes_a_node_list_what_a_version_that_it_reflects_no_longer_holds(
        steps in prop::collection::vec(step(), 1..60),
        remembered in prop_oneof![Just(1_usize), Just(3), Just(256)],
    ) {
        let mut store = Store::default();
        NAMES.iter().for_each(|name| store.write(name, 0));
        let mut placers: [Placer; 3] = Default::default();
        placers.iter_mut().for_each(|placer| placer.read(&store));
        let mut node = EngineListing::default();
        for step in steps {
            match step {
                Step::Write(name, kind) => store.write(NAMES[name], kind),
                Step::PlacerReads(placer) => placers[placer].read(&store),
                Step::PlacerStarts(placer) => {
                    placers[placer] = Placer::default();
                    placers[placer].read(&store);
                }
                Step::PlacerFollows(placer) => placers[placer].follow(&store),
                Step::TakeInUse(placer, used) => {
                    let placer = &placers[placer];
                    let changes = placer.listing.known_changes(remembered);
                    node.apply_in_use_snapshot(&placer.in_use(used), &changes);
                }
                Step::TakeNews(placer) => {
                    if let Some(news) = placers[placer].news.clone() {
                        news.apply_to(&mut node);
                    }
                }
                Step::TakeWhole(placer) => {
                    node.replace(&placers[placer].listing.snapshot());
                }
            }
            let truth = store.at(node.reflected_version());
            for listed in node.snapshot().engines {
                prop_assert!(
                    truth.engines.contains(&listed),
                    "{:?} at version {}",
                    listed,
                    node.reflected_version()
                );
            }
            if !node.is_partial() && node.reflected_version() > 0 {
                prop_assert_eq!(node.snapshot().engines, truth.engines);
            }
        }
    }
}
