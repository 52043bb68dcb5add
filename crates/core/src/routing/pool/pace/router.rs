//! The paces of engines in the router: what teaches them, and what passes between nodes.

use super::pool_pace::{ObservedWork, PaceObservation};
use super::report::{LastingPaceReport, PaceReports, ReportedPace};
use super::{EnginePaceUse, reported_pace};
use crate::forwarding::PoolId;
use crate::identity::EngineId;
use crate::routing::pool::engine::{EngineState, InFlightWork, ReportedLoad};
use crate::routing::pool::query::PoolQuery;
use crate::routing::pool::router::PoolRouter;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Added to what was expected and to what was seen before they are compared, in seconds, so that a short reading that
/// was a little longer doesn't count as a slow engine.
const FLOOR_SECONDS: f64 = 0.020;

/// Expected time of a reading or an output at which it tells half as much as a long one, in seconds.
const HALF_WEIGHT_SECONDS: f64 = 0.050;

/// Shortest output that tells anything, in tokens: its first event comes with the reading.
const LEAST_OUTPUT_TOKENS: u32 = 8;

/// Shortest time of an output that tells anything.
const LEAST_OUTPUT: Duration = Duration::from_millis(20);

/// Difference of a told figure from the believed one, as a factor, from which others are told of it.
const WORTH_TELLING: f64 = 1.3;

/// Most figures that wait to be told.
const MOST_WAITING: usize = 64;

/// Change of a lasting speed, as a factor, from which it is reported.
const REPORTED_STEP: f64 = 1.25;

/// Observations from which a lasting speed is reported.
const REPORTED_WEIGHT: f64 = 8.0;

/// Most changes that wait to be reported.
const MOST_CHANGES: usize = 32;

/// A change of what is believed of an engine's lasting speed.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// The engine.
    pub engine: EngineId,
    /// Factor that was reported before; one at the start.
    pub before: f64,
    /// Factor now.
    pub after: f64,
    /// Observations that it rests on.
    pub weight: f64,
}

/// How far the paces of engines lie apart.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceSpread {
    /// Least lasting factor.
    pub min_lasting: f64,
    /// Greatest lasting factor.
    pub max_lasting: f64,
    /// Greatest momentary factor.
    pub max_momentary: f64,
    /// Engines whose momentary figure is known.
    pub engines_with_current_pace: usize,
    /// Time for which a figure holds, in seconds; the shortest of the pools.
    pub persistence_seconds: f64,
}

impl PoolRouter {
    /// Takes the momentary figure that an engine told in an answer.
    pub(in crate::routing::pool) fn on_reported_pace(
        &mut self,
        engine: &EngineId,
        told: &ReportedLoad,
        now: MonotonicTime,
    ) {
        let (Some(figure), true) = (
            reported_pace(told),
            self.weights.engine_pace != EnginePaceUse::Off,
        ) else {
            return;
        };
        // A late word of an engine that is gone says nothing of those that stay, its own later start among them.
        let Some(state) = self.engines.get_mut(engine).filter(|state| state.stays()) else {
            return;
        };
        let pool_pace = self.paces.entry(state.engine.pool.clone()).or_default();
        let pace = &mut state.pace;
        let before = pace
            .momentary
            .latest()
            .map(|(figure, at)| (figure, now.since(at)));
        let believed = pace.momentary_factor(now);
        let changed = pool_pace.observe(figure, before, pace.momentary.usual(&pace.traits));
        pace.momentary.told(figure, now);
        let differs = figure.max(believed) / figure.min(believed) >= WORTH_TELLING;
        let handle = state.handle;
        if differs && self.unsent_paces.len() < MOST_WAITING && !self.unsent_paces.contains(&handle) {
            self.unsent_paces.push(handle);
        }
        if changed || !state.pace.in_use {
            let pool = state.engine.pool.clone();
            self.spread_traits(&pool);
        }
    }

    fn spread_traits(&mut self, pool: &PoolId) {
        for state in self.engines.values_mut() {
            if state.engine.pool == *pool {
                take_traits(state, self.paces.get(pool), self.weights.engine_pace);
            }
        }
    }

