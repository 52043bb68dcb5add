//! Settings file of `load`.

use super::plan::{LengthDistribution, LoadPlan, Mix};
use serde::{Deserialize, Serialize};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::setting::FieldError;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Most senders that may be set.
const MAXIMUM_SENDERS: usize = 4_096;

/// Longest run that may be set, in seconds: one day.
const MAXIMUM_SECONDS: f64 = 86_400.0;

/// Settings of a run of load; tokens come from files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadConfig {
    /// Gateways, taken in turn.
    pub gateways: Vec<SocketAddr>,
    /// Engines that every second call goes to without a gateway.
    #[serde(default)]
    pub direct: Vec<SocketAddr>,
    /// How long calls are started, in seconds.
    pub seconds: f64,
    /// Mean rate of calls.
    pub requests_per_second: f64,
    /// Most calls in flight.
    #[serde(default = "default_senders")]
    pub senders: usize,
    /// Seed of arrivals and lengths.
    #[serde(default)]
    pub seed: u64,
    /// Longest wait for an answer's next part, in milliseconds.
    #[serde(default = "default_part_timeout_millis")]
    pub part_timeout_millis: u64,
    /// Kinds of calls.
    pub mixes: Vec<MixConfig>,
}

/// Settings of one kind of call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixConfig {
    /// Name in the summary.
    pub name: String,
    /// File that holds the tenant's bearer token; relative to the settings file.
    pub token_file: PathBuf,
    /// Model, or model and adapter joined by a colon.
    pub model: String,
    /// Part of all calls, relative to the other mixes.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Length of prompts.
    pub prompt_tokens: LengthDistribution,
    /// Length of outputs asked for.
    pub output_tokens: LengthDistribution,
    /// Class; absent: the tenant's.
    #[serde(default)]
    pub class: Option<ServiceClass>,
    /// Whether each call carries an idempotency key of its own.
    #[serde(default)]
    pub keyed: bool,
}

fn default_senders() -> usize {
    256
}

fn default_part_timeout_millis() -> u64 {
    60_000
}

fn default_share() -> f64 {
    1.0
}

impl LoadConfig {
    /// Every setting out of range.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut expect = |holds: bool, field: &str, value: String, allowed: &str| {
            if !holds {
                errors.push(FieldError {
                    field: field.to_owned(),
                    value,
                    allowed: allowed.to_owned(),
                });
            }
        };
        let seconds_hold = self.seconds > 0.0 && self.seconds <= MAXIMUM_SECONDS;
        expect(
            seconds_hold,
            "seconds",
            self.seconds.to_string(),
            "above 0, at most 86400",
        );
        let rate = self.requests_per_second;
        expect(
            rate > 0.0 && rate.is_finite(),
            "requests_per_second",
            rate.to_string(),
            "above 0",
        );
        let senders_hold = (1..=MAXIMUM_SENDERS).contains(&self.senders);
        expect(senders_hold, "senders", self.senders.to_string(), "1 to 4096");
        expect(
            self.part_timeout_millis > 0,
            "part_timeout_millis",
            "0".to_owned(),
            "1 or more",
        );
        let has_target = !self.gateways.is_empty() || !self.direct.is_empty();
        expect(has_target, "gateways", "[]".to_owned(), "at least one address");
        expect(!self.mixes.is_empty(), "mixes", "[]".to_owned(), "at least one");
        for mix in &self.mixes {
            let share_holds = mix.share >= 0.0 && mix.share.is_finite();
            expect(
                share_holds,
                &format!("mixes.{}.share", mix.name),
                mix.share.to_string(),
                "0 or more",
            );
        }
        errors
    }

    /// Reads the token files, relative to `directory`, and gives the plan; every file that can't be read is told.
    pub fn into_plan(self, directory: &Path) -> Result<LoadPlan, Vec<FieldError>> {
        let mut errors = self.validate();
        let mut mixes = Vec::new();
        for mix in self.mixes {
            match mix.into_mix(directory) {
                Ok(mix) => mixes.push(mix),
                Err(error) => errors.push(error),
            }
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(LoadPlan {
            gateways: self.gateways,
            direct: self.direct,
            duration: Duration::from_secs_f64(self.seconds),
            requests_per_second: self.requests_per_second,
            senders: self.senders,
            seed: self.seed,
            part_timeout: Duration::from_millis(self.part_timeout_millis),
            mixes,
        })
    }
}

impl MixConfig {
    fn into_mix(self, directory: &Path) -> Result<Mix, FieldError> {
        let path = directory.join(&self.token_file);
        let token = std::fs::read_to_string(&path).map_err(|error| FieldError {
            field: format!("mixes.{}.token_file", self.name),
            value: self.token_file.display().to_string(),
            allowed: format!("a readable file ({error})"),
        })?;
        Ok(Mix {
            name: self.name,
            token: token.trim().to_owned(),
            model: self.model,
            share: self.share,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            class: self.class,
            keyed: self.keyed,
        })
    }
}
