//! Paces of engines in the router: updates from reports and observed times, and reports for peers.

use super::pool_pace::{ObservedWork, PaceObservation};
use super::report::{LongTermPaceReport, PaceReports, ReportedPace};
use super::{EnginePaceUse, reported_pace};
use crate::forwarding::PoolId;
use crate::identity::EngineId;
use crate::routing::pool::engine::{EngineState, InFlightWork, ReportedLoad};
use crate::routing::pool::query::PoolQuery;
use crate::routing::pool::router::PoolRouter;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Added to expected and measured times before they are compared, in seconds, so that a small delay of a short prefill
/// does not count as a slow engine.
const RATIO_OFFSET_SECONDS: f64 = 0.020;

/// Expected time of the work, in seconds, at which an observation has half of the maximum weight.
const HALF_WEIGHT_EXPECTED_SECONDS: f64 = 0.050;

/// Minimum length of an output whose time is evaluated, in tokens. The first event is excluded, as it ends the prefill.
const MIN_OUTPUT_TOKENS: u32 = 8;

/// Minimum duration of an output whose time is evaluated.
const MIN_OUTPUT_DURATION: Duration = Duration::from_millis(20);

/// Minimum deviation of a reported pace from its estimate, as a factor, at which it is sent to peers.
const MIN_SENT_PACE_DEVIATION: f64 = 1.3;

/// Maximum number of engines whose momentary pace waits to be sent.
const MAX_UNSENT_PACES: usize = 64;

/// Minimum factor by which a long-term pace must change to be logged.
const MIN_LOGGED_PACE_CHANGE_FACTOR: f64 = 1.25;

/// Minimum weight of the observations at which a long-term pace is logged.
const MIN_LOGGED_PACE_WEIGHT: f64 = 8.0;

/// Maximum number of changes that wait to be logged.
const MAX_UNLOGGED_PACE_CHANGES: usize = 32;

/// A change of the estimate of an engine's long-term pace, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// Engine whose estimate changed.
    pub engine: EngineId,
    /// Factor that was logged last; one at the start.
    pub before: f64,
    /// Factor after the change.
    pub after: f64,
    /// Weight of the observations behind the estimate.
    pub weight: f64,
}

/// Range of the paces of the engines in all pools for which paces are used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceSpread {
    /// Smallest long-term factor.
    pub min_long_term: f64,
    /// Largest long-term factor.
    pub max_long_term: f64,
    /// Largest momentary factor.
    pub max_momentary: f64,
    /// Engines with a momentary pace that is recent enough to affect the estimate.
    pub engines_with_current_pace: usize,
    /// Time for which a momentary pace remains valid, in seconds; the smallest of all pools.
    pub persistence_seconds: f64,
}

impl PoolRouter {
    /// Handles the momentary pace that an engine reported in a response.
    pub(in crate::routing::pool) fn on_reported_pace(
        &mut self,
        engine: &EngineId,
        load: &ReportedLoad,
        now: MonotonicTime,
    ) {
        let (Some(reported), true) = (
            reported_pace(load),
            self.weights.engine_pace != EnginePaceUse::Off,
        ) else {
            return;
        };
        // A late report of an engine that is leaving does not apply to the remaining ones, such as a later start of it.
        let Some(state) = self.engines.get_mut(engine).filter(|state| state.is_active()) else {
            return;
        };
        let pool_pace = self.paces.entry(state.engine.pool.clone()).or_default();
        let pace = &mut state.pace;
        let before = pace
            .momentary
            .latest()
            .map(|(reported, reported_at)| (reported, now.since(reported_at)));
        let estimated = pace.momentary_factor(now);
        let changed = pool_pace.observe(reported, before, pace.momentary.mean(&pace.traits));
        pace.momentary.record_reported_pace(reported, now);
        let is_large_change = reported.max(estimated) / reported.min(estimated) >= MIN_SENT_PACE_DEVIATION;
        let handle = state.handle;
        if is_large_change
            && self.unsent_paces.len() < MAX_UNSENT_PACES
            && !self.unsent_paces.contains(&handle)
        {
            self.unsent_paces.push(handle);
        }
        if changed || !state.pace.is_enabled {
            let pool = state.engine.pool.clone();
            self.apply_pool_traits(&pool);
        }
    }

    /// Applies the statistics of a pool to all its engines.
    fn apply_pool_traits(&mut self, pool: &PoolId) {
        for state in self.engines.values_mut() {
            if state.engine.pool == *pool {
                apply_traits(state, self.paces.get(pool), self.weights.engine_pace);
            }
        }
    }

