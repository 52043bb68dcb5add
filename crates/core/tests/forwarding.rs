//! Routes, versions, shares, the list of engines, roles and the budget for repeats of forwarded requests.

#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use shelfjunction_core::forwarding::{
    Adoption, CallerLimits, ConfigInForce, ForwardingConfig, HandoverSettings, PoolConfig, PoolId, PoolShare,
    RepeatRule, RouteId, RouteRule, ShareRotation, stopping,
};
use shelfjunction_core::identity::{EngineId, ZoneId};
use shelfjunction_core::retry::arrivals::{Arrival, ArrivalAccount};
use shelfjunction_core::retry::sharing::{BudgetShare, Sharers};
use shelfjunction_core::retry::window::{WindowBudget, WindowBudgetSettings};
use shelfjunction_core::roles::pool::{
    PeakLoads, PoolDemand, PoolEngineView, PoolRolePolicy, load_now, plan, plan_round,
};
use shelfjunction_core::routing::pool::{EngineListing, EngineStage, ListChange, ListSnapshot, PoolEngine};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

fn route(name: &str, path: &str, shares: &[(&str, u32)]) -> RouteRule {
    RouteRule {
        id: RouteId(name.to_owned()),
        host: "svc.example".to_owned(),
        path_prefix: path.to_owned(),
        shares: shares
            .iter()
            .map(|(pool, weight)| PoolShare {
                pool: PoolId((*pool).to_owned()),
                weight: *weight,
            })
            .collect(),
        repeat: RepeatRule::Never,
        events: false,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        event_gap: None,
        priority: 0,
        maximum_runs: 1,
        anonymous: false,
    }
}

fn config(version: u64, routes: Vec<RouteRule>) -> ForwardingConfig {
    let pool = |name: &str| PoolConfig {
        id: PoolId(name.to_owned()),
        connection_limit: 10,
        model: None,
        scaling: None,
    };
    ForwardingConfig {
        version,
        routes,
        pools: vec![pool("a"), pool("b")],
        limits: CallerLimits::default(),
        tenants: None,
    }
}

#[test]
fn the_longest_prefix_of_the_host_takes_a_request() {
    let config = config(
        1,
        vec![
            route("short", "/x/", &[("a", 1)]),
            route("long", "/x/y/", &[("a", 1)]),
        ],
    );
    let name = |host: &str, path: &str| config.route(host, path).map(|route| route.id.0.as_str());
    assert_eq!(name("svc.example", "/x/y/z"), Some("long"));
    assert_eq!(name("SVC.example", "/x/z"), Some("short"));
    assert_eq!(name("svc.example", "/x"), None);
    assert_eq!(name("other.example", "/x/z"), None);
}

#[test]
fn a_configuration_only_ever_moves_to_a_higher_version() {
    let mut in_force = ConfigInForce::default();
    let good = |version| config(version, vec![route("r", "/x/", &[("a", 1)])]);
    assert_eq!(in_force.offer(good(4), NOW), Adoption::Adopted { before: None });
    assert_eq!(in_force.offer(good(4), NOW), Adoption::NotNewer);
    assert_eq!(in_force.offer(good(3), NOW), Adoption::NotNewer);
    let faulty = config(
        5,
        vec![route("r", "x", &[("nobody", 0)]), route("r", "/x/", &[("a", 1)])],
    );
    let Adoption::Refused(faults) = in_force.offer(faulty, NOW) else {
        panic!("taken");
    };
    let fields: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(
        fields,
        [
            "routes.r.path_prefix",
            "routes.r.shares",
            "routes.r.shares.pool",
            "routes.r.name"
        ]
    );
    assert_eq!(in_force.current().unwrap().version, 4);
    assert_eq!(
        in_force.offer(good(9), NOW),
        Adoption::Adopted { before: Some(4) }
    );
}

