//! What became of every call, and what engines ran.

use super::disturbance::DisturbanceCounts;
use super::phase::PhaseKind;
use super::settle::{Settled, SettledCall};
use crate::caller::CallResult;
use crate::cluster::engine_log::{nonce_of_caller, nonce_of_engine};
use crate::cluster::layout::ClusterLayout;
use crate::engine::EngineLog;
use crate::load::observation::Observation;
use crate::load::plan::LoadPlan;
use crate::load::schedule::{self, PlannedCall};
use serde::Serialize;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_engine_model::answer::{AnswerSeed, receipt_length};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Figures of one phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PhaseAccount {
    /// What happened to the deployment.
    pub kind: PhaseKind,
    /// How often.
    pub disturbances: DisturbanceCounts,
    /// Calls sent.
    pub sent: u64,
    /// Calls that gave their whole answer, at once.
    pub completed: u64,
    /// Calls whose whole answer came when they were asked for again.
    pub completed_later: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls whose gateway could not be connected, so that nothing was sent.
    pub not_connected: u64,
    /// Calls stated as failed after they began.
    pub failed: u64,
    /// Calls stated as unknown.
    pub unknown: u64,
    /// Calls that nobody gave an account of, also when asked again; must be 0.
    pub lost: u64,
    /// Whole answers whose text is not the call's own; must be 0.
    pub wrong_answers: u64,
    /// Calls with a key that engines began more than once; must be 0.
    pub run_twice: u64,
    /// Calls refused as not run that an engine began; must be 0.
    pub refused_but_run: u64,
    /// Calls without a whole answer or a refusal while only planned changes were made; must be 0.
    pub cut_off: u64,
    /// What the first calls counted under a figure that must be 0 looked like.
    pub examples: Vec<String>,
}

/// Examples kept.
const KEPT_EXAMPLES: usize = 10;

impl PhaseAccount {
    pub(super) fn new(kind: PhaseKind, disturbances: DisturbanceCounts) -> Self {
        Self {
            kind,
            disturbances,
            sent: 0,
            completed: 0,
            completed_later: 0,
            not_run: 0,
            not_connected: 0,
            failed: 0,
            unknown: 0,
            lost: 0,
            wrong_answers: 0,
            run_twice: 0,
            refused_but_run: 0,
            cut_off: 0,
            examples: Vec::new(),
        }
    }

    /// Whether everything that must be zero is.
    pub fn holds(&self) -> bool {
        let faults = [
            self.lost,
            self.wrong_answers,
            self.run_twice,
            self.refused_but_run,
            self.cut_off,
        ];
        faults.iter().all(|count| *count == 0)
    }

    /// Counts what each caller was told.
    pub(super) fn add_all(
        &mut self,
        layout: &ClusterLayout,
        plan: &LoadPlan,
        calls: &[PlannedCall],
        observations: &[Observation],
        settled: &Settled,
    ) {
        for observation in observations {
            let call = &calls[observation.index];
            let expected = expected_text(layout, plan, call);
            self.add(observation, settled.get(&observation.index), &expected);
        }
    }

    fn add(&mut self, observation: &Observation, settled: Option<&SettledCall>, expected: &str) {
        self.sent += 1;
        let last = settled.map_or(&observation.result, |settled| &settled.result);
        let text = settled.map_or(&observation.text, |settled| &settled.text);
        match last {
            CallResult::Completed if settled.is_some() => self.completed_later += 1,
            CallResult::Completed => self.completed += 1,
            CallResult::NotRun { .. } if settled.is_none() => self.not_run += 1,
            CallResult::NotConnected if settled.is_none() => self.not_connected += 1,
            CallResult::Failed { .. } => self.failed += 1,
            CallResult::Unknown { .. } => self.unknown += 1,
            _ if is_stated(&observation.result) => self.add_stated(&observation.result),
            _ => {
                self.lost += 1;
                self.example("lost", observation, settled);
            }
        }
        if *last == CallResult::Completed && text != expected {
            self.wrong_answers += 1;
            self.example("wrong answer", observation, settled);
        }
        if self.kind == PhaseKind::PlannedChanges && settled.is_some() {
            self.cut_off += 1;
            self.example("cut off", observation, settled);
        }
    }

    /// Asking again gave nothing, but the first answer had stated an outcome.
    fn add_stated(&mut self, result: &CallResult) {
        match result {
            CallResult::Failed { .. } => self.failed += 1,
            _ => self.unknown += 1,
        }
    }

