//! Canonical bytes, validation, tenancy and place.
#![allow(clippy::unwrap_used)]

mod bundle_support;

use bundle_support::{Platform, bundle, roots, tenant, token};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use shelfjunction_core::bundle::content::Bundle;
use shelfjunction_core::bundle::manifest::{self, Part};
use shelfjunction_core::bundle::validate::validate;
use shelfjunction_core::bundle::{BundleKeeper, HeadSource, canonical};
use shelfjunction_core::identity::{TenantId, ZoneId};
use shelfjunction_core::residency;
use shelfjunction_core::tenancy::{CacheSecret, TenantDirectory};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeSet;

fn config() -> Config {
    Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(20_261_202),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    }
}

fn names() -> impl Strategy<Value = BTreeSet<String>> {
    proptest::collection::btree_set("[a-z][a-z0-9.-]{0,12}", 1..150)
}

fn with_tenants(names: &BTreeSet<String>) -> Bundle {
    let mut content = bundle("bundle", 0, &[0, 1, 2], 2);
    content.tenants = names.iter().map(|name| tenant(name, 1)).collect();
    content
}

fn directory(content: &Bundle) -> TenantDirectory {
    let mut platform = Platform::default();
    let head = platform.accept(content.clone(), vec![0, 1, 2], 2);
    let mut keeper = BundleKeeper::new(roots(), ZoneId::new("zone-a"));
    keeper.on_head(Some(head), &HeadSource::Store, MonotonicTime::default());
    while keeper.in_force().is_none() {
        keeper.on_contents(platform.contents.values());
    }
    TenantDirectory::new(keeper.in_force().unwrap())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_bytes_do_not_depend_on_the_order_and_read_back_the_same(names in names(), seed in any::<u64>()) {
        let content = with_tenants(&names);
        let mut shuffled = content.clone();
        let turn = |length: usize| if length == 0 { 0 } else { (seed % length as u64) as usize };
        let (tenants, operators, zones) =
            (turn(shuffled.tenants.len()), turn(shuffled.operators.len()), turn(shuffled.zones.len()));
        shuffled.tenants.rotate_left(tenants);
        shuffled.operators.rotate_left(operators);
        shuffled.zones.rotate_left(zones);
        shuffled.tenants.iter_mut().for_each(|rule| rule.zones.reverse());

        let bytes = canonical::bundle_bytes(&content);
        prop_assert_eq!(&canonical::bundle_bytes(&shuffled), &bytes);
        let read: Bundle = serde_json::from_slice(&bytes).unwrap();
        prop_assert_eq!(canonical::bundle_bytes(&read), bytes);

        let (packed, repacked) = (manifest::pack(&content), manifest::pack(&shuffled));
        prop_assert_eq!(&packed, &repacked);
        let tenants = packed.contents.iter().filter_map(|part| {
            match serde_json::from_slice::<Part>(&part.bytes) {
                Ok(Part::Tenants(rules)) => Some(rules.len()),
                _ => None,
            }
        });
        prop_assert_eq!(tenants.sum::<usize>(), names.len());
    }

    #[test]
    fn a_token_opens_its_tenant_and_a_salt_is_no_one_elses(names in names(), other in "[a-z]{1,9}") {
        let directory = directory(&with_tenants(&names));
        let secret = CacheSecret::new([7; 32]);
        let mut salts = BTreeSet::new();
        for name in &names {
            let found = directory.authenticate(&token(name)).map(|rule| rule.tenant.as_str());
            prop_assert_eq!(found, Some(name.as_str()));
            let identifier = TenantId::new(name.as_str());
            prop_assert_eq!(directory.tenant(&identifier).map(|rule| &rule.tenant), Some(&identifier));
            prop_assert!(salts.insert(secret.salt(&identifier)));
            prop_assert_ne!(CacheSecret::new([8; 32]).salt(&identifier), secret.salt(&identifier));
        }
        prop_assert_eq!(directory.tenants().count(), names.len());
        for stranger in ["", &other, &token("no such tenant")] {
            prop_assert!(directory.authenticate(stranger).is_none());
        }
    }

    #[test]
    fn a_tenant_is_served_where_its_rule_and_the_bundle_both_say(
        own in proptest::collection::btree_set(0_usize..6, 0..6),
        existing in proptest::collection::btree_set(0_usize..6, 0..6),
    ) {
        let zone = |number: &usize| ZoneId::new(format!("zone-{number}"));
        let mut rule = tenant("tenant", 1);
        rule.zones = own.iter().map(zone).collect();
        let mut zones = bundle("bundle", 0, &[0], 1).zones;
        let template = zones[0].clone();
        zones = existing.iter().map(|number| {
            let mut rule = template.clone();
            rule.zone = zone(number);
            rule
        }).collect();
        let expected: Vec<ZoneId> = own.intersection(&existing).map(zone).collect();
        prop_assert_eq!(residency::allowed_zones(&rule, &zones), expected.clone());
        for number in 0..6 {
            let place = zone(&number);
            prop_assert_eq!(residency::is_allowed(&rule, &zones, &place), expected.contains(&place));
        }
    }
}