proptest! {
    #[test]
    fn shares_are_kept_within_one_request(weights in prop::collection::vec(1u32..100, 1..5), requests in 1u32..500) {
        let names: Vec<String> = (0..weights.len()).map(|number| format!("pool-{number}")).collect();
        let shares: Vec<(&str, u32)> = names.iter().map(String::as_str).zip(weights.iter().copied()).collect();
        let route = route("r", "/x/", &shares);
        let mut rotation = ShareRotation::default();
        let mut counts: BTreeMap<PoolId, u32> = BTreeMap::new();
        for _ in 0..requests {
            *counts.entry(rotation.next(&route).unwrap()).or_default() += 1;
        }
        let total: u32 = weights.iter().sum();
        for share in &route.shares {
            let due = f64::from(requests) * f64::from(share.weight) / f64::from(total);
            let got = f64::from(counts.get(&share.pool).copied().unwrap_or(0));
            prop_assert!((got - due).abs() <= weights.len() as f64, "{got} of {due}");
        }
    }

    /// Whatever each node does, all of them together stay within the budget of every window.
    #[test]
    fn nodes_together_keep_the_budget_of_every_window(
        steps in prop::collection::vec((0usize..5, any::<bool>(), 0u64..400), 1..400),
    ) {
        const NODES: u32 = 5;
        let settings = WindowBudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
        let mut budgets = vec![WindowBudget::new(settings); NODES as usize];
        let sharers = Sharers { nodes: NODES, present: NODES, forgotten_hundredths: 0 };
        let share = BudgetShare { sharers: Some(sharers), settled_for: settings.window };
        let mut now = NOW;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (node, is_request, pause) in steps {
            now = now + Duration::from_millis(pause);
            if is_request {
                budgets[node].on_request(now);
                requests.push(now);
            } else if budgets[node].take(&share, now) {
                repeats.push(now);
            }
            let within = |times: &[MonotonicTime]| {
                times.iter().filter(|at| now.since(**at) <= settings.window).count() as f64
            };
            prop_assert!(within(&repeats) <= settings.ratio * within(&requests) + settings.slack);
        }
    }
}

fn engine(id: &str, leaving: bool) -> PoolEngine {
    PoolEngine {
        id: EngineId::new(id),
        pool: PoolId("a".to_owned()),
        address: ([127, 0, 0, 1], 80).into(),
        zone: ZoneId::new("zone"),
        places: 8,
        leaving,
        stage: EngineStage::Whole,
        models: Vec::new(),
        warmup_remaining: Duration::ZERO,
        spot: false,
        software_version: None,
    }
}

#[test]
fn an_older_word_never_undoes_a_newer_one() {
    let mut listing = EngineListing::default();
    let listed = |id, leaving| ListChange::Listed(engine(id, leaving));
    assert_eq!(
        listing
            .apply(vec![(3, listed("one", false)), (5, listed("two", false))], 6)
            .len(),
        2
    );
    let from_peer = ListSnapshot {
        version: 12,
        engines: vec![engine("one", true)],
        unreadable: Vec::new(),
    };
    let changes = listing.replace(&from_peer);
    assert_eq!(
        changes,
        vec![ListChange::Gone(EngineId::new("two")), listed("one", true)]
    );
    // The store's own feed catches up: what it tells of versions up to 12 is reflected already.
    let late = vec![
        (8, listed("one", false)),
        (9, listed("two", true)),
        (13, listed("three", false)),
    ];
    assert_eq!(listing.apply(late, 13), vec![listed("three", false)]);
    let stale_read = ListSnapshot {
        version: 10,
        engines: Vec::new(),
        unreadable: Vec::new(),
    };
    assert!(listing.replace(&stale_read).is_empty());
    assert!(listing.is_listed(&EngineId::new("one")) && !listing.is_listed(&EngineId::new("two")));
    assert_eq!(
        (listing.last_change_version(), listing.applied_version()),
        (13, 13)
    );
}

fn views(prefill: usize, decode: usize, requests: f64) -> Vec<PoolEngineView> {
    let view = |number: usize, stage| PoolEngineView {
        engine: EngineId::new(format!("{stage:?}-{number}")),
        zone: ZoneId::new(format!("zone-{}", number % 3)),
        spot: false,
        stage,
        requests,
        memory_tokens: 0.0,
        places: 64.0,
        part: 1.0,
        capacity_tokens: 400_000.0,
    };
    let prefill = (0..prefill).map(|number| view(number, EngineStage::Prefill));
    let decode = (0..decode).map(|number| view(number, EngineStage::Decode));
    prefill.chain(decode).collect()
}