    /// Applies the statistics of its pool to a newly listed engine.
    pub(in crate::routing::pool) fn init_pace(&self, state: &mut EngineState) {
        apply_traits(
            state,
            self.paces.get(&state.engine.pool),
            self.weights.engine_pace,
        );
    }

    /// Updates the pace of an engine from the time that a piece of work took.
    pub(in crate::routing::pool) fn observe_pace(
        &mut self,
        engine: &EngineId,
        observation: PaceObservation,
        now: MonotonicTime,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let PaceObservation {
            expected_seconds,
            measured_seconds,
            momentary_pace,
            ..
        } = observation;
        let weight = expected_seconds / (expected_seconds + HALF_WEIGHT_EXPECTED_SECONDS);
        let long_term_ratio = (measured_seconds + RATIO_OFFSET_SECONDS)
            / (expected_seconds * momentary_pace + RATIO_OFFSET_SECONDS);
        let long_term = state.pace.long_term.factor();
        let momentary_ratio =
            (measured_seconds + RATIO_OFFSET_SECONDS) / (expected_seconds * long_term + RATIO_OFFSET_SECONDS);
        let pool_pace = self.paces.entry(state.engine.pool.clone()).or_default();
        let ratio = pool_pace.relative_to_baseline(observation.kind, long_term_ratio, long_term);
        state.pace.long_term.observe(ratio, weight);
        state
            .pace
            .momentary
            .record_observed_ratio(momentary_ratio, &state.pace.traits, now);
        self.queue_change_for_log(engine);
    }

