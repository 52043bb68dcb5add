//! The ways of routing, admitting and giving roles that are compared.

use shelfjunction_core::engine::Role;
use shelfjunction_core::routing::RoutingWeights;

/// Roles of a zone's engines at the start, in order.
pub type ZoneRoles = [Role; 3];

/// One engine of each role in each zone.
pub const ONE_OF_EACH: ZoneRoles = [Role::Prefill, Role::Decode, Role::Mixed];
/// All engines serve both phases.
pub const ALL_MIXED: ZoneRoles = [Role::Mixed, Role::Mixed, Role::Mixed];
/// Two mixed engines and one that prefills.
pub const MIXED_AND_PREFILL: ZoneRoles = [Role::Mixed, Role::Prefill, Role::Mixed];

/// How requests choose engines.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingPolicy {
    /// The router's documented cost.
    Cost(RoutingWeights),
    /// Engines in turn.
    RoundRobin,
    /// The engine with the fewest requests in its last report.
    LeastLoaded,
}

/// How engines get their roles.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolesPolicy {
    /// The starting roles stay.
    Fixed,
    /// One engine moves whenever queues cross thresholds.
    ReactiveThreshold,
    /// The planner, with the deployment's policy.
    Planner,
    /// The planner with a price of its own, in requests of goodput.
    PlannerWithPrice(f64),
    /// The planner told the demand of the coming time from the trace, with a price of its own.
    Clairvoyant(f64),
}

/// One contestant.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Its name.
    pub name: &'static str,
    /// Routing.
    pub routing: RoutingPolicy,
    /// Roles.
    pub roles: RolesPolicy,
    /// Roles at the start.
    pub initial: ZoneRoles,
    /// Whether admission orders, bounds and refuses; otherwise everything goes to the engines at once.
    pub admission: bool,
    /// Whether shifts of demand are detected; otherwise only the calm mean is used.
    pub detect_shifts: bool,
    /// Whether the planner weighs the mix of the recent past beside the present one.
    pub weigh_past: bool,
    /// Whether reports are instant and true.
    pub perfect_view: bool,
    /// Part that the policy takes in the comparison.
    pub part: PolicyPart,
}

/// Part that a policy takes in a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyPart {
    /// What ships.
    Ours,
    /// Something it is compared with.
    Baseline,
    /// What ships without one of its parts.
    Ablation,
    /// One of the runs from whose best the oracle is taken.
    Oracle,
}

impl Policy {
    /// What ships.
    pub fn ours() -> Self {
        Self {
            name: "ours",
            routing: RoutingPolicy::Cost(RoutingWeights::default()),
            roles: RolesPolicy::Planner,
            initial: ONE_OF_EACH,
            admission: true,
            detect_shifts: true,
            weigh_past: true,
            perfect_view: false,
            part: PolicyPart::Ours,
        }
    }

    fn baseline(name: &'static str) -> Self {
        Self {
            name,
            part: PolicyPart::Baseline,
            ..Self::ours()
        }
    }

    fn fixed(name: &'static str, initial: ZoneRoles) -> Self {
        Self {
            roles: RolesPolicy::Fixed,
            initial,
            ..Self::baseline(name)
        }
    }

    fn ablation(name: &'static str) -> Self {
        Self {
            name,
            part: PolicyPart::Ablation,
            ..Self::ours()
        }
    }

    fn without(name: &'static str, change: impl FnOnce(&mut RoutingWeights)) -> Self {
        let mut weights = RoutingWeights::default();
        change(&mut weights);
        Self {
            routing: RoutingPolicy::Cost(weights),
            ..Self::ablation(name)
        }
    }

    fn oracle(name: &'static str, roles: RolesPolicy, initial: ZoneRoles) -> Self {
        Self {
            name,
            roles,
            initial,
            perfect_view: true,
            part: PolicyPart::Oracle,
            ..Self::ours()
        }
    }
}

/// What is compared: baselines, ours, ours without each part, and the oracle's runs.
pub fn policies() -> Vec<Policy> {
    let mut all = vec![
        Policy::fixed("fixed roles", ONE_OF_EACH),
        Policy::fixed("all mixed", ALL_MIXED),
        Policy {
            roles: RolesPolicy::ReactiveThreshold,
            ..Policy::baseline("reactive threshold")
        },
        Policy {
            routing: RoutingPolicy::RoundRobin,
            ..Policy::baseline("round-robin routing")
        },
        Policy {
            routing: RoutingPolicy::LeastLoaded,
            ..Policy::baseline("least-loaded routing")
        },
        Policy::ours(),
    ];
    all.extend(ablations());
    all.extend(oracles());
    all
}

fn ablations() -> Vec<Policy> {
    vec![
        Policy::without("without prefix overlap", |weights| weights.prefix_overlap = 0.0),
        Policy::without("without sent work", |weights| weights.count_sent_work = false),
        Policy::without("without others' sent work", |weights| weights.alike_choices = 0.0),
        Policy::without("without speed correction", |weights| {
            weights.correct_speeds = false
        }),
        Policy::without("without staleness discount", |weights| {
            weights.report_half_life_seconds = 1e9;
        }),
        Policy::without("without stall term", |weights| weights.stall = 0.0),
        Policy::without("without whole comparison", |weights| {
            weights.compare_all_up_to = 0
        }),
        Policy {
            admission: false,
            ..Policy::ablation("without admission")
        },
        Policy {
            detect_shifts: false,
            ..Policy::ablation("without shift detection")
        },
        Policy {
            weigh_past: false,
            ..Policy::ablation("without past in outlook")
        },
        Policy {
            roles: RolesPolicy::PlannerWithPrice(0.0),
            ..Policy::ablation("without price of changes")
        },
    ]
}

fn oracles() -> Vec<Policy> {
    vec![
        Policy::oracle(
            "oracle: planner, cheap changes",
            RolesPolicy::Clairvoyant(20.0),
            ONE_OF_EACH,
        ),
        Policy::oracle(
            "oracle: planner from mixed",
            RolesPolicy::Clairvoyant(20.0),
            ALL_MIXED,
        ),
        Policy::oracle("oracle: one of each", RolesPolicy::Fixed, ONE_OF_EACH),
        Policy::oracle("oracle: all mixed", RolesPolicy::Fixed, ALL_MIXED),
        Policy::oracle("oracle: mixed and prefill", RolesPolicy::Fixed, MIXED_AND_PREFILL),
    ]
}
