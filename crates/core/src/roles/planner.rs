//! The planner: which engines of a zone should change role now.

use super::goodput::{ClassDemand, predicted_goodput};
use super::input::{EngineState, PlannerHold, PlannerInput, RoleChange, RoleCounts};
use crate::bundle::content::ClassRule;
use crate::demand::DemandReport;
use crate::engine::Role;
use crate::identity::{EngineId, ModelId, ZoneId};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];
/// Age beyond which the view says too little to act on.
const OLDEST_VIEW: Duration = Duration::from_secs(10);

/// About the median relative error of the predicted goodput against simulated fixed splits under steady demand
/// (docs/MEASUREMENTS.md, round 5); a predicted gain below it says nothing.
const PREDICTION_ERROR: f64 = 0.02;

/// Decides role changes; holds no state, so that any controller that takes the lease goes on where another ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planner;

impl Planner {
    /// Why nothing may change now, if anything forbids it.
    pub fn hold(input: &PlannerInput) -> Option<PlannerHold> {
        if !input.store_available {
            return Some(PlannerHold::StoreUnavailable);
        }
        if input.view_age > OLDEST_VIEW {
            return Some(PlannerHold::StaleView);
        }
        None
    }

    /// Changes to begin now in the input's zone, the most valuable first; empty while nothing repays its price.
    pub fn plan(input: &PlannerInput) -> Vec<RoleChange> {
        if Self::hold(input).is_some() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for model in models(input) {
            let room = free_changes(input, &input.zone).saturating_sub(changes.len());
            changes.extend(ModelPlan::new(input, &model).best_changes(room));
        }
        changes
    }
}

struct ModelPlan<'a> {
    input: &'a PlannerInput,
    engines: Vec<&'a EngineState>,
    scenarios: Vec<Scenario>,
    cached_share: f64,
    /// Predictions made so far in this plan.
    known: RefCell<BTreeMap<RoleCounts, f64>>,
}

struct Scenario {
    part: f64,
    demand: Vec<ClassDemand>,
}

#[derive(Clone, Copy, Debug)]
struct Move {
    from: Role,
    to: Role,
}

impl<'a> ModelPlan<'a> {
    fn new(input: &'a PlannerInput, model: &ModelId) -> Self {
        let engines = input
            .engines
            .iter()
            .filter(|engine| engine.model == *model && engine.usable);
        let scenarios = input.demand.scenarios.iter().map(|scenario| Scenario {
            part: scenario.part,
            demand: class_demand(&scenario.demand, model, &input.classes),
        });
        Self {
            input,
            engines: engines.collect(),
            scenarios: scenarios.filter(|scenario| !scenario.demand.is_empty()).collect(),
            cached_share: cached_share(input, model),
            known: RefCell::new(BTreeMap::new()),
        }
    }

    /// The best sequence of up to two moves decides; of it, as much as the cap allows begins now.
    fn best_changes(&self, room: usize) -> Vec<RoleChange> {
        if room == 0 || self.scenarios.is_empty() {
            return Vec::new();
        }
        let counts = self.counts();
        let mut best: Option<(f64, Vec<Move>)> = None;
        for first in moves() {
            let single = vec![first];
            self.consider(counts, single, &mut best);
            for second in moves().filter(|second| second.from != first.to && second.to != first.from) {
                self.consider(counts, vec![first, second], &mut best);
            }
        }
        let Some((net_gain, moves)) = best else {
            return Vec::new();
        };
        self.begin(&moves, net_gain, room)
    }

    fn consider(&self, counts: RoleCounts, moves: Vec<Move>, best: &mut Option<(f64, Vec<Move>)>) {
        let Some(net_gain) = self.net_gain(counts, &moves) else {
            return;
        };
        if net_gain > 0.0 && best.as_ref().is_none_or(|(highest, _)| net_gain > *highest) {
            *best = Some((net_gain, moves));
        }
    }

    /// Weighted requests gained over the horizon, less what is lost during the changes and their price.
    fn net_gain(&self, counts: RoleCounts, moves: &[Move]) -> Option<f64> {
        let mut after = counts;
        let mut during = counts;
        for one in moves {
            if after.of(one.from) == 0 || during.of(one.from) == 0 {
                return None;
            }
            after.remove(one.from);
            after.add(one.to);
            during.remove(one.from);
        }
        let policy = &self.input.policy;
        let horizon = policy.horizon_millis as f64 / 1_000.0;
        let away = self.away_seconds(moves).min(horizon);
        let now = self.goodput(counts);
        let gained = (self.goodput(after) - now * (1.0 + PREDICTION_ERROR)) * (horizon - away);
        let lost = (self.present_goodput(counts) - self.present_goodput(during)).max(0.0) * away
            + self.cold_cache_loss(now, moves);
        let price = policy.change_price * moves.len() as f64;
        Some(policy.goodput_weight * (gained - lost) - price)
    }

    fn goodput(&self, counts: RoleCounts) -> f64 {
        if let Some(known) = self.known.borrow().get(&counts) {
            return *known;
        }
        let parts = self
            .scenarios
            .iter()
            .map(|scenario| scenario.part * predicted_goodput(counts, &scenario.demand, &self.input.profile));
        let goodput = parts.sum();
        self.known.borrow_mut().insert(counts, goodput);
        goodput
    }

    /// Goodput while engines are away, which is soon and so meets the present demand.
    fn present_goodput(&self, counts: RoleCounts) -> f64 {
        let present = self.scenarios.first();
        present.map_or(0.0, |scenario| {
            predicted_goodput(counts, &scenario.demand, &self.input.profile)
        })
    }

