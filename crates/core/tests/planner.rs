//! The role planner keeps floors, cap, dwell and holds, and changes only for gains that repay the price.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use shelfjunction_core::bundle::content::{ClassRule, ModelKind, ModelRule, RoleFloor, RolePolicy};
use shelfjunction_core::demand::{DemandEntry, DemandOutlook, DemandReport, RateEstimate};
use shelfjunction_core::engine::Role;
use shelfjunction_core::identity::{EngineId, ModelId, WeightVersion, ZoneId};
use shelfjunction_core::roles::{EngineProfile, EngineState, Planner, PlannerInput};
use shelfjunction_core::service_class::{ClassTarget, ServiceClass};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

fn entry(class: ServiceClass, requests: f64, prompt: f64, output: f64) -> DemandEntry {
    DemandEntry {
        model: ModelId::new("renewal"),
        class,
        requests,
        prompt_tokens: requests * prompt,
        uncached_prompt_tokens: requests * prompt,
        output_tokens: requests * output,
    }
}

fn input(roles: &[Role], replies: f64, prompts: f64) -> PlannerInput {
    let engines = roles.iter().enumerate().map(|(index, role)| EngineState {
        engine: EngineId::new(format!("engine-{index:02}")),
        zone: ZoneId::new(["a", "b", "c"][index % 3]),
        model: ModelId::new("renewal"),
        role: *role,
        usable: true,
        changing: false,
        changed_at: None,
        drain_seconds: 1.0,
    });
    let demand = DemandReport {
        entries: vec![
            entry(ServiceClass::Interactive, replies, 300.0, 60.0),
            entry(ServiceClass::Batch, prompts, 4_000.0, 120.0),
        ],
    };
    let target = |first_token_millis, between_tokens_millis, deadline_millis| ClassTarget {
        first_token_millis,
        between_tokens_millis,
        deadline_millis,
    };
    PlannerInput {
        zone: ZoneId::new("a"),
        engines: engines.collect(),
        demand: DemandOutlook::steady(demand),
        profile: EngineProfile::default(),
        policy: RolePolicy::default(),
        classes: vec![
            ClassRule {
                class: ServiceClass::Interactive,
                target: target(800, 30, 6_000),
            },
            ClassRule {
                class: ServiceClass::Batch,
                target: target(20_000, 60, 60_000),
            },
        ],
        models: Vec::new(),
        view_age: Duration::from_secs(1),
        store_available: true,
        now: MonotonicTime::from_millis(1_000_000),
    }
}

/// All three zones' plans on the same view.
fn plan_everywhere(input: &PlannerInput) -> Vec<(ZoneId, EngineId, Role, Role)> {
    let mut all = Vec::new();
    for zone in ["a", "b", "c"] {
        let own = PlannerInput {
            zone: ZoneId::new(zone),
            ..input.clone()
        };
        for change in Planner::plan(&own) {
            all.push((own.zone.clone(), change.engine, change.from, change.to));
        }
    }
    all
}

fn starved_of_decode() -> PlannerInput {
    input(
        &[
            Role::Prefill,
            Role::Prefill,
            Role::Prefill,
            Role::Decode,
            Role::Decode,
            Role::Decode,
            Role::Prefill,
            Role::Prefill,
            Role::Prefill,
        ],
        120.0,
        1.0,
    )
}

#[test]
fn a_shift_that_pays_is_answered_and_holds_are_kept() {
    let shifted = starved_of_decode();
    assert!(!plan_everywhere(&shifted).is_empty());
    let stale = PlannerInput {
        view_age: Duration::from_secs(60),
        ..shifted.clone()
    };
    assert!(plan_everywhere(&stale).is_empty(), "acted on a stale view");
    let store_down = PlannerInput {
        store_available: false,
        ..shifted.clone()
    };
    assert!(
        plan_everywhere(&store_down).is_empty(),
        "planned orders that can't be committed"
    );
    let mut dear = shifted.clone();
    dear.policy.change_price = 1e9;
    assert!(
        plan_everywhere(&dear).is_empty(),
        "changed for less than the price"
    );
    let mut rested = shifted;
    for engine in &mut rested.engines {
        engine.changed_at = Some(rested.now - Duration::from_secs(5));
    }
    assert!(
        plan_everywhere(&rested).is_empty(),
        "changed an engine within its dwell"
    );
}

#[test]
fn a_fleet_that_serves_everything_stays_as_it_is() {
    let roles = [Role::Prefill, Role::Decode, Role::Mixed].repeat(3);
    assert!(plan_everywhere(&input(&roles, 30.0, 4.0)).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn floors_cap_and_service_hold_in_every_zone(
        roles in prop::collection::vec(prop::sample::select(ROLES.to_vec()), 3..15),
        replies in 0.0..200.0,
        prompts in 0.0..40.0,
        floor in 0..3_u32,
        cap in 0..3_u32,
        changing in prop::collection::vec(any::<bool>(), 15),
    ) {
        let mut input = input(&roles, replies, prompts);
        input.policy.change_price = 0.0;
        input.policy.concurrent_changes_per_zone = cap;
        input.models = vec![ModelRule {
            model: ModelId::new("renewal"),
            version: WeightVersion::new("1"),
            kind: ModelKind::Model,
            weight_bytes: 0,
            adapters: Vec::new(),
            floors: vec![RoleFloor { role: Role::Prefill, engines: floor }, RoleFloor { role: Role::Decode, engines: floor }],
        }];
        for (engine, changing) in input.engines.iter_mut().zip(&changing) {
            engine.changing = *changing && cap > 0;
        }
        let mut away: BTreeMap<ZoneId, u32> = BTreeMap::new();
        for engine in input.engines.iter().filter(|engine| engine.changing) {
            *away.entry(engine.zone.clone()).or_default() += 1;
        }
        let before_away = away.clone();
        for (zone, changed, from, _) in plan_everywhere(&input) {
            let engine = input.engines.iter().find(|known| known.engine == changed).unwrap();
            prop_assert_eq!(&engine.zone, &zone, "ordered another zone's engine");
            prop_assert!(!engine.changing, "changed an engine in a change");
            *away.entry(zone.clone()).or_default() += 1;
            prop_assert!(away[&zone] <= cap.max(before_away.get(&zone).copied().unwrap_or(0)), "more changes than the cap");
            let left = |role: Role| {
                let serving = input.engines.iter().filter(|known| {
                    known.zone == zone && known.role == role && !known.changing && known.engine != changed
                });
                serving.count() as u32
            };
            let own_floor = if from == Role::Mixed { 0 } else { floor };
            prop_assert!(left(from) >= own_floor, "went below a floor");
            let serves = left(Role::Mixed) > 0 || (left(Role::Prefill) > 0 && left(Role::Decode) > 0);
            prop_assert!(serves, "left a zone that can't serve whole requests");
        }
    }
}

#[test]
fn a_rate_follows_a_shift_within_seconds_and_noise_not_at_all() {
    let noise = [0.8, 1.1, 0.95, 1.2, 1.0, 0.9, 1.05, 1.0];
    let mut rate = RateEstimate::default();
    for bin in 0..600 {
        rate.add_bin(100.0 * noise[bin % noise.len()]);
    }
    assert_eq!(rate.shifts(), 0, "took noise for a shift");
    for bin in 0..10 {
        rate.add_bin(300.0 * noise[bin % noise.len()]);
    }
    assert!(
        rate.value() > 220.0,
        "still at {} after ten seconds",
        rate.value()
    );
}