#[test]
fn a_cache_secret_is_never_printed() {
    let secret = CacheSecret::from_hex(&"ab".repeat(32)).unwrap();
    assert_eq!(format!("{secret:?}"), "CacheSecret(not shown)");
    assert!(CacheSecret::from_hex("ab").is_none());
}

#[test]
fn every_fault_of_a_bundle_is_reported_at_once() {
    let mut wrong = bundle("wrong", 3, &[0, 1], 3);
    wrong.fleet.isolation_limit_millis = 0;
    wrong.fleet.roles.change_price = f64::NAN;
    wrong.fleet.roles.horizon_millis = 0;
    wrong.zones[1].zone = ZoneId::new("zone-a");
    wrong.zones[2].zone = ZoneId::new("zone/c");
    wrong.models[0].version = shelfjunction_core::identity::WeightVersion::new("");
    wrong.tenants[0].zones.clear();
    wrong.tenants[0].token_sha256 = "12".to_owned();
    wrong.tenants[1].models[0].model = shelfjunction_core::identity::ModelId::new("nothing");
    wrong.tenants[1].tokens_in_flight = 0;
    wrong.tenants[2] = tenant("tenant-00001", 1);
    wrong.operators[1].public_key = wrong.operators[0].public_key.clone();
    let faults: Vec<String> = validate(&wrong).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(faults.join("\n"), @r#"
    fleet.required_signatures = 3: allowed is 1 to the number of operators with the action sign (2)
    fleet.isolation_limit_millis = 0: allowed is at least 1000
    fleet.roles.change_price = NaN: allowed is a finite number, 0 or more
    fleet.roles.horizon_millis = 0: allowed is above 0
    zones = zone-a: allowed is each name once
    zones.zone = "zone/c": allowed is 1 to 64 letters, digits, '-', '_' or '.'
    models.renewal.version = "": allowed is 1 to 64 letters, digits, '-', '_' or '.'
    tenants = tenant-00001: allowed is each name once
    tenants.tenant-00000.token_sha256 = (not shown): allowed is the 64 hexadecimal digits of a SHA-256
    tenants.tenant-00000.zones = []: allowed is at least one zone
    tenants.tenant-00001.zones = zone-b: allowed is a zone of this bundle
    tenants.tenant-00001.models = nothing: allowed is a model of this bundle
    tenants.tenant-00001.tokens_in_flight = 0: allowed is above 0; leave a tenant out to refuse all its calls
    tenants.tenant-00001.token_sha256 = (not shown): allowed is a token that no other tenant has
    tenants.tenant-00001.zones = zone-b: allowed is a zone of this bundle
    operators.operator-1.public_key = 8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c: allowed is a key that no other operator has
    "#);
}
