//! Stages planned for each region: a deployment that is not regional gets the changes that it got before, and a region is neither
//! planned from the load of another one, nor without fresh reports, nor emptied of a stage.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::{EngineId, RegionId, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::roles::pool::{
    PeakLoads, PoolDemand, PoolEngineView, PoolRolePolicy, StageChange, outputs_of, plan_round,
};
use shelfjunction_core::roles::region_sums::{
    MAX_REPORT_AGE, PlanHold, PoolSum, RegionLoads, RegionSums, ReportVerdict, SumReport,
};
use shelfjunction_core::roles::regional::{PlanScope, RegionalChange, RolePlanner, ScopeInput};
use shelfjunction_core::routing::pool::EngineStage;
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeSet;
use std::time::Duration;

const RECORDED: &str = include_str!("recorded/role_inputs.txt");

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn pool() -> PoolId {
    PoolId("pool-model".to_owned())
}

fn region(name: &str) -> RegionId {
    RegionId::new(name)
}

fn engine(name: &str, zone: &str, stage: EngineStage) -> PoolEngineView {
    PoolEngineView {
        engine: EngineId::new(name),
        zone: ZoneId::new(zone),
        spot: false,
        stage,
        requests: 0.0,
        memory_tokens: 0.0,
        places: 24.0,
        capacity_tokens: 793_239.0,
        part: 1.0,
    }
}

/// Changes planned as before regions: one plan for all engines, one settle time.
#[derive(Default)]
struct FleetPlan {
    peaks: PeakLoads,
    next_at: MonotonicTime,
}

impl FleetPlan {
    fn step(
        &mut self,
        engines: &[PoolEngineView],
        demand: PoolDemand,
        policy: &PoolRolePolicy,
        now: MonotonicTime,
    ) -> Vec<StageChange> {
        self.peaks.observe(engines, demand, policy.hold(), now);
        if now < self.next_at {
            return Vec::new();
        }
        let changes = plan_round(engines, self.peaks, policy);
        if !changes.is_empty() {
            self.next_at = now + Duration::from_millis(policy.settle_millis);
        }
        changes
    }
}

fn number(text: &str) -> f64 {
    text.parse().unwrap()
}

fn recorded_engine(text: &str) -> PoolEngineView {
    let part: Vec<&str> = text.split('/').collect();
    let stage = match part[2] {
        "Prefill" => EngineStage::Prefill,
        _ => EngineStage::Decode,
    };
    PoolEngineView {
        requests: number(part[3]),
        memory_tokens: number(part[4]),
        places: number(part[5]),
        capacity_tokens: number(part[6]),
        part: number(part[7]),
        ..engine(part[0], part[1], stage)
    }
}

fn recorded_line(line: &str, factor: f64) -> (MonotonicTime, PoolDemand, Vec<PoolEngineView>) {
    let words: Vec<&str> = line.split(' ').collect();
    let demand = PoolDemand {
        prompt_tokens_per_second: (words[3] != "-").then(|| number(words[3]) * factor),
        engine_tokens_per_second: number(words[4]),
    };
    let engines = words[5..].iter().filter(|word| !word.is_empty());
    (
        at(words[0].parse().unwrap()),
        demand,
        engines.map(|word| recorded_engine(word)).collect(),
    )
}

fn fleet_input(demand: PoolDemand, engines: Vec<PoolEngineView>) -> ScopeInput {
    let outputs = outputs_of(&engines);
    ScopeInput {
        scope: PlanScope {
            region: None,
            pool: pool(),
        },
        engines,
        changing: BTreeSet::new(),
        loads: Ok(RegionLoads { demand, outputs }),
        expected: None,
        listing: 0,
    }
}

fn plain(round: Vec<RegionalChange>) -> Vec<StageChange> {
    round.into_iter().map(|regional| regional.change).collect()
}