    /// Seconds that the slowest of the engines that would change is out of service.
    fn away_seconds(&self, moves: &[Move]) -> f64 {
        let drains = moves.iter().filter_map(|one| {
            let of_role = self.engines.iter().filter(|engine| engine.role == one.from);
            of_role.map(|engine| engine.drain_seconds).min_by(f64::total_cmp)
        });
        self.input.profile.change_seconds + drains.fold(0.0, f64::max)
    }

    /// Requests lost because a changed engine must compute prefixes again that it held.
    fn cold_cache_loss(&self, goodput: f64, moves: &[Move]) -> f64 {
        let emptied = moves.iter().filter(|one| one.from != Role::Decode).count() as f64;
        let part = emptied / self.engines.len().max(1) as f64;
        0.5 * goodput * part * self.cached_share * self.input.profile.cache_warm_seconds
    }

    /// Every zone's planner sees all engines and picks the same one for a move; only its own zone's planner begins
    /// it, so that zones do not answer one shift of the mix each on their own.
    fn begin(&self, moves: &[Move], net_gain: f64, room: usize) -> Vec<RoleChange> {
        let mut picked = BTreeSet::new();
        let mut counts = self.serving_by_zone();
        let mut changes = Vec::new();
        for one in moves {
            let Some(engine) = self.pick(*one, &picked, &mut counts) else {
                continue;
            };
            picked.insert(&engine.engine);
            if engine.zone != self.input.zone || changes.len() == room {
                continue;
            }
            changes.push(RoleChange {
                engine: engine.engine.clone(),
                from: one.from,
                to: one.to,
                net_gain,
            });
        }
        changes
    }

    /// The engine that should make a move: in the zone with most engines of the role that is left, by name.
    fn pick(
        &self,
        one: Move,
        picked: &BTreeSet<&EngineId>,
        counts: &mut BTreeMap<&'a ZoneId, RoleCounts>,
    ) -> Option<&'a EngineState> {
        let engine = self
            .engines
            .iter()
            .copied()
            .filter(|engine| engine.role == one.from && !picked.contains(&engine.engine))
            .filter(|engine| self.may_change(engine))
            .filter(|engine| self.keeps_floors(counts.get(&engine.zone), one))
            .min_by_key(|engine| {
                let of_role = counts.get(&engine.zone).map_or(0, |zone| zone.of(one.from));
                (Reverse(of_role), &engine.engine)
            })?;
        let zone = counts.entry(&engine.zone).or_default();
        zone.remove(one.from);
        Some(engine)
    }

    fn may_change(&self, engine: &EngineState) -> bool {
        let dwell = Duration::from_millis(self.input.policy.minimum_dwell_millis);
        let rested = engine
            .changed_at
            .is_none_or(|at| self.input.now.since(at) >= dwell);
        rested && !engine.changing && free_changes(self.input, &engine.zone) > 0
    }

    /// Whether a zone keeps its floors, and can serve whole requests, while one engine of a role is away.
    fn keeps_floors(&self, counts: Option<&RoleCounts>, one: Move) -> bool {
        let Some(mut during) = counts.copied() else {
            return false;
        };
        during.remove(one.from);
        during.of(one.from) >= self.floor(one.from) && during.serves_whole_requests()
    }

    fn floor(&self, role: Role) -> u32 {
        let model = self.engines.first().map(|engine| &engine.model);
        let rule = self.input.models.iter().find(|rule| Some(&rule.model) == model);
        let floors = rule.map(|rule| rule.floors.as_slice()).unwrap_or_default();
        floors
            .iter()
            .find(|floor| floor.role == role)
            .map_or(0, |floor| floor.engines)
    }

    fn counts(&self) -> RoleCounts {
        count(self.engines.iter().copied())
    }

    /// Engines that serve now, by zone.
    fn serving_by_zone(&self) -> BTreeMap<&'a ZoneId, RoleCounts> {
        let mut zones: BTreeMap<&ZoneId, RoleCounts> = BTreeMap::new();
        for engine in self.engines.iter().filter(|engine| !engine.changing) {
            zones.entry(&engine.zone).or_default().add(engine.role);
        }
        zones
    }
}

fn moves() -> impl Iterator<Item = Move> {
    ROLES
        .into_iter()
        .flat_map(|from| ROLES.into_iter().map(move |to| Move { from, to }))
        .filter(|one| one.from != one.to)
}

fn count<'a>(engines: impl Iterator<Item = &'a EngineState>) -> RoleCounts {
    let mut counts = RoleCounts::default();
    for engine in engines {
        counts.add(engine.role);
    }
    counts
}

fn models(input: &PlannerInput) -> BTreeSet<ModelId> {
    input.engines.iter().map(|engine| engine.model.clone()).collect()
}

/// Changes that may begin in a zone beside those under way.
fn free_changes(input: &PlannerInput, zone: &ZoneId) -> usize {
    let changing = input
        .engines
        .iter()
        .filter(|engine| engine.zone == *zone && engine.changing)
        .count();
    (input.policy.concurrent_changes_per_zone as usize).saturating_sub(changing)
}

fn class_demand(report: &DemandReport, model: &ModelId, classes: &[ClassRule]) -> Vec<ClassDemand> {
    let entries = report.of_model(model);
    let mut demand: Vec<ClassDemand> = entries
        .filter_map(|entry| ClassDemand::from_entry(entry, classes))
        .collect();
    demand.sort_by_key(|class| class.class);
    demand
}

fn cached_share(input: &PlannerInput, model: &ModelId) -> f64 {
    let (mut prompt, mut uncached) = (0.0, 0.0);
    let present = input.demand.present();
    for entry in present.into_iter().flat_map(|report| report.of_model(model)) {
        prompt += entry.prompt_tokens;
        uncached += entry.uncached_prompt_tokens;
    }
    if prompt > 0.0 {
        1.0 - uncached / prompt
    } else {
        0.0
    }
}