fn demand(tokens: Option<f64>) -> PoolDemand {
    PoolDemand {
        prompt_tokens_per_second: tokens,
        engine_tokens_per_second: 10_000.0,
    }
}

fn loads(engines: &[PoolEngineView], tokens: Option<f64>) -> PeakLoads {
    let mut loads = PeakLoads::default();
    loads.observe(engines, demand(tokens), PoolRolePolicy::default().hold(), NOW);
    loads
}

#[test]
fn engines_count_by_the_part_that_their_rate_limits_leave() {
    let policy = PoolRolePolicy::default();
    let mut engines = views(4, 5, 40.0);
    let loads = loads(&engines, Some(10_000.0));
    assert_eq!(plan(&engines, loads, &policy), None);
    // Three of the five that run outputs take a tenth of what falls to them.
    engines[4..7].iter_mut().for_each(|engine| engine.part = 0.1);
    let change = plan(&engines, loads, &policy);
    assert_eq!(change.map(|change| change.to), Some(EngineStage::Decode));
    let lost = load_now(&engines, demand(Some(10_000.0))).unwrap();
    let whole = load_now(&views(4, 5, 40.0), demand(Some(10_000.0))).unwrap();
    assert!(
        (lost - whole - 2.7).abs() < 1e-9,
        "what is bought makes up for them"
    );
}

#[test]
fn roles_change_only_where_one_stage_lacks_engines_that_the_other_can_spare() {
    let policy = PoolRolePolicy::default();
    let stage = |prefill, decode, requests, tokens| {
        let engines = views(prefill, decode, requests);
        plan(&engines, loads(&engines, Some(tokens)), &policy).map(|change| change.to)
    };
    assert_eq!(stage(4, 5, 5.0, 10_000.0), None, "no pressure");
    assert_eq!(stage(4, 5, 5.0, 30_000.0), Some(EngineStage::Prefill));
    assert_eq!(stage(4, 5, 55.0, 30_000.0), None, "the decode engines are needed");
    assert_eq!(stage(6, 3, 5.0, 90_000.0), None, "three of nine stay");
    assert_eq!(
        stage(7, 2, 5.0, 90_000.0),
        Some(EngineStage::Decode),
        "one was lost"
    );
    assert_eq!(
        stage(2, 1, 5.0, 90_000.0),
        Some(EngineStage::Decode),
        "two stay, so that one may fail"
    );
    assert_eq!(stage(1, 1, 60.0, 0.0), None, "somebody reads prompts");
    assert_eq!(stage(6, 3, 64.0, 5_000.0), Some(EngineStage::Decode));
    assert_eq!(
        stage(6, 3, 64.0, 75_000.0),
        None,
        "both lack engines, and are divided in proportion"
    );
    let before_any = |prefill, decode| {
        let engines = views(prefill, decode, 0.0);
        plan(&engines, loads(&engines, None), &policy)
    };
    assert!(before_any(4, 5).is_some());
    assert!(before_any(6, 3).is_none());
}

#[test]
fn the_highest_load_of_late_fades_and_is_not_followed_down_at_once() {
    let policy = PoolRolePolicy::default();
    let mut loads = PeakLoads::default();
    loads.observe(&views(4, 5, 64.0), demand(Some(30_000.0)), policy.hold(), NOW);
    assert_eq!((loads.reading, loads.outputs), (Some(3.0), 5.0));
    let soon = NOW + Duration::from_secs(3);
    loads.observe(&views(4, 5, 0.0), demand(Some(0.0)), policy.hold(), soon);
    assert!(
        loads.outputs > 4.0 && loads.reading > Some(2.4),
        "a burst may come again"
    );
    let later = NOW + Duration::from_secs(60);
    loads.observe(&views(4, 5, 0.0), demand(Some(0.0)), policy.hold(), later);
    assert!(loads.outputs < 0.1 && loads.reading < Some(0.1));
    loads.observe(&views(4, 5, 0.0), demand(None), policy.hold(), later);
    assert!(loads.reading.is_some(), "what was seen once is not forgotten");
}

