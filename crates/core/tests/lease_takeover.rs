//! How soon a holder of the lease that was killed is replaced, and that none is replaced that still holds it.

#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use shelfjunction_core::identity::{NodeId, ZoneId};
use shelfjunction_core::lease::{
    LeaseEffect, LeaseEvent, LeaseKeeper, LeaseTimings, TOKENS_PER_ERA, TableAnswer, TableCall,
};
use shelfjunction_core::table::{PlatformError, Row, RowKey, RowVersion, Transaction, TransactionOutcome};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;

/// The node's own times.
const TIMINGS: LeaseTimings = LeaseTimings {
    duration_millis: 4_500,
    renew_every_millis: 1_000,
    margin_millis: 1_000,
    read_every_millis: 1_000,
    retry_after_millis: 250,
};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(10_000 + millis)
}

#[derive(Default)]
struct Store {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
}

impl Store {
    fn answer(&mut self, call: &TableCall) -> TableAnswer {
        match call {
            TableCall::Read(key) => TableAnswer::Row(self.rows.get(key).cloned()),
            TableCall::Scan(_) => TableAnswer::Rows(Vec::new()),
            TableCall::Transact(transaction) => TableAnswer::Transacted(self.transact(transaction)),
        }
    }

    fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        for check in &transaction.checks {
            let found = self.rows.get(&check.key).cloned();
            if found.as_ref().map(|row| row.version) != check.expected {
                let key = check.key.clone();
                return TransactionOutcome::Conflict { key, found };
            }
        }
        self.version += 1;
        let version = RowVersion(self.version);
        for write in &transaction.writes {
            let value = write.value.clone().unwrap();
            let row = Row {
                key: write.key.clone(),
                version,
                value,
            };
            self.rows.insert(write.key.clone(), row);
        }
        TransactionOutcome::Committed { version }
    }
}

fn keeper(name: &str, process: u64) -> LeaseKeeper {
    LeaseKeeper::new(TIMINGS, NodeId::new(name), ZoneId::new("fleet"), process)
}

fn handle(keeper: &mut LeaseKeeper, store: &mut Store, event: LeaseEvent, now: MonotonicTime) {
    let mut effects = keeper.handle(event, now);
    while let Some(effect) = effects.pop() {
        if let LeaseEffect::Call { call, request } = effect {
            let answer = store.answer(&request);
            effects.extend(keeper.handle(LeaseEvent::Answer { call, answer }, now));
        }
    }
}

/// A successor read the row for the first time 2 s or more after the kill, and waited for 4.5 s from there: a window that ended a
/// moment before the kill was reported when it was overdue.
#[test]
fn a_successor_that_heard_the_holder_waits_no_longer_than_the_lease() {
    let (mut store, mut holder, mut successor) = (Store::default(), keeper("a", 1), keeper("b", 2));
    for now in (0..10_000).step_by(250) {
        handle(&mut holder, &mut store, LeaseEvent::Tick, at(now));
        if let Some(version) = holder.renewed_version().filter(|_| now % 1_000 == 500) {
            successor.note_heard(version, at(now));
        }
        assert!(holder.authority(at(now)).is_some());
    }
    let killed_at = 10_000;
    let noticed_at = killed_at + 2_000;
    let ticks = (noticed_at..).step_by(250);
    let mut gained = ticks.filter(|now| {
        handle(&mut successor, &mut store, LeaseEvent::Tick, at(*now));
        successor.authority(at(*now)).is_some()
    });
    let gained_at = gained.next().unwrap();
    assert!(gained_at <= killed_at + 4_750, "gained at {gained_at}");
}

proptest! {
    /// A successor that hears digests late, twice or not at all, and reads the row when it likes, never has the lease while
    /// the holder, which it may no longer hear, has.
    #[test]
    fn no_two_hold_the_lease(
        heard in prop::collection::vec((any::<bool>(), 0_u64..8_000), 40),
        looks in prop::collection::vec(any::<bool>(), 400),
        silent_from in 0_u64..30_000,
    ) {
        let (mut store, mut holder, mut successor) = (Store::default(), keeper("a", 1), keeper("b", 2));
        let mut flying: Vec<(u64, RowVersion)> = Vec::new();
        for (index, looks) in looks.iter().enumerate() {
            let now = index as u64 * 100;
            if now < silent_from {
                handle(&mut holder, &mut store, LeaseEvent::Tick, at(now));
            }
            if let Some(version) = holder.renewed_version() && now.is_multiple_of(1_000) {
                let (arrives, delay) = heard[index / 10 % heard.len()];
                flying.extend(arrives.then_some((now + delay, version)));
            }
            for (_, version) in flying.iter().filter(|(arrives, _)| *arrives <= now) {
                successor.note_heard(*version, at(now));
            }
            flying.retain(|(arrives, _)| *arrives > now);
            if *looks {
                handle(&mut successor, &mut store, LeaseEvent::Tick, at(now));
            }
            let both = holder.authority(at(now)).is_some() && successor.authority(at(now)).is_some();
            prop_assert!(!both, "at {now}");
        }
    }
}