    /// Judges a newly listed engine by what is known of its pool.
    pub(in crate::routing::pool) fn init_pace(&self, state: &mut EngineState) {
        take_traits(
            state,
            self.paces.get(&state.engine.pool),
            self.weights.engine_pace,
        );
    }

    /// Takes how long an engine took beside what its pool's speeds lead to expect, in seconds.
    pub(in crate::routing::pool) fn observe_pace(
        &mut self,
        engine: &EngineId,
        seen: PaceObservation,
        now: MonotonicTime,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let PaceObservation {
            expected,
            took,
            momentary,
            ..
        } = seen;
        let weight = expected / (expected + HALF_WEIGHT_SECONDS);
        let usual = (took + FLOOR_SECONDS) / (expected * momentary + FLOOR_SECONDS);
        let lasting = state.pace.lasting.factor();
        let at_once = (took + FLOOR_SECONDS) / (expected * lasting + FLOOR_SECONDS);
        let pool_pace = self.paces.entry(state.engine.pool.clone()).or_default();
        let ratio = pool_pace.centred(seen.kind, usual, lasting);
        state.pace.lasting.observe(ratio, weight);
        state.pace.momentary.saw(at_once, &state.pace.traits, now);
        self.report_change(engine);
    }

    fn report_change(&mut self, engine: &EngineId) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let after = state.pace.lasting.factor();
        let before = state.pace.reported.unwrap_or(1.0);
        let weight = state.pace.lasting.weight();
        let differs = after.max(before) / after.min(before) >= REPORTED_STEP;
        if differs && weight >= REPORTED_WEIGHT && self.pace_changes.len() < MOST_CHANGES {
            state.pace.reported = Some(after);
            self.pace_changes.push(PaceChange {
                engine: engine.clone(),
                before,
                after,
                weight,
            });
        }
    }

    /// Learns from an output that has ended, whose first event came at `begun_at`.
    pub(in crate::routing::pool) fn observe_output(
        &mut self,
        engine: &EngineId,
        work: &InFlightWork,
        now: MonotonicTime,
    ) {
        let Some(begun_at) = work.begun_at else {
            return;
        };
        let Some(state) = self.engines.get(engine) else {
            return;
        };
        let took = now.since(begun_at);
        if !state.pace.in_use || work.output_tokens < LEAST_OUTPUT_TOKENS || took < LEAST_OUTPUT {
            return;
        }
        let momentary = (work.momentary + state.pace.momentary_factor(now)) / 2.0;
        let factor = momentary * state.pace.lasting.factor();
        let tokens = f64::from(work.output_tokens);
        let pool_pace = self.paces.entry(state.engine.pool.clone()).or_default();
        pool_pace.observe_output(took.as_secs_f64() / tokens / factor);
        if let Some(token_seconds) = pool_pace.token_seconds() {
            let expected = token_seconds * tokens;
            let seen = PaceObservation {
                kind: ObservedWork::Decode,
                expected,
                took: took.as_secs_f64(),
                momentary,
            };
            self.observe_pace(engine, seen, now);
        }
    }

    /// Seconds that an output takes at a usual engine; zero where that isn't known or the paces don't decide.
    pub(in crate::routing::pool) fn output_seconds(&self, query: &PoolQuery<'_>) -> f64 {
        if self.weights.engine_pace == EnginePaceUse::Off {
            return 0.0;
        }
        let token_seconds = self.paces.get(query.pool).and_then(|pace| pace.token_seconds());
        let tokens = query.prompt.map_or(0, |prompt| prompt.expected_output_tokens());
        token_seconds.unwrap_or_default() * f64::from(tokens)
    }

    /// What an engine of a pool gets done on average, over what one does that is as quick as the pool and on a machine
    /// that stands as usual; one where paces don't decide.
    pub(in crate::routing::pool) fn mean_relative_speed(&self, pool: &PoolId) -> f64 {
        let engines = self.engines.values().filter(|state| state.engine.pool == *pool);
        let paces: Vec<f64> = engines
            .filter(|state| state.pace.in_use && state.stays())
            .map(|state| 1.0 / state.pace.usual_factor())
            .collect();
        if paces.is_empty() {
            return 1.0;
        }
        paces.iter().sum::<f64>() / paces.len() as f64
    }

    /// What other nodes are to be told: figures that surprised, and the lasting speeds of some engines in turn.
    pub fn take_pace_reports(
        &mut self,
        most_figures: usize,
        most_lasting: usize,
        now: MonotonicTime,
    ) -> PaceReports {
        let rest = self
            .unsent_paces
            .split_off(most_figures.min(self.unsent_paces.len()));
        let told = std::mem::replace(&mut self.unsent_paces, rest);
        let figures = told.into_iter().filter_map(|handle| {
            let (figure, at) = self.state_of(handle)?.pace.momentary.latest()?;
            Some(ReportedPace {
                engine: handle,
                percent: (figure * 100.0) as u16,
                age_millis: u16::try_from(now.since(at).as_millis()).unwrap_or(u16::MAX),
            })
        });
        PaceReports {
            figures: figures.collect(),
            lasting: self.next_lasting(most_lasting),
        }
    }

    fn next_lasting(&mut self, most: usize) -> Vec<LastingPaceReport> {
        let last = self.lasting_cursor.clone();
        let is_next = |engine: &EngineId| last.as_ref().is_none_or(|last| engine > last);
        let following = self.engines.iter().filter(|(engine, _)| is_next(engine));
        let told = following.filter_map(|(engine, state)| {
            let (factor, weight) = state.pace.lasting.told()?;
            let word = LastingPaceReport {
                engine: state.handle,
                thousandths: (factor * 1_000.0).round() as u16,
                weight: weight.min(f64::from(u8::MAX)) as u8,
            };
            Some((engine.clone(), word))
        });
        let told: Vec<_> = told.take(most).collect();
        // At the end of the list it begins anew at the next call.
        self.lasting_cursor = (told.len() == most)
            .then(|| told.last().map(|(engine, _)| engine.clone()))
            .flatten();
        told.into_iter().map(|(_, word)| word).collect()
    }

    /// Takes another node's words of engines' paces.
    pub fn on_pace_reports(&mut self, words: &PaceReports, now: MonotonicTime) {
        if self.weights.engine_pace == EnginePaceUse::Off {
            return;
        }
        for word in &words.figures {
            let told = ReportedLoad {
                work_time_percent: Some(u32::from(word.percent)),
                ..ReportedLoad::default()
            };
            let at = now - Duration::from_millis(u64::from(word.age_millis));
            if let (Some(figure), Some(state)) = (reported_pace(&told), self.state_of(word.engine)) {
                state.pace.momentary.hear(figure, at);
            }
        }
        for word in &words.lasting {
            if let Some(state) = self.state_of(word.engine) {
                let factor = f64::from(word.thousandths) / 1_000.0;
                state.pace.lasting.hear(factor, f64::from(word.weight));
            }
        }
    }

    /// Changes of lasting speeds since the last call, for the log.
    pub fn take_pace_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.pace_changes)
    }

    /// How far the paces of engines lie apart; absent where they don't decide.
    pub fn pace_spread(&self, now: MonotonicTime) -> Option<PaceSpread> {
        let in_use = || self.engines.values().filter(|state| state.pace.in_use);
        let lasting = || in_use().map(|state| state.pace.lasting.factor());
        let persistences = self.paces.values().map(|pace| pace.traits().persistence_seconds);
        Some(PaceSpread {
            min_lasting: lasting().min_by(f64::total_cmp)?,
            max_lasting: lasting().max_by(f64::total_cmp)?,
            max_momentary: in_use()
                .map(|state| state.pace.momentary_factor(now))
                .max_by(f64::total_cmp)?,
            engines_with_current_pace: in_use()
                .filter(|state| state.pace.momentary_age(now).is_some())
                .count(),
            persistence_seconds: persistences.min_by(f64::total_cmp).unwrap_or_default(),
        })
    }
}

fn take_traits(state: &mut EngineState, pool: Option<&super::PoolPace>, pace_use: EnginePaceUse) {
    state.pace.in_use = match pace_use {
        EnginePaceUse::Off => false,
        EnginePaceUse::WhereReported => pool.is_some_and(|pool| pool.told),
        EnginePaceUse::Always => true,
    };
    state.pace.traits = pool.map(super::PoolPace::traits).unwrap_or_default();
}
