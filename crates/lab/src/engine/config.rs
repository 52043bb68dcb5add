//! Settings of the stand-in engine.

use serde::{Deserialize, Serialize};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::setting::FieldError;
use shelfjunction_engine_model::EngineModelConfig;
use shelfjunction_http::HttpLimits;
use std::net::{Ipv4Addr, SocketAddr};

/// Largest factor between model time and real time.
const MAXIMUM_TIME_SCALE: f64 = 1_000.0;

/// Wait for a KV cache to import, in milliseconds, unless set otherwise.
const DEFAULT_IMPORT_MILLIS: u64 = 2_000;

/// Longest wait that may be set, in milliseconds: ten minutes.
const MAXIMUM_MILLIS: u64 = 600_000;

/// Where the engine loads weights from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreConfig {
    /// HTTP address of the platform.
    pub platform: SocketAddr,
    /// Size of one set of weights, in bytes.
    pub weight_bytes: u64,
}

/// Settings of one stand-in engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineConfig {
    /// Name of the engine.
    pub name: EngineId,
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Model seconds that pass in one second.
    pub time_scale: f64,
    /// Number of this start; absent: the wall clock in milliseconds, so that a later start is higher.
    pub incarnation: Option<u64>,
    /// Decides which cache events are lost.
    pub seed: u64,
    /// Limits of the server.
    pub http: HttpLimits,
    /// Longest wait for a KV cache to import, in milliseconds.
    pub import_millis: u64,
    /// Where weights come from; absent: they are at hand.
    pub weight_store: Option<WeightStoreConfig>,
    /// The engine itself.
    pub model: EngineModelConfig,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            name: EngineId::new("engine"),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            time_scale: 1.0,
            incarnation: None,
            seed: 0,
            http: HttpLimits::default(),
            import_millis: DEFAULT_IMPORT_MILLIS,
            weight_store: None,
            model: EngineModelConfig::default(),
        }
    }
}

impl EngineConfig {
    /// Reports every field out of range.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = self.model.validate();
        for error in &mut errors {
            error.field = format!("model.{}", error.field);
        }
        let mut report = |field: &str, value: String, allowed: String| {
            let field = field.to_owned();
            errors.push(FieldError {
                field,
                value,
                allowed,
            });
        };
        if self.name.as_str().is_empty() {
            report("name", String::new(), "a name".to_owned());
        }
        if !(self.time_scale > 0.0 && self.time_scale <= MAXIMUM_TIME_SCALE) {
            let allowed = format!("above 0, up to {MAXIMUM_TIME_SCALE}");
            report("time_scale", self.time_scale.to_string(), allowed);
        }
        if !(1..=MAXIMUM_MILLIS).contains(&self.import_millis) {
            let allowed = format!("1 to {MAXIMUM_MILLIS}");
            report("import_millis", self.import_millis.to_string(), allowed);
        }
        errors.extend(self.http.validate("http"));
        errors
    }
}
