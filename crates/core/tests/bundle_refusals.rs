//! Examples of what a keeper refuses, fetches, passes on and confirms.
#![allow(clippy::unwrap_used)]

mod bundle_support;

use bundle_support::{Platform, ZONES, bundle, keeper_with, roots};
use shelfjunction_core::bundle::signature::{self, ProposalId, SigningOperator};
use shelfjunction_core::bundle::{BundleError, BundleKeeper, Head, HeadSource, KeeperEvent};
use shelfjunction_core::identity::{Generation, ZoneId};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

#[test]
fn a_change_of_one_tenant_fetches_its_bucket_and_no_other() {
    let mut platform = Platform::default();
    platform.accept(bundle("first", 4_800, &[0], 1), vec![0], 1);
    let mut keeper = keeper_with(&platform);

    let mut changed = bundle("second", 4_800, &[0], 1);
    changed.tenants[77].share = 9;
    let head = platform.accept(changed, vec![0], 1);
    let mut fetched = Vec::new();
    keeper.on_head(Some(head), &HeadSource::Store, MonotonicTime::default());
    while !keeper.wanted().is_empty() {
        let contents: Vec<Vec<u8>> = keeper
            .wanted()
            .iter()
            .map(|digest| platform.contents[digest].clone())
            .collect();
        fetched.extend(contents.iter().map(Vec::len));
        keeper.on_contents(contents);
    }
    assert_eq!(keeper.head(), Some(head));
    // The signed statement, the manifest and the tenant's bucket.
    assert_eq!(fetched.len(), 3);
}

#[test]
fn what_a_keeper_holds_is_enough_for_a_process_that_has_only_the_root_keys() {
    let mut platform = Platform::default();
    platform.accept(bundle("first", 5, &[0], 1), vec![0], 1);
    platform.accept(bundle("second", 5, &[1, 2], 2), vec![1, 2], 2);
    platform.accept(bundle("third", 5, &[2, 3], 1), vec![2, 3], 1);
    platform.accept(bundle("fourth", 6, &[2, 3], 1), vec![2, 3], 1);
    let holder = keeper_with(&platform);
    let mut fresh = BundleKeeper::new(roots(), ZoneId::new(ZONES[2]));
    let source = HeadSource::Peer {
        zone: ZoneId::new(ZONES[0]),
        confirmed_ago: Duration::ZERO,
    };
    fresh.on_head(holder.head(), &source, MonotonicTime::default());
    while !fresh.wanted().is_empty() {
        let contents: Vec<_> = fresh
            .wanted()
            .iter()
            .map(|digest| holder.content(*digest).unwrap())
            .collect();
        fresh.on_contents(contents);
    }
    assert_eq!(fresh.head(), holder.head());
}