/// Token under which a keeper holds the lease.
fn token(keeper: &LeaseKeeper, now: MonotonicTime) -> Option<u64> {
    keeper.authority(now).map(|authority| authority.token.0)
}

#[test]
fn a_fencing_token_is_not_used_twice_though_an_older_copy_of_its_row_is_restored() {
    let (mut store, mut holder, mut successor) = (Store::default(), keeper("a", 1), keeper("b", 2));
    handle(&mut holder, &mut store, LeaseEvent::Tick, at(0));
    let copy = store.rows.clone();
    handle(&mut holder, &mut store, LeaseEvent::Release, at(500));
    handle(&mut successor, &mut store, LeaseEvent::Tick, at(1_000));
    assert_eq!(token(&successor, at(1_000)), Some(2));
    // The copy names the first holder, in a later era.
    let era = 1 << 40;
    store.rows = copy;
    for row in store.rows.values_mut() {
        row.version = RowVersion(row.version.0 + era);
    }
    store.version = era + 1;
    let mut seen = Vec::new();
    for now in (1_000..20_000).step_by(250) {
        handle(&mut successor, &mut store, LeaseEvent::Tick, at(now));
        seen.extend(token(&successor, at(now)));
    }
    seen.dedup();
    let first_of_era = TOKENS_PER_ERA;
    assert_eq!(
        seen,
        [2, first_of_era],
        "lost, and taken anew under the era's first token"
    );
}

#[test]
fn a_lease_whose_row_a_restored_store_lacks_is_not_taken_before_it_lapses() {
    let (mut store, mut holder, mut successor) = (Store::default(), keeper("a", 1), keeper("b", 2));
    handle(&mut holder, &mut store, LeaseEvent::Tick, at(0));
    handle(&mut successor, &mut store, LeaseEvent::Tick, at(100));
    store.rows.clear();
    for now in (200..20_000).step_by(100) {
        handle(&mut successor, &mut store, LeaseEvent::Tick, at(now));
        let both = holder.authority(at(now)).is_some() && successor.authority(at(now)).is_some();
        assert!(!both, "at {now}");
    }
    assert_eq!(token(&successor, at(20_000)), Some(2));
}

/// A window of time that ended while nobody else could hold the lease can be accounted for by this process alone.
#[test]
fn the_time_in_which_nobody_else_can_hold_the_lease_ends_a_whole_lease_after_the_last_confirmed_renewal() {
    let (mut store, mut holder, mut successor) = (Store::default(), keeper("a", 1), keeper("b", 2));
    assert_eq!(holder.exclusive_until(), None);
    handle(&mut holder, &mut store, LeaseEvent::Tick, at(0));
    assert_eq!(holder.exclusive_until(), Some(at(4_500)));
    handle(&mut holder, &mut store, LeaseEvent::Tick, at(1_000));
    // Renewals whose answers are lost prove nothing.
    for now in (2_000..10_000).step_by(250) {
        for effect in holder.handle(LeaseEvent::Tick, at(now)) {
            if let LeaseEffect::Call { call, .. } = effect {
                let answer = TableAnswer::Failed(PlatformError::AnswerLost);
                holder.handle(LeaseEvent::Answer { call, answer }, at(now));
            }
        }
        assert_eq!(holder.exclusive_until(), Some(at(5_500)), "at {now}");
        handle(&mut successor, &mut store, LeaseEvent::Tick, at(now));
        assert!(token(&successor, at(now)).is_none() || now >= 5_500, "at {now}");
    }
    assert_eq!(holder.authority(at(10_000)), None);
    handle(&mut successor, &mut store, LeaseEvent::Tick, at(10_000));
    assert_eq!(token(&successor, at(10_000)), Some(2));
    handle(&mut holder, &mut store, LeaseEvent::Tick, at(10_250));
    assert_eq!(holder.exclusive_until(), None, "the successor's taking was read");
    handle(&mut successor, &mut store, LeaseEvent::Release, at(10_500));
    assert_eq!(
        successor.exclusive_until(),
        None,
        "anybody may take what was released"
    );
}