/// Guards against orders that differ from those before regions. Demand is recorded and also a multiple of it, so that there are
/// changes in both directions.
#[test]
fn a_deployment_that_is_not_regional_gets_the_same_changes_on_recorded_inputs() {
    let mut given = BTreeSet::new();
    for factor in [0.1, 1.0, 8.0, 30.0] {
        for (settle_millis, least_decode_share) in [(4_000, 0.25), (500, 0.25), (500, 0.75)] {
            let policy = PoolRolePolicy {
                settle_millis,
                least_decode_share,
                ..PoolRolePolicy::default()
            };
            for recording in RECORDED.split("# start\n") {
                let (mut before, mut planner) = (FleetPlan::default(), RolePlanner::default());
                for line in recording.lines().filter(|line| !line.starts_with('#')) {
                    let (now, demand, engines) = recorded_line(line, factor);
                    let expected = before.step(&engines, demand, &policy, now);
                    let inputs = [fleet_input(demand, engines)];
                    planner.observe(&inputs, &policy, now);
                    let round = planner.round(&inputs, &policy, |_, _| false, now);
                    given.extend(round.iter().map(|regional| regional.change.to));
                    assert_eq!(plain(round), expected, "at {now:?}, demand times {factor}");
                }
            }
        }
    }
    assert_eq!(given.len(), 2, "changes to both stages were compared");
}

fn stages(zone: &str, prefill: usize, decode: usize) -> Vec<PoolEngineView> {
    let of = |stage, count| {
        (0..count).map(move |number| engine(&format!("{zone}-{stage:?}-{number}"), zone, stage))
    };
    of(EngineStage::Prefill, prefill)
        .chain(of(EngineStage::Decode, decode))
        .collect()
}

fn loads(prefill: f64, outputs: f64) -> RegionLoads {
    RegionLoads {
        demand: PoolDemand {
            prompt_tokens_per_second: Some(prefill * 157_000.0),
            engine_tokens_per_second: 157_000.0,
        },
        outputs,
    }
}

fn input(name: &str, engines: Vec<PoolEngineView>, loads: Result<RegionLoads, PlanHold>) -> ScopeInput {
    ScopeInput {
        scope: PlanScope {
            region: Some(region(name)),
            pool: pool(),
        },
        engines,
        changing: BTreeSet::new(),
        loads,
        expected: None,
        listing: 0,
    }
}

/// A planner for which the list of engines has settled by 2,000 ms.
fn settled(inputs: &[ScopeInput]) -> RolePlanner {
    let mut planner = RolePlanner::default();
    planner.observe(inputs, &PoolRolePolicy::default(), at(0));
    planner
}

fn round_at(planner: &mut RolePlanner, inputs: &[ScopeInput], millis: u64) -> Vec<RegionalChange> {
    let policy = PoolRolePolicy::default();
    planner.observe(inputs, &policy, at(millis));
    planner.round(inputs, &policy, |_, _| false, at(millis))
}

/// Guards against a plan for the whole pool, in which the spare decode engines of one region hide the lack in another.
#[test]
fn each_region_changes_engines_for_its_own_demand() {
    let inputs = [
        input("north", stages("n", 24, 6), Ok(loads(6.0, 10.0))),
        input("south", stages("s", 6, 24), Ok(loads(10.0, 2.0))),
    ];
    let round = round_at(&mut settled(&inputs), &inputs, 2_000);
    let of = |name: &str| -> Vec<EngineStage> {
        let changes = round
            .iter()
            .filter(|change| change.scope.region == Some(region(name)));
        changes.map(|change| change.change.to).collect()
    };
    assert_eq!(of("north"), vec![EngineStage::Decode; 5], "one in six engines");
    assert_eq!(of("south"), vec![EngineStage::Prefill; 5]);
    assert!(round.iter().all(|change| {
        let name = change.change.engine.as_str();
        name.starts_with(&change.scope.region.as_ref().unwrap().as_str()[..1])
    }));
}

/// Guards against a region that waits for the settle time of another one, and against two rounds within its own.
#[test]
fn the_settle_time_is_that_of_the_region() {
    let calm = input("south", stages("s", 15, 15), Ok(loads(1.0, 1.0)));
    let busy = |name, zone| input(name, stages(zone, 24, 6), Ok(loads(6.0, 10.0)));
    let inputs = [busy("north", "n"), calm];
    let mut planner = settled(&inputs);
    let first = round_at(&mut planner, &inputs, 2_000);
    assert_eq!(first.len(), 5);
    let second = round_at(&mut planner, &[busy("north", "n"), busy("south", "s")], 2_250);
    assert!(
        second
            .iter()
            .all(|change| change.scope.region == Some(region("south")))
            && second.len() == 5,
        "{second:?}"
    );
    let settled = round_at(&mut planner, &[busy("north", "n")], 6_000);
    assert_eq!(settled.len(), 5);
}