#[test]
fn each_forgery_is_refused_with_its_cause() {
    let mut platform = Platform::default();
    platform.accept(bundle("first", 2, &[0, 1], 2), vec![0, 1], 2);
    let authority = platform.history[0].next_authority;
    let forged = bundle("forged", 2, &[0], 1);
    let offers = [
        platform.sign(&forged, 2, authority, &[0]),
        platform.sign(&forged, 2, authority, &[0, 9]),
        platform.sign(&forged, 2, None, &[0]),
    ];
    let mut keeper = keeper_with(&platform);
    let mut refusals = Vec::new();
    for head in offers {
        keeper.on_head(Some(head), &HeadSource::Store, MonotonicTime::default());
        while !keeper.wanted().is_empty() {
            let contents: Vec<Vec<u8>> = keeper
                .wanted()
                .iter()
                .map(|digest| platform.contents[digest].clone())
                .collect();
            refusals.extend(keeper.on_contents(contents));
        }
    }
    let texts: Vec<String> = refusals
        .iter()
        .filter_map(|event| match event {
            KeeperEvent::Refused { error, .. } => Some(error.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(
        texts,
        [
            "1 valid signatures of 2 required",
            "1 valid signatures of 2 required",
            "signed under an authority that the bundle in force does not lead to",
        ]
    );
    assert_eq!(keeper.generation(), Generation(1));

    let held = keeper.head().unwrap();
    let other = Head {
        digest: offers[0].digest,
        ..held
    };
    let events = keeper.on_head(Some(other), &HeadSource::Store, MonotonicTime::default());
    assert_eq!(events, [KeeperEvent::Forked { held, offered: other }]);
    let relabelled = Head {
        generation: Generation(5),
        digest: platform.sign(&forged, 2, authority, &[0, 1]).digest,
    };
    keeper.on_head(Some(relabelled), &HeadSource::Store, MonotonicTime::default());
    let events = keeper.on_contents([platform.contents[&relabelled.digest].clone()]);
    let error = BundleError::WrongGeneration {
        offered: Generation(5),
        signed: Generation(2),
    };
    assert_eq!(
        events,
        [KeeperEvent::Refused {
            head: relabelled,
            error
        }]
    );
}

#[test]
fn only_the_store_and_other_zones_keep_a_process_from_isolation() {
    let mut platform = Platform::default();
    platform.accept(bundle("first", 2, &[0], 1), vec![0], 1);
    let limit = platform.history[0].bundle.fleet.isolation_limit_millis;
    let mut keeper = keeper_with(&platform);
    let head = keeper.head();
    let at = |millis| MonotonicTime::from_millis(millis);
    assert!(!keeper.is_isolated(at(limit)));
    assert!(keeper.is_isolated(at(limit + 1)));

    // A process of the own zone passes on what it had, and no more.
    let own_zone = HeadSource::Peer {
        zone: ZoneId::new(ZONES[0]),
        confirmed_ago: Duration::from_millis(limit),
    };
    keeper.on_head(head, &own_zone, at(limit + 10));
    assert!(keeper.is_isolated(at(limit + 11)));

    // One of another zone vouches while the store is down, also one that knows of less.
    let other_zone = HeadSource::Peer {
        zone: ZoneId::new(ZONES[1]),
        confirmed_ago: Duration::from_millis(limit * 9),
    };
    keeper.on_head(None, &other_zone, at(limit + 20));
    assert!(!keeper.is_isolated(at(2 * limit + 20)));

    // Knowing of a higher generation without its contents confirms nothing.
    let next = platform.accept(bundle("second", 2, &[0], 1), vec![0], 1);
    keeper.on_head(Some(next), &HeadSource::Store, at(2 * limit + 20));
    assert!(keeper.is_isolated(at(2 * limit + 21)));

    // A stale read of the store confirms nothing either.
    let mut ahead = keeper_with(&platform);
    ahead.on_head(head, &HeadSource::Store, at(limit));
    assert!(ahead.is_isolated(at(limit + 1)));
}

#[test]
fn a_proposal_is_known_by_the_generation_in_its_name() {
    let proposal = ProposalId::new(Generation(12), "5f1c");
    assert_eq!(proposal.generation(), Some(Generation(12)));
    for wrong in ["", "12", "-5f", "12-", "x-5f", "12-5f/../x", "12-5f-1"] {
        assert_eq!(ProposalId(wrong.to_owned()).generation(), None, "{wrong}");
    }
}

#[test]
fn a_stale_head_asks_for_nothing_and_changes_nothing() {
    let mut platform = Platform::default();
    let first = platform.accept(bundle("first", 2, &[0], 1), vec![0], 1);
    let second = platform.accept(bundle("second", 2, &[0], 1), vec![0], 1);
    let mut keeper = keeper_with(&platform);
    assert_eq!(
        keeper.on_head(Some(first), &HeadSource::Store, MonotonicTime::default()),
        []
    );
    assert!(keeper.wanted().is_empty());
    keeper.on_contents(platform.contents.values());
    assert_eq!(keeper.head(), Some(second));
}

#[test]
fn processes_with_other_root_keys_agree_on_who_signs_next() {
    let mut platform = Platform::default();
    platform.accept(bundle("first", 2, &[0], 1), vec![0], 1);
    platform.accept(bundle("second", 2, &[0], 1), vec![0], 1);
    let mut more_roots = roots();
    more_roots.operators.push(SigningOperator {
        operator: bundle_support::operator_name(7),
        public_key: signature::public_key(&bundle_support::secret(7)),
    });
    let mut other = BundleKeeper::new(more_roots, ZoneId::new(ZONES[0]));
    other.on_head(platform.head(), &HeadSource::Store, MonotonicTime::default());
    while !other.wanted().is_empty() {
        other.on_contents(platform.contents.values());
    }
    let authority = |keeper: &BundleKeeper| keeper.in_force().unwrap().next.authority;
    assert_eq!(authority(&other), authority(&keeper_with(&platform)));
    assert!(authority(&other).is_some());
}