#[test]
fn a_large_pool_changes_several_engines_in_a_round_and_stops_where_enough_have_changed() {
    let policy = PoolRolePolicy::default();
    let round = |prefill, decode, tokens| {
        let engines = views(prefill, decode, 5.0);
        plan_round(&engines, loads(&engines, Some(tokens)), &policy)
    };
    assert_eq!(
        round(4, 5, 90_000.0).len(),
        1,
        "a small pool changes one at a time"
    );
    let changes = round(36, 54, 400_000.0);
    assert_eq!(changes.len(), 15, "one for each six engines");
    let engines: BTreeSet<_> = changes.iter().map(|change| &change.engine).collect();
    assert_eq!(engines.len(), 15, "no engine twice");
    assert!(changes.iter().all(|change| change.to == EngineStage::Prefill));
    assert_eq!(round(36, 54, 222_000.0).len(), 1, "one is enough");
    assert_eq!(round(65, 25, 900_000.0).len(), 2, "a quarter stays at decode");
}

/// Found on a deployment with slow links: a call taken 3.2 s after the signal ran for 4.3 s and was cut off.
#[test]
fn a_process_that_stops_takes_no_call_that_it_may_have_to_cut_off() {
    let seconds = Duration::from_secs_f64;
    let takes = |since, longest| stopping::takes(seconds(since), seconds(7.5), seconds(longest));
    assert!(takes(0.0, 6.0) && takes(2.2, 6.0), "nobody has noticed yet");
    assert!(!takes(3.2, 6.0));
    assert!(takes(3.2, 1.0) && takes(6.0, 1.0), "it will be over in time");
    assert!(!takes(6.6, 1.0));
    assert!(!takes(6.2, 1.0), "its answer would leave with the process");
}

#[test]
fn requests_are_answered_before_a_stop_ends_the_process() {
    let answered = |end| stopping::answered_after(Duration::from_millis(end)).as_millis();
    assert_eq!(
        [0, 500, 2_000, 7_500, 29_500].map(answered),
        [0, 450, 1_800, 7_000, 29_000]
    );
}

#[test]
fn a_stream_is_taken_over_by_a_head_or_by_a_refusal_that_does_not_come() {
    let settings = HandoverSettings::default();
    let taken = |has_head, millis| settings.is_taken_over(has_head, Duration::from_millis(millis));
    assert!(taken(true, 0));
    assert!(!taken(false, 199));
    assert!(taken(false, 200));
    // Two engines must not work on one request for longer.
    assert!(settings.refusal_wait() < Duration::from_millis(400));
    let never = HandoverSettings {
        refusal_wait_millis: 0,
    };
    assert_eq!(never.validate().len(), 1);
}

#[test]
fn a_stop_cuts_no_call_in_the_first_five_sixths_of_its_grace() {
    for tenths in 1..=600 {
        let grace = Duration::from_millis(100 * tenths);
        let answered = stopping::answered_after(stopping::ends_after(grace));
        assert!(answered >= grace * 5 / 6, "{grace:?}: {answered:?}");
    }
}

/// Found on a deployment with slow links: a prompt read anew was followed by an output that nobody had asked for.
#[test]
fn every_arrival_beyond_the_first_of_its_kind_needs_a_grant() {
    let mut account = ArrivalAccount::default();
    for (arrival, lacks) in [
        (Arrival::Prompt, false),
        (Arrival::Answer, false),
        (Arrival::Answer, true),
    ] {
        assert_eq!(account.lacks_grant(arrival), lacks);
        account.note_sent(arrival);
    }
    account.note_grant();
    // The second output was refused too, and a retry granted: the prompt is read anew, and its output comes on top.
    account.note_grant();
    assert!(!account.lacks_grant(Arrival::Prompt));
    account.note_sent(Arrival::Prompt);
    assert!(account.lacks_grant(Arrival::Answer));
    account.note_grant();
    assert!(!account.lacks_grant(Arrival::Answer));
}

#[test]
fn before_demand_is_seen_all_change_at_once_only_for_a_load_that_is_expected() {
    let policy = PoolRolePolicy::default();
    let engines = views(10, 50, 0.0);
    let unknown = plan_round(&engines, PeakLoads::default(), &policy);
    assert_eq!(unknown.len(), 10, "a sixth of the engines");
    let mut expected = PeakLoads::default();
    expected.expect(18.0, NOW);
    let changes = plan_round(&engines, expected, &policy);
    assert_eq!(changes.len(), 20, "18 engines' load at 0.6 takes 30");
}