/// Guards against orders while engines of the region come and go, and against a region that waits for the list of another one.
#[test]
fn a_region_is_planned_once_its_list_has_settled() {
    let policy = PoolRolePolicy::default();
    let mut planner = RolePlanner::default();
    let mut regions_ordered = |north_listing: u64, millis: u64| {
        let mut inputs = [
            input("north", stages("n", 24, 6), Ok(loads(6.0, 10.0))),
            input("south", stages("s", 24, 6), Ok(loads(6.0, 10.0))),
        ];
        inputs[0].listing = north_listing;
        planner.observe(&inputs, &policy, at(millis));
        let round = planner.round(&inputs, &policy, |_, _| false, at(millis));
        let regions = round.into_iter().filter_map(|change| change.scope.region);
        regions.collect::<BTreeSet<RegionId>>()
    };
    assert!(regions_ordered(1, 0).is_empty());
    assert_eq!(regions_ordered(2, 1_200), BTreeSet::from([region("south")]));
    assert!(regions_ordered(2, 2_399).is_empty());
    assert_eq!(regions_ordered(2, 2_400), BTreeSet::from([region("north")]));
}

/// Guards against orders that take the last engine in service off a stage while another one still changes to that stage.
#[test]
fn a_region_keeps_an_engine_in_service_at_each_stage() {
    let mut two_prefill = input("north", stages("n", 2, 4), Ok(loads(0.1, 6.0)));
    let inputs = [two_prefill.clone()];
    let changed = round_at(&mut settled(&inputs), &inputs, 2_000);
    assert_eq!(changed.len(), 1);
    let other = if changed[0].change.engine.as_str() == "n-Prefill-0" {
        "n-Prefill-1"
    } else {
        "n-Prefill-0"
    };
    two_prefill.changing = BTreeSet::from([EngineId::new(other)]);
    let inputs = [two_prefill];
    let kept = round_at(&mut settled(&inputs), &inputs, 2_000);
    assert_eq!(kept, vec![]);
}

/// Guards against two regions that change engines towards each other, for any split of demand and through a minute of rounds.
#[test]
fn regions_come_to_rest_and_never_lose_a_stage() {
    let policy = PoolRolePolicy::default();
    for (north, south) in [(1.0, 14.0), (7.0, 7.0), (20.0, 0.5), (0.0, 0.0)] {
        let mut planner = RolePlanner::default();
        let mut engines = [stages("n", 15, 15), stages("s", 4, 4)];
        let mut last_change = 0;
        let mut directions = [BTreeSet::new(), BTreeSet::new()];
        for millis in (0..60_000).step_by(250) {
            let inputs = [
                input("north", engines[0].clone(), Ok(loads(north, north / 2.0))),
                input("south", engines[1].clone(), Ok(loads(south, south / 2.0))),
            ];
            planner.observe(&inputs, &policy, at(millis));
            for change in planner.round(&inputs, &policy, |_, _| false, at(millis)) {
                let index = usize::from(change.scope.region == Some(region("south")));
                let view = engines[index]
                    .iter_mut()
                    .find(|view| view.engine == change.change.engine);
                view.unwrap().stage = change.change.to;
                directions[index].insert(change.change.to);
                last_change = millis;
            }
            for engines in &engines {
                let prefill = engines.iter().filter(|view| view.stage == EngineStage::Prefill);
                let prefill = prefill.count();
                assert!(
                    prefill >= 1 && engines.len() - prefill >= 2,
                    "{prefill} prefill engines"
                );
            }
        }
        assert!(last_change < 30_000, "still changes after {last_change} ms");
        assert!(directions.iter().all(|directions| directions.len() <= 1));
    }
}

