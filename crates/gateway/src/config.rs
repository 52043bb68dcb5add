//! Settings of a gateway, and what is allowed in them.

use serde::{Deserialize, Serialize};
use shelfjunction_core::admission::AdmissionConfig;
use shelfjunction_core::bundle::signature::SigningAuthority;
use shelfjunction_core::identity::{NodeId, RegionId, ZoneId};
use shelfjunction_core::routing::RoutingWeights;
use shelfjunction_core::setting::FieldError;
use shelfjunction_core::tenancy::CacheSecret;
use shelfjunction_http::HttpLimits;
use shelfjunction_platform::http_engine::EngineTimeouts;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Longest time that may be set, in milliseconds: one day.
const MAXIMUM_MILLIS: u64 = 86_400_000;

/// Most streams that may be set.
const MAXIMUM_STREAMS: usize = 65_536;

/// Where a gateway runs and whom it speaks to.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayConfig {
    /// This machine.
    pub node: NodeId,
    /// Zone that holds the machine.
    pub zone: ZoneId,
    /// Region that holds the zone.
    pub region: RegionId,
    /// Address of the callers' and the administration API; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Peer addresses of controllers, the own machine's first.
    pub controllers: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Keys that sign the first bundle.
    pub roots: SigningAuthority,
    /// File with the secret that all nodes share, as 64 hexadecimal digits.
    #[serde(default)]
    pub cache_secret_file: Option<PathBuf>,
    /// The secret itself, for programs that embed a gateway; goes before the file and is never written out.
    #[serde(skip)]
    pub cache_secret: Option<CacheSecret>,
    /// Bounds of the HTTP server.
    #[serde(default)]
    pub http: HttpLimits,
    /// Bounds of requests.
    #[serde(default)]
    pub requests: RequestLimits,
    /// Intervals and waits.
    #[serde(default)]
    pub timings: GatewayTimings,
    /// Longest waits for engines.
    #[serde(default)]
    pub engine_timeouts: EngineTimeouts,
    /// Weights of the routing cost.
    #[serde(default)]
    pub routing: RoutingWeights,
    /// Bounds of admission.
    #[serde(default)]
    pub admission: AdmissionConfig,
}

/// Bounds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestLimits {
    /// Most requests in flight at once, streamed or not.
    pub streams: usize,
    /// Output tokens where the caller names no number.
    pub default_max_tokens: u32,
    /// Most output tokens that a caller may ask for.
    pub maximum_max_tokens: u32,
    /// Deadline where neither caller nor bundle names one, in milliseconds.
    pub default_deadline_millis: u64,
    /// Latest deadline that a caller may ask for, in milliseconds.
    pub maximum_deadline_millis: u64,
    /// Longest answer that is collected for a caller that does not stream, in bytes.
    pub answer_bytes: usize,
    /// How long an idempotency key is kept, in milliseconds.
    pub key_retention_millis: u64,
}

/// Intervals and waits, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayTimings {
    /// Between two questions for the bundle in force.
    pub bundle_poll_millis: u64,
    /// Between two rounds of reads of cache events, where the engines are few.
    pub cache_events_millis: u64,
    /// Part of a round for each engine known, so that the questions a second don't grow with the fleet.
    pub cache_events_engine_millis: u64,
    /// Between two looks at the engines' capacity.
    pub capacity_millis: u64,
    /// Longest wait for a controller to connect or answer.
    pub controller_timeout_millis: u64,
    /// A stream of records that is silent for this long is given up.
    pub fleet_silence_millis: u64,
    /// Longest wait for an answer of the platform.
    pub platform_timeout_millis: u64,
    /// A claim that is not written by then is sent to the platform no more; a copy on its way is waited for.
    pub claim_patience_millis: u64,
    /// Between two looks for claims that may be forgotten.
    pub claim_retention_scan_millis: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            streams: 512,
            default_max_tokens: 256,
            maximum_max_tokens: 32_768,
            default_deadline_millis: 60_000,
            maximum_deadline_millis: 600_000,
            answer_bytes: 4 * 1024 * 1024,
            key_retention_millis: 86_400_000,
        }
    }
}

impl Default for GatewayTimings {
    fn default() -> Self {
        Self {
            bundle_poll_millis: 500,
            cache_events_millis: 500,
            cache_events_engine_millis: 40,
            capacity_millis: 250,
            controller_timeout_millis: 1_000,
            fleet_silence_millis: 5_000,
            platform_timeout_millis: 2_000,
            claim_patience_millis: 2_000,
            claim_retention_scan_millis: 600_000,
        }
    }
}

