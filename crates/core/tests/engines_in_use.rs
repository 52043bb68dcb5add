//! The list of a node that takes the engines in use of others in place of the whole list.

mod pool_support;

use pool_support::engine_with;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::routing::pool::{
    EngineListing, EngineStage, ListChange, ListNews, ListSnapshot, PoolEngine,
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
    let taken = listing.replace_in_use(&snapshot(20, vec![leaving("a")]));
    assert_eq!(taken, [gone("b"), ListChange::Listed(leaving("a"))]);
    assert!(listing.is_partial());
}

#[test]
fn engines_in_use_that_are_older_say_nothing_to_a_node_that_knows_all() {
    let mut listing = EngineListing::default();
    listing.replace(&snapshot(10, vec![engine("a")]));
    assert_eq!(listing.replace_in_use(&snapshot(10, vec![engine("b")])), []);
    assert!(!listing.is_partial());
}

#[test]
fn an_older_word_of_another_placer_adds_what_was_never_named_and_changes_nothing_else() {
    let mut listing = EngineListing::default();
    listing.replace_in_use(&snapshot(20, vec![leaving("a")]));
    let taken = listing.replace_in_use(&snapshot(15, vec![engine("a"), engine("b")]));
    assert_eq!(taken, [ListChange::Listed(engine("b"))]);
    assert_eq!(names(&listing), ["a", "b"]);
}

#[test]
fn an_engine_that_one_placer_has_no_longer_in_use_can_be_named_by_another() {
    let mut listing = EngineListing::default();
    listing.replace_in_use(&snapshot(20, vec![engine("a"), engine("b")]));
    assert_eq!(
        listing.replace_in_use(&snapshot(30, vec![engine("a")])),
        [gone("b")]
    );
    let taken = listing.replace_in_use(&snapshot(25, vec![engine("b")]));
    assert_eq!(taken, [ListChange::Listed(engine("b"))]);
}

#[test]
fn news_of_the_whole_list_add_no_engine_that_nobody_uses() {
    let mut listing = EngineListing::default();
    listing.replace_in_use(&snapshot(20, vec![engine("a")]));
    let news = ListNews {
        base: 20,
        changes: vec![
            (21, ListChange::Listed(engine("new"))),
            (22, ListChange::Listed(leaving("a"))),
        ],
    };
    assert_eq!(news.apply_to(&mut listing), [ListChange::Listed(leaving("a"))]);
    assert_eq!(listing.reflected(), 22);
}

#[test]
fn the_whole_list_makes_a_node_know_all_again() {
    let mut listing = EngineListing::default();
    listing.replace_in_use(&snapshot(20, vec![engine("a")]));
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