    /// Queues a change of the long-term pace for the log if the change and its weight are large enough.
    fn queue_change_for_log(&mut self, engine: &EngineId) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let after = state.pace.long_term.factor();
        let before = state.pace.last_logged.unwrap_or(1.0);
        let weight = state.pace.long_term.weight();
        let is_large_change = after.max(before) / after.min(before) >= MIN_LOGGED_PACE_CHANGE_FACTOR;
        if is_large_change
            && weight >= MIN_LOGGED_PACE_WEIGHT
            && self.pace_changes.len() < MAX_UNLOGGED_PACE_CHANGES
        {
            state.pace.last_logged = Some(after);
            self.pace_changes.push(PaceChange {
                engine: engine.clone(),
                before,
                after,
                weight,
            });
        }
    }

    /// Updates paces from the time between the first event and the end of a finished output.
    pub(in crate::routing::pool) fn observe_output(
        &mut self,
        engine: &EngineId,
        work: &InFlightWork,
        now: MonotonicTime,
    ) {
        let Some(first_event_at) = work.first_event_at else {
            return;
        };
        let Some(state) = self.engines.get(engine) else {
            return;
        };
        let took = now.since(first_event_at);
        if !state.pace.is_enabled || work.output_tokens < MIN_OUTPUT_TOKENS || took < MIN_OUTPUT_DURATION {
            return;
        }
        let momentary_pace = (work.momentary_pace + state.pace.momentary_factor(now)) / 2.0;
        let factor = momentary_pace * state.pace.long_term.factor();
        let tokens = f64::from(work.output_tokens);
        let pool_pace = self.paces.entry(state.engine.pool.clone()).or_default();
        pool_pace.observe_output(took.as_secs_f64() / tokens / factor);
        if let Some(token_seconds) = pool_pace.token_seconds() {
            let expected_seconds = token_seconds * tokens;
            let observation = PaceObservation {
                kind: ObservedWork::Decode,
                expected_seconds,
                measured_seconds: took.as_secs_f64(),
                momentary_pace,
            };
            self.observe_pace(engine, observation, now);
        }
    }

    /// Expected decode time of the output at an average engine, in seconds; zero if it is unknown or paces are not used.
    pub(in crate::routing::pool) fn decode_seconds(&self, query: &PoolQuery<'_>) -> f64 {
        if self.weights.engine_pace == EnginePaceUse::Off {
            return 0.0;
        }
        let token_seconds = self.paces.get(query.pool).and_then(|pace| pace.token_seconds());
        let tokens = query.prompt.map_or(0, |prompt| prompt.expected_output_tokens());
        token_seconds.unwrap_or_default() * f64::from(tokens)
    }

    /// Mean speed of the engines of a pool relative to an engine of average long-term and momentary pace; one if paces
    /// are not used.
    pub(in crate::routing::pool) fn mean_relative_speed(&self, pool: &PoolId) -> f64 {
        let engines = self.engines.values().filter(|state| state.engine.pool == *pool);
        let speeds: Vec<f64> = engines
            .filter(|state| state.pace.is_enabled && state.is_active())
            .map(|state| 1.0 / state.pace.average_factor())
            .collect();
        if speeds.is_empty() {
            return 1.0;
        }
        speeds.iter().sum::<f64>() / speeds.len() as f64
    }

    /// Reports for peers: momentary paces that deviated from the estimate, and the long-term paces of some engines in
    /// turn.
    pub fn take_pace_reports(
        &mut self,
        max_momentary_reports: usize,
        max_long_term_reports: usize,
        now: MonotonicTime,
    ) -> PaceReports {
        let rest = self
            .unsent_paces
            .split_off(max_momentary_reports.min(self.unsent_paces.len()));
        let handles = std::mem::replace(&mut self.unsent_paces, rest);
        let figures = handles.into_iter().filter_map(|handle| {
            let (reported, reported_at) = self.state_of(handle)?.pace.momentary.latest()?;
            Some(ReportedPace {
                engine: handle,
                percent: (reported * 100.0) as u16,
                age_millis: u16::try_from(now.since(reported_at).as_millis()).unwrap_or(u16::MAX),
            })
        });
        PaceReports {
            figures: figures.collect(),
            lasting: self.next_long_term_reports(max_long_term_reports),
        }
    }

    /// Long-term paces of the next engines, ordered by their ids.
    fn next_long_term_reports(&mut self, max_reports: usize) -> Vec<LongTermPaceReport> {
        let last = self.long_term_pace_cursor.clone();
        let is_after_cursor = |engine: &EngineId| last.as_ref().is_none_or(|last| engine > last);
        let following = self.engines.iter().filter(|(engine, _)| is_after_cursor(engine));
        let batch = following.filter_map(|(engine, state)| {
            let (factor, weight) = state.pace.long_term.own_report()?;
            let report = LongTermPaceReport {
                engine: state.handle,
                thousandths: (factor * 1_000.0).round() as u16,
                weight: weight.min(f64::from(u8::MAX)) as u8,
            };
            Some((engine.clone(), report))
        });
        let batch: Vec<_> = batch.take(max_reports).collect();
        // A short batch ends the list, so the next call starts from the beginning.
        self.long_term_pace_cursor = (batch.len() == max_reports)
            .then(|| batch.last().map(|(engine, _)| engine.clone()))
            .flatten();
        batch.into_iter().map(|(_, report)| report).collect()
    }

    /// Handles a peer's reports of the paces of engines.
    pub fn on_pace_reports(&mut self, reports: &PaceReports, now: MonotonicTime) {
        if self.weights.engine_pace == EnginePaceUse::Off {
            return;
        }
        for report in &reports.figures {
            let load = ReportedLoad {
                work_time_percent: Some(u32::from(report.percent)),
                ..ReportedLoad::default()
            };
            let reported_at = now - Duration::from_millis(u64::from(report.age_millis));
            if let (Some(reported), Some(state)) = (reported_pace(&load), self.state_of(report.engine)) {
                state.pace.momentary.record_latest(reported, reported_at);
            }
        }
        for report in &reports.lasting {
            if let Some(state) = self.state_of(report.engine) {
                let factor = f64::from(report.thousandths) / 1_000.0;
                state
                    .pace
                    .long_term
                    .add_peer_report(factor, f64::from(report.weight));
            }
        }
    }

    /// Changes of long-term paces since the last call, for the log.
    pub fn take_pace_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.pace_changes)
    }

    /// Range of the paces of engines; absent if paces are used for no engine.
    pub fn pace_spread(&self, now: MonotonicTime) -> Option<PaceSpread> {
        let enabled = || self.engines.values().filter(|state| state.pace.is_enabled);
        let long_term = || enabled().map(|state| state.pace.long_term.factor());
        let persistences = self.paces.values().map(|pace| pace.traits().persistence_seconds);
        Some(PaceSpread {
            min_long_term: long_term().min_by(f64::total_cmp)?,
            max_long_term: long_term().max_by(f64::total_cmp)?,
            max_momentary: enabled()
                .map(|state| state.pace.momentary_factor(now))
                .max_by(f64::total_cmp)?,
            engines_with_current_pace: enabled()
                .filter(|state| state.pace.momentary_age(now).is_some())
                .count(),
            persistence_seconds: persistences.min_by(f64::total_cmp).unwrap_or_default(),
        })
    }
}

fn apply_traits(state: &mut EngineState, pool: Option<&super::PoolPace>, pace_use: EnginePaceUse) {
    state.pace.is_enabled = match pace_use {
        EnginePaceUse::Off => false,
        EnginePaceUse::WhereReported => pool.is_some_and(|pool| pool.has_reports),
        EnginePaceUse::Always => true,
    };
    state.pace.traits = pool.map(super::PoolPace::traits).unwrap_or_default();
}