impl GatewayConfig {
    /// Every wrong setting; empty when the gateway may start.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = self.http.validate("gateway.http");
        errors.extend(self.engine_timeouts.validate());
        errors.extend(self.admission.validate());
        errors.extend(self.routing.validate());
        self.check_names(&mut errors);
        self.check_numbers(&mut errors);
        if self.controllers.is_empty() {
            errors.push(wrong("gateway.controllers", "[]", "at least one address"));
        }
        if let Err(error) = self.secret() {
            errors.push(error);
        }
        errors
    }

    /// The secret that all nodes share, given or read from its file.
    pub fn secret(&self) -> Result<CacheSecret, FieldError> {
        if let Some(secret) = &self.cache_secret {
            return Ok(secret.clone());
        }
        let field = "gateway.cache_secret_file";
        let Some(path) = &self.cache_secret_file else {
            return Err(wrong(field, "nothing", "the path of a file"));
        };
        let text = std::fs::read_to_string(path)
            .map_err(|error| wrong(field, &format!("{} ({error})", path.display()), "a readable file"))?;
        CacheSecret::from_hex(&text).ok_or_else(|| {
            let allowed = "a file with 64 hexadecimal digits";
            wrong(field, &path.display().to_string(), allowed)
        })
    }

    fn check_names(&self, errors: &mut Vec<FieldError>) {
        for (field, value) in [
            ("gateway.node", self.node.as_str()),
            ("gateway.zone", self.zone.as_str()),
            ("gateway.region", self.region.as_str()),
        ] {
            if value.is_empty() || value.contains('/') {
                errors.push(wrong(field, value, "a name without '/'"));
            }
        }
    }

    fn check_numbers(&self, errors: &mut Vec<FieldError>) {
        let (requests, timings) = (&self.requests, &self.timings);
        let numbers = [
            (
                "requests.streams",
                requests.streams as u64,
                MAXIMUM_STREAMS as u64,
            ),
            (
                "requests.default_max_tokens",
                requests.default_max_tokens.into(),
                requests.maximum_max_tokens.into(),
            ),
            (
                "requests.maximum_max_tokens",
                requests.maximum_max_tokens.into(),
                u32::MAX.into(),
            ),
            (
                "requests.default_deadline_millis",
                requests.default_deadline_millis,
                requests.maximum_deadline_millis,
            ),
            (
                "requests.maximum_deadline_millis",
                requests.maximum_deadline_millis,
                MAXIMUM_MILLIS,
            ),
            (
                "requests.answer_bytes",
                requests.answer_bytes as u64,
                u32::MAX.into(),
            ),
            (
                "requests.key_retention_millis",
                requests.key_retention_millis,
                365 * MAXIMUM_MILLIS,
            ),
            (
                "timings.bundle_poll_millis",
                timings.bundle_poll_millis,
                MAXIMUM_MILLIS,
            ),
            (
                "timings.cache_events_millis",
                timings.cache_events_millis,
                MAXIMUM_MILLIS,
            ),
            (
                "timings.cache_events_engine_millis",
                timings.cache_events_engine_millis,
                MAXIMUM_MILLIS,
            ),
            ("timings.capacity_millis", timings.capacity_millis, MAXIMUM_MILLIS),
            (
                "timings.controller_timeout_millis",
                timings.controller_timeout_millis,
                MAXIMUM_MILLIS,
            ),
            (
                "timings.fleet_silence_millis",
                timings.fleet_silence_millis,
                MAXIMUM_MILLIS,
            ),
            (
                "timings.platform_timeout_millis",
                timings.platform_timeout_millis,
                MAXIMUM_MILLIS,
            ),
            (
                "timings.claim_patience_millis",
                timings.claim_patience_millis,
                MAXIMUM_MILLIS,
            ),
            (
                "timings.claim_retention_scan_millis",
                timings.claim_retention_scan_millis,
                MAXIMUM_MILLIS,
            ),
        ];
        for (field, value, most) in numbers {
            if !(1..=most).contains(&value) {
                let allowed = format!("1 to {most}");
                errors.push(wrong(&format!("gateway.{field}"), &value.to_string(), &allowed));
            }
        }
    }
}

fn wrong(field: &str, value: &str, allowed: &str) -> FieldError {
    FieldError {
        field: field.to_owned(),
        value: value.to_owned(),
        allowed: allowed.to_owned(),
    }
}

/// A setting in milliseconds as a duration.
pub(crate) const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}
