//! The partial list of a node that receives the engines in use of its peers instead of the complete list.

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

/// The history of a node that knows every change.
fn full_history() -> KnownChanges {
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
fn a_newer_snapshot_of_engines_in_use_replaces_the_complete_list() {
    let mut listing = EngineListing::default();
    listing.replace(&snapshot(10, vec![engine("a"), engine("b")]));
    let applied = listing.apply_in_use_snapshot(&snapshot(20, vec![leaving("a")]), &full_history());
    assert_eq!(applied, [gone("b"), ListChange::Listed(leaving("a"))]);
    assert!(listing.is_partial());
}

#[test]
fn a_snapshot_of_engines_in_use_that_is_not_newer_is_ignored_by_a_complete_list() {
    let mut listing = EngineListing::default();
    listing.replace(&snapshot(10, vec![engine("a")]));
    assert_eq!(
        listing.apply_in_use_snapshot(&snapshot(10, vec![engine("b")]), &full_history()),
        []
    );
    assert!(!listing.is_partial());
}

#[test]
fn an_older_snapshot_only_adds_unknown_engines() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![leaving("a")]), &full_history());
    let applied =
        listing.apply_in_use_snapshot(&snapshot(15, vec![engine("a"), engine("b")]), &full_history());
    assert_eq!(applied, [ListChange::Listed(engine("b"))]);
    assert_eq!(names(&listing), ["a", "b"]);
}

#[test]
fn an_engine_that_one_placer_no_longer_uses_can_be_added_by_another() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![engine("a"), engine("b")]), &full_history());
    assert_eq!(
        listing.apply_in_use_snapshot(&snapshot(30, vec![engine("a")]), &full_history()),
        [gone("b")]
    );
    let applied = listing.apply_in_use_snapshot(&snapshot(25, vec![engine("b")]), &full_history());
    assert_eq!(applied, [ListChange::Listed(engine("b"))]);
}

#[test]
fn updates_of_the_complete_list_add_no_engine_to_a_partial_list() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![engine("a")]), &full_history());
    let update = ListUpdate {
        base: 20,
        changes: vec![
            (21, ListChange::Listed(engine("new"))),
            (22, ListChange::Listed(leaving("a"))),
        ],
    };
    assert_eq!(update.apply_to(&mut listing), [ListChange::Listed(leaving("a"))]);
    assert_eq!(listing.applied_version(), 22);
}

#[test]
fn a_complete_snapshot_makes_a_partial_list_complete() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![engine("a")]), &full_history());
    listing.replace(&snapshot(20, vec![engine("a"), engine("b")]));
    assert!(!listing.is_partial());
    assert_eq!(names(&listing), ["a", "b"]);
}

#[test]
fn a_snapshot_of_engines_in_use_carries_their_current_entries() {
    let mut listing = EngineListing::default();
    listing.replace(&snapshot(10, vec![engine("a"), engine("b")]));
    let in_use = [engine("a"), engine("b")];
    listing.apply(vec![(11, ListChange::Listed(leaving("a"))), (12, gone("b"))], 12);
    assert_eq!(listing.snapshot_of(&in_use), snapshot(12, vec![leaving("a")]));
}

#[test]
fn an_outdated_snapshot_does_not_restore_a_removed_engine() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![engine("a"), engine("b")]), &full_history());
    let update = ListUpdate {
        base: 20,
        changes: vec![(21, gone("b"))],
    };
    update.apply_to(&mut listing);
    let older = snapshot(20, vec![engine("a"), engine("b")]);
    assert_eq!(listing.apply_in_use_snapshot(&older, &full_history()), []);
}

#[test]
fn an_outdated_snapshot_does_not_restore_an_engine_whose_entry_changed_since() {
    let mut listing = EngineListing::default();
    listing.apply_in_use_snapshot(&snapshot(20, vec![engine("a"), engine("b")]), &full_history());
    let mut changes = full_history();
    changes.record("b", 25);
    listing.apply_in_use_snapshot(&snapshot(30, vec![engine("a")]), &changes);
    let older = snapshot(20, vec![engine("a"), engine("b")]);
    assert_eq!(listing.apply_in_use_snapshot(&older, &full_history()), []);
}

#[test]
fn a_snapshot_older_than_the_known_changes_restores_no_engine() {
    let mut listing = EngineListing::default();
    let since_start = KnownChanges::complete_since(30);
    listing.apply_in_use_snapshot(&snapshot(30, vec![engine("a")]), &since_start);
    let older = snapshot(20, vec![engine("b")]);
    assert_eq!(listing.apply_in_use_snapshot(&older, &full_history()), []);
    let same_version = snapshot(30, vec![engine("b")]);
    listing.apply_in_use_snapshot(&same_version, &since_start);
    assert_eq!(names(&listing), ["b"]);
}

