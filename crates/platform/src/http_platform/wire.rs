//! JSON bodies of the platform's HTTP interface that are not shared types already.

use serde::{Deserialize, Serialize};
use shelfjunction_core::identity::{ModelId, WeightVersion};
use shelfjunction_core::table::PlatformError;

/// Body of an answer by which the platform itself says that it did nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong.
    pub error: PlatformError,
}

/// Body of an answer of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightMillisBody {
    /// Time in the queue, in milliseconds.
    pub millis: u64,
}

/// Body of an engine's request to load weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadWeightsBody {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: WeightVersion,
    /// Size of the weights.
    pub bytes: u64,
}