    /// Compares what callers were told with what engines began during the phase.
    pub(super) fn add_runs(
        &mut self,
        layout: &ClusterLayout,
        before: &[EngineLog],
        after: &[EngineLog],
        plan: &LoadPlan,
        observations: &[Observation],
        settled: &Settled,
    ) {
        let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
        for (before, after) in before.iter().zip(after) {
            for run in after.runs.iter().skip(before.runs.len()) {
                *runs.entry(nonce_of_engine(run.request.as_str())).or_default() += 1;
            }
        }
        for observation in observations {
            let settled = settled.get(&observation.index);
            let names = request_names(observation, settled);
            let begun: u64 = names
                .iter()
                .map(|name| runs.get(name).copied().unwrap_or_default())
                .sum();
            if plan.mixes[observation.mix].keyed && begun > 1 {
                self.run_twice += 1;
                self.example("run twice", observation, settled);
            }
            let refused = matches!(observation.result, CallResult::NotRun { .. });
            if refused && begun > 0 {
                self.refused_but_run += 1;
                self.example("refused but run", observation, settled);
            }
        }
        self.add_nameless_dispatches(layout, before, after, observations, plan);
    }

    /// Dispatches that ran under names that no caller was given would show as more runs than calls that may have run.
    fn add_nameless_dispatches(
        &mut self,
        layout: &ClusterLayout,
        before: &[EngineLog],
        after: &[EngineLog],
        observations: &[Observation],
        plan: &LoadPlan,
    ) {
        let application = layout.deployment.application.as_str();
        let may_have_run = observations
            .iter()
            .filter(|observation| plan.mixes[observation.mix].model == application)
            .filter(|observation| {
                !matches!(
                    observation.result,
                    CallResult::NotRun { .. } | CallResult::NotConnected
                )
            })
            .count();
        let engines = layout.engines.iter().zip(before.iter().zip(after));
        let runs: usize = engines
            .filter(|(engine, _)| engine.kind == ModelKind::Application)
            .map(|(_, (before, after))| after.runs.len().saturating_sub(before.runs.len()))
            .sum();
        let excess = runs.saturating_sub(may_have_run) as u64;
        if excess > 0 {
            self.examples
                .push(format!("{runs} dispatches ran for {may_have_run} calls"));
        }
        self.run_twice = self.run_twice.max(excess);
    }

    fn example(&mut self, fault: &str, observation: &Observation, settled: Option<&SettledCall>) {
        if self.examples.len() < KEPT_EXAMPLES {
            let asked_again = settled.map(|settled| &settled.result);
            self.examples.push(format!(
                "{fault}: call {} request {:?} told {:?}, asked again {asked_again:?}",
                observation.index, observation.request, observation.result
            ));
        }
    }
}

fn is_stated(result: &CallResult) -> bool {
    matches!(result, CallResult::Failed { .. } | CallResult::Unknown { .. })
}

/// Names of a call that engines may know it by.
fn request_names<'a>(observation: &'a Observation, settled: Option<&'a SettledCall>) -> BTreeSet<&'a str> {
    let later = settled.and_then(|settled| settled.request.as_deref());
    let names = observation.request.as_deref().into_iter().chain(later);
    names.map(nonce_of_caller).collect()
}

/// The stand-in engines' answers are a function of the call.
fn expected_text(layout: &ClusterLayout, plan: &LoadPlan, call: &PlannedCall) -> String {
    let mix = &plan.mixes[call.mix];
    let deployment = &layout.deployment;
    let application = mix.model == deployment.application.as_str();
    let model = if application {
        &deployment.application
    } else {
        &deployment.model
    };
    let seed = AnswerSeed::new(model, None, &schedule::prompt(call));
    let tokens = if application {
        receipt_length(call.output_tokens)
    } else {
        seed.length(call.output_tokens)
    };
    (0..tokens).map(|offset| seed.token(offset)).collect()
}

impl fmt::Display for PhaseAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{:?}: {:?}", self.kind, self.disturbances)?;
        let figures = [
            ("sent", self.sent),
            ("completed", self.completed),
            ("completed when asked again", self.completed_later),
            ("not run", self.not_run),
            ("not connected", self.not_connected),
            ("failed", self.failed),
            ("unknown", self.unknown),
            ("lost (must be 0)", self.lost),
            ("wrong answers (must be 0)", self.wrong_answers),
            ("run twice (must be 0)", self.run_twice),
            ("refused but run (must be 0)", self.refused_but_run),
            ("cut off by a planned change (must be 0)", self.cut_off),
        ];
        for (name, count) in figures {
            writeln!(formatter, "  {name:<40} {count:>8}")?;
        }
        self.examples
            .iter()
            .try_for_each(|example| writeln!(formatter, "  {example}"))
    }
}