#[test]
fn the_known_changes_are_bounded_and_complete_after_a_version() {
    let mut known = full_history();
    (1..=50_000).for_each(|version| known.record(&format!("engine-{version}"), version));
    assert!(
        known.is_unchanged_since("engine-1", 49_999),
        "evicted, and unchanged after the oldest known change"
    );
    assert!(!known.is_unchanged_since("engine-50000", 49_999));
    assert!(
        !known.is_unchanged_since("engine-1", 40_000),
        "evicted, so changes before the oldest known one are unknown"
    );
    assert!(
        bincode::serde::encode_to_vec(known.latest(256), bincode::config::standard())
            .unwrap()
            .len()
            < 3_000
    );
}

/// One step of the store, of a placer or of the node under test.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An engine is listed, listed as leaving, or removed.
    Write(usize, u8),
    /// A placer reads the complete list from the store.
    PlacerReadsList(usize),
    /// A placer restarts and reads the complete list.
    PlacerRestarts(usize),
    /// A placer reads the changes since its last read.
    PlacerReadsChanges(usize),
    /// The node applies the engines that a placer has in use, whatever their version.
    ApplyInUse(usize, u8),
    /// The node receives the changes that a placer read last.
    ApplyUpdate(usize),
    /// The node receives the complete list of a placer.
    ApplyComplete(usize),
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..NAMES.len(), 0_u8..3).prop_map(|(name, write_kind)| Step::Write(name, write_kind)),
        (0_usize..3).prop_map(Step::PlacerReadsList),
        (0_usize..3).prop_map(Step::PlacerRestarts),
        (0_usize..3).prop_map(Step::PlacerReadsChanges),
        (0_usize..3, any::<u8>()).prop_map(|(placer, selected)| Step::ApplyInUse(placer, selected)),
        (0_usize..3).prop_map(Step::ApplyUpdate),
        (0_usize..3).prop_map(Step::ApplyComplete),
    ]
}

/// The store: each write with its version. Versions also count writes of other keys.
#[derive(Default)]
struct Store {
    writes: Vec<(u64, ListChange)>,
    version: u64,
}

impl Store {
    fn write(&mut self, name: &str, write_kind: u8) {
        self.version += 2;
        let change = match write_kind {
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

/// A placer: its list and the changes that it read last.
#[derive(Default)]
struct Placer {
    listing: EngineListing,
    update: Option<ListUpdate>,
}

impl Placer {
    fn read_list(&mut self, store: &Store) {
        self.listing.replace(&store.at(store.version));
        self.update = None;
    }

    fn read_changes(&mut self, store: &Store) {
        let after = self.listing.applied_version();
        let base = self.listing.last_change_version();
        let changes: Vec<_> = store
            .writes
            .iter()
            .filter(|(at, _)| *at > after)
            .cloned()
            .collect();
        self.listing.apply(changes.clone(), store.version);
        self.update = Some(ListUpdate { base, changes });
    }

    fn in_use(&self, selected: u8) -> ListSnapshot {
        let listed = self.listing.snapshot().engines;
        let selected = (0..)
            .zip(listed)
            .filter(|(index, _)| selected & (1 << index) != 0);
        let selected: Vec<_> = selected.map(|(_, engine)| engine).collect();
        self.listing.snapshot_of(&selected)
    }
}

proptest! {
    #[test]
    fn the_list_never_contains_an_entry_that_the_store_did_not_hold_at_the_reflected_version(
        steps in prop::collection::vec(step(), 1..60),
        max_entries in prop_oneof![Just(1_usize), Just(3), Just(256)],
    ) {
        let mut store = Store::default();
        NAMES.iter().for_each(|name| store.write(name, 0));
        let mut placers: [Placer; 3] = Default::default();
        placers.iter_mut().for_each(|placer| placer.read_list(&store));
        let mut node = EngineListing::default();
        for step in steps {
            match step {
                Step::Write(name, write_kind) => store.write(NAMES[name], write_kind),
                Step::PlacerReadsList(placer) => placers[placer].read_list(&store),
                Step::PlacerRestarts(placer) => {
                    placers[placer] = Placer::default();
                    placers[placer].read_list(&store);
                }
                Step::PlacerReadsChanges(placer) => placers[placer].read_changes(&store),
                Step::ApplyInUse(placer, selected) => {
                    let placer = &placers[placer];
                    let changes = placer.listing.known_changes(max_entries);
                    node.apply_in_use_snapshot(&placer.in_use(selected), &changes);
                }
                Step::ApplyUpdate(placer) => {
                    if let Some(update) = placers[placer].update.clone() {
                        update.apply_to(&mut node);
                    }
                }
                Step::ApplyComplete(placer) => {
                    node.replace(&placers[placer].listing.snapshot());
                }
            }
            let expected = store.at(node.applied_version());
            for listed in node.snapshot().engines {
                prop_assert!(
                    expected.engines.contains(&listed),
                    "{:?} at version {}",
                    listed,
                    node.applied_version()
                );
            }
            if !node.is_partial() && node.applied_version() > 0 {
                prop_assert_eq!(node.snapshot().engines, expected.engines);
            }
        }
    }
}
