//! Demand as gateways tell controllers.

use crate::identity::ModelId;
use crate::service_class::ServiceClass;
use serde::{Deserialize, Serialize};

/// Demand for one model in one class; every rate is per second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandEntry {
    /// The model.
    pub model: ModelId,
    /// The class.
    pub class: ServiceClass,
    /// Requests.
    pub requests: f64,
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// Prompt tokens that the prefix caches did not hold.
    pub uncached_prompt_tokens: f64,
    /// Output tokens.
    pub output_tokens: f64,
}

/// Demand seen by one gateway, or the sum over several.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// One entry per model and class, sorted by both.
    pub entries: Vec<DemandEntry>,
}

impl DemandReport {
    /// Adds another gateway's demand.
    pub fn add(&mut self, other: &DemandReport) {
        for entry in &other.entries {
            let position = self
                .entries
                .binary_search_by(|own| (&own.model, own.class).cmp(&(&entry.model, entry.class)));
            match position {
                Ok(index) => self.entries[index].add(entry),
                Err(index) => self.entries.insert(index, entry.clone()),
            }
        }
    }

    /// Multiplies every rate.
    pub fn scale(&mut self, factor: f64) {
        for entry in &mut self.entries {
            entry.requests *= factor;
            entry.prompt_tokens *= factor;
            entry.uncached_prompt_tokens *= factor;
            entry.output_tokens *= factor;
        }
    }

    /// Part of all tokens that are prompt tokens to compute; one half where there is no demand.
    pub fn prompt_share(&self) -> f64 {
        let prompt: f64 = self
            .entries
            .iter()
            .map(|entry| entry.uncached_prompt_tokens)
            .sum();
        let output: f64 = self.entries.iter().map(|entry| entry.output_tokens).sum();
        let all = prompt + output;
        if all > 0.0 { prompt / all } else { 0.5 }
    }

    /// Entries of one model.
    pub fn of_model<'a>(&'a self, model: &'a ModelId) -> impl Iterator<Item = &'a DemandEntry> {
        self.entries.iter().filter(move |entry| entry.model == *model)
    }
}

impl DemandEntry {
    fn add(&mut self, other: &DemandEntry) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.uncached_prompt_tokens += other.uncached_prompt_tokens;
        self.output_tokens += other.output_tokens;
    }
}