fn report(sender: u64, start: u64, number: u64, measured_millis: u64, prefill: f64) -> SumReport {
    SumReport {
        sender: SubjectHandle::of_text("node", &format!("node-{sender}")),
        start,
        number,
        measured_millis,
        region: region("south"),
        pools: vec![PoolSum::of(pool(), loads(prefill, 2.5))],
    }
}

fn south(sums: &RegionSums, usual: usize, millis: u64) -> Result<RegionLoads, PlanHold> {
    sums.loads(&region("south"), &pool(), usual, at(millis))
}

/// Guards against plans from the reports of a part of a region's placers, or from old ones.
#[test]
fn a_region_is_left_unchanged_without_fresh_reports_of_its_usual_placers() {
    let mut sums = RegionSums::default();
    assert_eq!(south(&sums, 2, 0), Err(PlanHold::NoReport));
    sums.on_report(report(1, 7, 1, 500, 3.0), at(1_000));
    let alone = PlanHold::TooFewPlacers {
        reporting: 1,
        usual: 2,
    };
    assert_eq!(south(&sums, 2, 1_000), Err(alone));
    sums.on_report(report(2, 8, 1, 90_000, 4.0), at(1_200));
    assert_eq!(south(&sums, 2, 1_200), Ok(loads(4.0, 2.5)));
    assert_eq!(south(&sums, 2, 4_000), Err(alone), "the first is 3 s old");
    assert_eq!(south(&sums, 2, 4_200), Err(PlanHold::Stale(MAX_REPORT_AGE)));
    let held = [input("south", stages("s", 24, 6), south(&sums, 2, 4_200))];
    let known = [input("south", stages("s", 24, 6), Ok(loads(6.0, 10.0)))];
    let mut planner = settled(&known);
    assert_eq!(round_at(&mut planner, &held, 4_200), vec![]);
    assert_eq!(
        round_at(&mut planner, &known, 4_200).len(),
        5,
        "with reports there are changes"
    );
}

/// Guards against a load of before that replaces the present one.
#[test]
fn late_and_doubled_reports_are_dropped() {
    let mut sums = RegionSums::default();
    let mut take = |report, millis| sums.on_report(report, at(millis));
    assert_eq!(take(report(1, 7, 2, 500, 3.0), 1_000), ReportVerdict::Taken);
    assert_eq!(take(report(1, 7, 2, 500, 3.0), 1_001), ReportVerdict::NotNewer);
    assert_eq!(take(report(1, 7, 1, 0, 9.0), 1_002), ReportVerdict::NotNewer);
    assert_eq!(take(report(1, 8, 1, 100, 4.0), 1_500), ReportVerdict::Taken);
    assert_eq!(
        take(report(1, 7, 3, 1_000, 9.0), 1_501),
        ReportVerdict::EarlierStart
    );
    let mut invalid = report(1, 8, 2, 200, 9.0);
    invalid.pools[0].engine_tokens_per_second = 0;
    assert_eq!(take(invalid, 1_600), ReportVerdict::Invalid);
    assert_eq!(south(&sums, 1, 1_600), Ok(loads(4.0, 2.5)));
}

/// Guards against reports that a slow link delivers seconds late and that count as fresh, and against clocks that drift apart by
/// seconds in a day being taken for such a link.
#[test]
fn the_age_of_a_report_includes_its_delay_and_not_the_drift_of_clocks() {
    let mut sums = RegionSums::default();
    for number in 0..20 {
        let sent = number * 500;
        sums.on_report(report(1, 7, number, sent, 3.0), at(50_000 + sent));
    }
    sums.on_report(report(1, 7, 20, 10_000, 3.0), at(63_500));
    assert!(
        matches!(south(&sums, 1, 63_500), Err(PlanHold::Stale(age)) if age > Duration::from_millis(3_400))
    );

    let mut drifting = RegionSums::default();
    for number in 0..172_800 {
        let received = number * 500;
        let measured = received - received / 10_000;
        drifting.on_report(report(1, 7, number, measured, 3.0), at(50_000 + received));
    }
    assert_eq!(south(&drifting, 1, 50_000 + 172_799 * 500), Ok(loads(3.0, 2.5)));
}
