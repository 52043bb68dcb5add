//! Settings of the stand-in platform.

use serde::{Deserialize, Serialize};
use shelfjunction_core::machine::Machine;
use shelfjunction_core::setting::FieldError;
use std::net::SocketAddr;

/// Most worker threads that may be set.
const MAXIMUM_WORKERS: usize = 256;

/// Settings of the stand-in platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// HTTP address; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Threads that answer calls.
    pub workers: usize,
    /// Limits and lags.
    pub limits: PlatformLimits,
    /// Machines listed from the start.
    pub machines: Vec<Machine>,
}

/// Limits and lags of the stand-in's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformLimits {
    /// Calls to the table service.
    pub table: RateLimit,
    /// Calls to the object store.
    pub objects: RateLimit,
    /// Calls to the machine list.
    pub machines: RateLimit,
    /// Calls to the weight store.
    pub weights: RateLimit,
    /// Speed of the weight store over all loads, in bytes per second.
    pub weight_bytes_per_second: u64,
    /// Time until a change of the machine list can be read, in milliseconds.
    pub machine_lag_millis: u64,
    /// Largest value of a row and largest object, in bytes.
    pub maximum_value_bytes: usize,
    /// Records kept of what the services were told; older ones are dropped.
    pub kept_records: usize,
}

/// Rate of calls to one service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Sustained rate.
    pub calls_per_second: f64,
    /// Calls that may come at once after a pause.
    pub burst: f64,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            workers: 32,
            limits: PlatformLimits::default(),
            machines: Vec::new(),
        }
    }
}

impl Default for PlatformLimits {
    fn default() -> Self {
        let usual = RateLimit {
            calls_per_second: 2_000.0,
            burst: 500.0,
        };
        Self {
            table: usual,
            objects: usual,
            machines: usual,
            weights: usual,
            weight_bytes_per_second: 10_000_000_000,
            machine_lag_millis: 500,
            maximum_value_bytes: 4 * 1024 * 1024,
            kept_records: 200_000,
        }
    }
}

impl PlatformConfig {
    /// Every setting out of range.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        if self.workers == 0 || self.workers > MAXIMUM_WORKERS {
            errors.push(FieldError {
                field: "workers".to_owned(),
                value: self.workers.to_string(),
                allowed: format!("1 to {MAXIMUM_WORKERS}"),
            });
        }
        self.limits.validate_into(&mut errors);
        errors
    }
}

impl PlatformLimits {
    fn validate_into(&self, errors: &mut Vec<FieldError>) {
        let rates = [
            ("table", self.table),
            ("objects", self.objects),
            ("machines", self.machines),
            ("weights", self.weights),
        ];
        for (service, rate) in rates {
            rate.validate_into(service, errors);
        }
        let counts = [
            ("weight_bytes_per_second", self.weight_bytes_per_second),
            ("maximum_value_bytes", self.maximum_value_bytes as u64),
            ("kept_records", self.kept_records as u64),
        ];
        for (name, count) in counts {
            if count == 0 {
                errors.push(FieldError {
                    field: format!("limits.{name}"),
                    value: count.to_string(),
                    allowed: "1 or more".to_owned(),
                });
            }
        }
    }
}

impl RateLimit {
    fn validate_into(&self, service: &str, errors: &mut Vec<FieldError>) {
        let parts = [
            ("calls_per_second", self.calls_per_second, f64::MIN_POSITIVE),
            ("burst", self.burst, 1.0),
        ];
        for (name, value, least) in parts {
            if !value.is_finite() || value < least {
                errors.push(FieldError {
                    field: format!("limits.{service}.{name}"),
                    value: value.to_string(),
                    allowed: "a finite number above 0, and 1 or more for a burst".to_owned(),
                });
            }
        }
    }
}
