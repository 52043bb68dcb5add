//! Settings of the stand-in engine.

use serde::{Deserialize, Serialize};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::setting::FieldError;
use shelfjunction_engine_model::EngineModelConfig;
use std::net::{Ipv4Addr, SocketAddr};

/// Largest factor between model time and real time.
const MAXIMUM_TIME_SCALE: f64 = 1_000.0;

/// Largest body that may be allowed, in bytes.
const MAXIMUM_BODY_BYTES: u64 = 256 * 1024 * 1024;

/// Most requests that may be allowed at the same time.
const MAXIMUM_REQUESTS: u32 = 4_096;

/// Longest wait that may be set, in milliseconds: ten minutes.
const MAXIMUM_MILLIS: u64 = 600_000;

/// Limits of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineServerLimits {
    /// Requests served at the same time, each by a thread; more are refused as not run.
    pub requests: u32,
    /// Longest body, in bytes.
    pub body_bytes: u64,
    /// Longest wait for a reader that does not read, in milliseconds.
    pub write_millis: u64,
    /// Longest wait for a KV cache to import, in milliseconds.
    pub import_millis: u64,
}

impl Default for EngineServerLimits {
    fn default() -> Self {
        Self {
            requests: 512,
            body_bytes: 16 * 1024 * 1024,
            write_millis: 10_000,
            import_millis: 2_000,
        }
    }
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
    pub limits: EngineServerLimits,
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
            limits: EngineServerLimits::default(),
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
        let limits = &self.limits;
        for (field, value, most) in [
            (
                "limits.requests",
                u64::from(limits.requests),
                u64::from(MAXIMUM_REQUESTS),
            ),
            ("limits.body_bytes", limits.body_bytes, MAXIMUM_BODY_BYTES),
            ("limits.write_millis", limits.write_millis, MAXIMUM_MILLIS),
            ("limits.import_millis", limits.import_millis, MAXIMUM_MILLIS),
        ] {
            if !(1..=most).contains(&value) {
                report(field, value.to_string(), format!("1 to {most}"));
            }
        }
        errors
    }
}
