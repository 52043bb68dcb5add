//! What the bundle in force asks of the weights on each engine.

use super::view::{ChangeRequest, EngineView};
use crate::bundle::content::{ModelKind, ModelRule};
use crate::engine::LoadedWeights;
use crate::identity::{ModelId, WeightVersion};
use std::collections::BTreeMap;

/// Time until the weight store could begin a load, as it last said, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightQueues {
    waits: BTreeMap<(ModelId, WeightVersion), u64>,
    tolerated_millis: u64,
}

impl WeightQueues {
    /// No answers yet; a load may begin while the queue is at most `tolerated_millis` long.
    pub fn new(tolerated_millis: u64) -> Self {
        Self {
            waits: BTreeMap::new(),
            tolerated_millis,
        }
    }

    /// What to ask the weight store about: the bundle's weights.
    pub fn questions(models: &[ModelRule]) -> Vec<(ModelId, WeightVersion)> {
        let pair = |rule: &ModelRule| (rule.model.clone(), rule.version.clone());
        models.iter().map(pair).collect()
    }

    /// Notes an answer of the weight store.
    pub fn note(&mut self, model: ModelId, version: WeightVersion, millis: u64) {
        self.waits.insert((model, version), millis);
    }

    /// Whether a load may begin; weights that the store has said nothing about wait.
    fn allows(&self, weights: &LoadedWeights) -> bool {
        let key = (weights.model.clone(), weights.version.clone());
        self.waits
            .get(&key)
            .is_some_and(|millis| *millis <= self.tolerated_millis)
    }
}

/// The requests that bring the engines' weights to the bundle's, for weights whose queue allows a load.
///
/// An application is what it is: it takes no weights, and an order to load some would only drain it for nothing.
/// An engine with no weights is given the model that fewest engines hold; an engine that holds
/// weights keeps its models and is brought to the bundle's versions and adapters.
pub fn roll_requests(
    views: &[EngineView],
    models: &[ModelRule],
    queues: &WeightQueues,
) -> Vec<ChangeRequest> {
    let mut holders = count_holders(views, models);
    let mut requests = Vec::new();
    let takes_weights = |view: &&EngineView| view.kind == ModelKind::Model && !view.leaving;
    for view in views.iter().filter(takes_weights) {
        let Some(status) = &view.status else {
            continue;
        };
        let wanted = if status.weights.is_empty() {
            first_weights(view, models, &mut holders)
        } else {
            rolled_weights(&status.weights, models)
        };
        let missing = wanted.iter().filter(|weights| !status.weights.contains(weights));
        let mut missing = missing.peekable();
        if missing.peek().is_some() && missing.all(|weights| queues.allows(weights)) {
            requests.push(ChangeRequest {
                engine: view.engine.clone(),
                role: None,
                weights: Some(wanted),
            });
        }
    }
    requests
}

fn count_holders(views: &[EngineView], models: &[ModelRule]) -> BTreeMap<ModelId, usize> {
    let holds = |view: &&EngineView, model: &ModelId| {
        let weights = view.status.iter().flat_map(|status| &status.weights);
        weights.into_iter().any(|weights| weights.model == *model)
    };
    models
        .iter()
        .map(|rule| {
            let count = views.iter().filter(|view| holds(view, &rule.model)).count();
            (rule.model.clone(), count)
        })
        .collect()
}

/// Weights for an engine that holds none; the goal that an earlier holder committed comes first.
fn first_weights(
    view: &EngineView,
    models: &[ModelRule],
    holders: &mut BTreeMap<ModelId, usize>,
) -> Vec<LoadedWeights> {
    let committed = view
        .goal
        .as_ref()
        .map(|goal| goal.weights.as_slice())
        .unwrap_or_default();
    if !committed.is_empty() {
        return rolled_weights(committed, models);
    }
    let fewest = models
        .iter()
        .filter(|rule| rule.kind == ModelKind::Model)
        .min_by_key(|rule| holders.get(&rule.model).copied().unwrap_or_default());
    let Some(rule) = fewest else {
        return Vec::new();
    };
    *holders.entry(rule.model.clone()).or_default() += 1;
    vec![weights_of(rule)]
}

/// The same models in the bundle's versions; models that the bundle does not name stay until the engine restarts.
fn rolled_weights(held: &[LoadedWeights], models: &[ModelRule]) -> Vec<LoadedWeights> {
    let rolled = |weights: &LoadedWeights| {
        let rule = models.iter().find(|rule| rule.model == weights.model);
        rule.map_or_else(|| weights.clone(), weights_of)
    };
    held.iter().map(rolled).collect()
}

fn weights_of(rule: &ModelRule) -> LoadedWeights {
    LoadedWeights {
        model: rule.model.clone(),
        version: rule.version.clone(),
        adapters: rule.adapters.iter().map(|entry| entry.adapter.clone()).collect(),
    }
}
