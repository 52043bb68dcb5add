//! The list of engines, where an engine may start again under its name: in whatever order words come, the latest start
//! stays.

mod pool_support;

use pool_support::engine_with;
use proptest::prelude::*;
use shelfjunction_core::identity::{EngineId, EngineStart};
use shelfjunction_core::routing::pool::{EngineListing, EngineStage, ListChange, ListUpdate, PoolEngine};

const NAME: &str = "engine";

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

fn with(changes: &[ListChange]) -> (EngineListing, u64) {
    let mut listing = EngineListing::default();
    let numbered = (1..).zip(changes.iter().cloned()).collect();
    listing.apply(numbered, changes.len() as u64);
    (listing, changes.len() as u64 + 1)
}

#[test]
fn a_later_start_takes_the_place_of_the_earlier_one() {
    let (mut listing, next) = with(&[listed(1)]);
    assert_eq!(listing.apply(vec![(next, listed(2))], next), [gone(1), listed(2)]);
    assert!(listing.is_listed(&id(2)) && !listing.is_listed(&id(1)));
    assert_eq!(listing.snapshot().engines, [engine(2)]);
}

#[test]
fn a_row_of_an_earlier_start_changes_nothing_whatever_its_version() {
    for before in [&[listed(2)][..], &[listed(2), gone_by_name()]] {
        let (mut listing, next) = with(before);
        assert_eq!(listing.apply(vec![(next, listed(1))], next), []);
        assert!(!listing.is_listed(&id(1)));
        assert_eq!(listing.latest_start(NAME), EngineStart(2));
    }
}

#[test]
fn the_end_of_an_earlier_start_does_not_end_the_later_one() {
    let (mut listing, next) = with(&[listed(1), listed(2)]);
    assert_eq!(listing.apply(vec![(next, gone(1))], next), []);
    assert!(listing.is_listed(&id(2)));
}

#[test]
fn an_end_by_name_ends_whichever_start_is_listed_and_the_same_may_come_back() {
    let (mut listing, next) = with(&[listed(1), listed(2)]);
    assert_eq!(listing.apply(vec![(next, gone_by_name())], next), [gone(2)]);
    assert_eq!(listing.apply(vec![(next + 1, listed(2))], next + 1), [listed(2)]);
}

#[test]
fn an_entry_that_cannot_be_read_takes_the_engine_off_until_it_can_be_again() {
    let (mut listing, next) = with(&[listed(2)]);
    assert_eq!(
        listing.apply(vec![(next, unreadable())], next),
        [ListChange::Unreadable(id(2))]
    );
    assert_eq!(
        listing.apply(vec![(next + 1, unreadable())], next + 1),
        [],
        "once"
    );
    assert_eq!(listing.snapshot().engines, []);
    assert_eq!(listing.apply(vec![(next + 2, listed(2))], next + 2), [listed(2)]);
    assert!(listing.snapshot().unreadable.is_empty());
}

#[test]
fn who_takes_the_whole_list_learns_of_starts_and_of_entries_that_cannot_be_read() {
    let (source, version) = with(&[listed(1), listed(2)]);
    let (mut other, _) = with(&[listed(1)]);
    assert_eq!(other.replace(&source.snapshot()), [gone(1), listed(2)]);
    let mut source = source;
    source.apply(vec![(version, unreadable())], version);
    assert_eq!(other.replace(&source.snapshot()), [ListChange::Unreadable(id(2))]);
}

#[test]
fn the_starts_of_names_that_are_gone_are_kept_within_bounds() {
    let mut listing = EngineListing::default();
    for number in 0..3_000_u64 {
        let mut one = engine(7);
        one.id = EngineId::started(format!("engine-{number}"), EngineStart(7));
        let name = EngineId::new(one.id.as_str());
        let version = 2 * number + 1;
        let changes = vec![
            (version, ListChange::Listed(one)),
            (version + 1, ListChange::Gone(name)),
        ];
        listing.apply(changes, version + 1);
    }
    let known = (0..3_000)
        .filter(|number| listing.latest_start(&format!("engine-{number}")) == EngineStart(7))
        .count();
    assert_eq!(known, 1_024, "the last ones");
    assert_eq!(listing.latest_start("engine-2999"), EngineStart(7));
}

/// A history of one name: what the store holds after each of its versions.
fn history() -> impl Strategy<Value = Vec<ListChange>> {
    let change = prop_oneof![
        4 => (1_u64..5).prop_map(listed),
        2 => Just(gone_by_name()),
        1 => Just(unreadable()),
    ];
    prop::collection::vec(change, 1..12)
}

/// Words that tell parts of the history: from which version on, and how many of its changes.
fn words() -> impl Strategy<Value = Vec<(usize, usize)>> {
    prop::collection::vec((0_usize..12, 1_usize..6), 0..24)
}

fn word(history: &[ListChange], (from, count): (usize, usize)) -> ListUpdate {
    let changes = (1..).zip(history.iter().cloned());
    ListUpdate {
        base: from as u64,
        changes: changes.skip(from).take(count).collect(),
    }
}

proptest! {
    #[test]
    fn words_in_any_order_lead_to_the_same_list_and_never_back_to_an_earlier_start(
        history in history(),
        words in words(),
    ) {
        let (expected, _) = with(&history);
        let mut heard = EngineListing::default();
        let mut latest = EngineStart::default();
        let mut in_use: Option<EngineId> = None;
        let rest = (0..history.len()).map(|from| (from, history.len()));
        for told in words.into_iter().chain(rest) {
            for change in word(&history, told).apply_to(&mut heard) {
                match change {
                    ListChange::Listed(engine) => {
                        prop_assert!(engine.id.start() >= latest, "{:?} after {latest:?}", engine.id);
                        prop_assert!(in_use.is_none() || in_use.as_ref() == Some(&engine.id));
                        latest = engine.id.start();
                        in_use = Some(engine.id);
                    }
                    ListChange::Gone(engine) => prop_assert_eq!(in_use.take(), Some(engine)),
                    ListChange::Unreadable(_) => in_use = None,
                }
            }
        }
        let listed = expected.snapshot();
        prop_assert_eq!(heard.snapshot(), listed.clone());
        prop_assert_eq!(in_use, listed.engines.first().map(|engine| engine.id.clone()));
    }

    #[test]
    fn one_answer_of_the_store_may_hold_its_rows_in_any_order(
        history in history(),
        shuffle in prop::collection::vec(any::<u64>(), 12),
    ) {
        let (expected, _) = with(&history);
        let mut changes: Vec<_> = (1..).zip(history.iter().cloned()).collect();
        changes.sort_by_key(|(version, _)| shuffle[*version as usize - 1]);
        let mut heard = EngineListing::default();
        heard.apply(changes, history.len() as u64);
        prop_assert_eq!(heard.snapshot(), expected.snapshot());
    }
}
