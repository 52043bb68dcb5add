//! `shelfjunction-lab load`: open-loop load on a running deployment.

use super::{Command, CommandError, Options};
use crate::cluster::deployment::Deployment;
use crate::load::config::{LoadConfig, MixConfig};
use crate::load::plan::{LengthDistribution, LoadPlan};
use crate::load::schedule::ScheduleError;
use crate::load::summary::LoadSummary;
use crate::load::{self, Progress};
use shelfjunction_core::bundle::content::{TenantRateRule, TenantRateUnit};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The command.
pub const COMMAND: Command = Command {
    name: "load",
    summary: "Sends calls at the times of a schedule drawn beforehand and prints latencies.",
    example: "shelfjunction-lab load --gateway 127.0.0.1:7000 --token-file token --model renewal --rate 50 --seconds 10",
    declare,
    run,
};

/// Seconds of a run unless given.
const DEFAULT_SECONDS: f64 = 10.0;

/// Calls a second unless given.
const DEFAULT_RATE: f64 = 20.0;

/// Prompt tokens unless given.
const DEFAULT_PROMPT_TOKENS: u32 = 200;

/// Output tokens unless given.
const DEFAULT_OUTPUT_TOKENS: u32 = 32;

/// Senders unless given.
const DEFAULT_SENDERS: usize = 256;

/// Longest wait for a part, in milliseconds.
const PART_TIMEOUT_MILLIS: u64 = 60_000;

fn declare(options: &mut getopts::Options) {
    options.optopt("", "settings", "settings file with any number of mixes", "FILE");
    options.optmulti("", "gateway", "gateway to call; may be repeated", "ADDRESS");
    options.optmulti(
        "",
        "direct",
        "engine that every second call goes to without a gateway; may be repeated",
        "ADDRESS",
    );
    options.optopt("", "token-file", "file with the tenant's bearer token", "FILE");
    options.optopt("", "model", "model, or MODEL:ADAPTER", "MODEL");
    options.optopt("", "prompt-tokens", "length of each prompt", "TOKENS");
    options.optopt("", "output-tokens", "length of each output", "TOKENS");
    options.optflag("", "keyed", "give each call an idempotency key of its own");
    options.optopt("", "rate", "mean rate of calls", "CALLS_PER_SECOND");
    options.optopt("", "seconds", "how long calls are started", "SECONDS");
    options.optopt("", "senders", "most calls in flight", "NUMBER");
    options.optopt("", "seed", "seed of arrivals and lengths", "NUMBER");
    options.optopt(
        "",
        "embedded",
        "run this deployment (pharmacy or kadriks) in this process and compare gateways with direct calls",
        "NAME",
    );
    options.optopt(
        "",
        "tenant-rate",
        "with --embedded: rate of the calling tenant over all gateways, as its burst, too",
        "UNITS_PER_SECOND",
    );
    options.optopt(
        "",
        "tenant-rate-unit",
        "what that rate counts: requests or tokens (default)",
        "UNIT",
    );
    options.optflag("", "json", "print the figures as JSON");
    options.optopt("", "report", "write an HTML page with plots", "FILE");
}

fn run(options: &Options) -> Result<(), CommandError> {
    let summary = match options.text("embedded") {
        Some(name) => run_embedded(options, &name)?,
        None => load::run(&plan(options)?, |_| {}, print_progress).map_err(schedule_error)?,
    };
    if options.flag("json") {
        let text =
            serde_json::to_string_pretty(&summary).map_err(|error| CommandError::failed("figures", error))?;
        println!("{text}");
    } else {
        print!("{summary}");
    }
    match options.text("report") {
        Some(path) => write_report(&path, &summary),
        None => Ok(()),
    }
}

fn run_embedded(options: &Options, name: &str) -> Result<LoadSummary, CommandError> {
    let mut deployment = Deployment::by_name(name)
        .ok_or_else(|| CommandError::Usage(format!("--embedded {name}: allowed is pharmacy or kadriks")))?;
    let mut config = config_of_flags(options, name.to_owned(), PathBuf::new())?;
    apply_flags(options, &mut config)?;
    if let Some(tenant) = deployment.bundle.tenants.first_mut() {
        tenant.rate = tenant_rate(options)?;
    }
    load::embedded::run_embedded(deployment, &config, print_progress)
        .map_err(|error| CommandError::failed("load", error))
}

fn tenant_rate(options: &Options) -> Result<Option<TenantRateRule>, CommandError> {
    let units_per_second = options.value_or("tenant-rate", 0)?;
    let unit = match options.text("tenant-rate-unit").as_deref() {
        None | Some("tokens") => TenantRateUnit::Tokens,
        Some("requests") => TenantRateUnit::Requests,
        Some(other) => {
            let allowed = "allowed is requests or tokens";
            return Err(CommandError::Usage(format!(
                "--tenant-rate-unit {other}: {allowed}"
            )));
        }
    };
    Ok((units_per_second > 0).then_some(TenantRateRule {
        units_per_second,
        burst: units_per_second,
        unit,
    }))
}

fn schedule_error(error: ScheduleError) -> CommandError {
    CommandError::Usage(format!("no schedule: {error:?}"))
}

fn write_report(path: &str, summary: &LoadSummary) -> Result<(), CommandError> {
    let page = load::report::page(summary).map_err(|error| CommandError::failed("report", error))?;
    std::fs::write(path, page).map_err(|error| CommandError::failed(path, error))
}

fn print_progress(progress: Progress) {
    eprintln!(
        "elapsed={:.0} planned={} ended={} completed={}",
        progress.elapsed.as_secs_f64(),
        progress.planned,
        progress.ended,
        progress.completed
    );
}

fn plan(options: &Options) -> Result<LoadPlan, CommandError> {
    let (mut config, directory) = match options.text("settings") {
        Some(path) => read_settings(&path)?,
        None => {
            let model = options.required("model")?;
            let token_file = options.required("token-file")?;
            (config_of_flags(options, model, token_file)?, PathBuf::new())
        }
    };
    apply_flags(options, &mut config)?;
    config.into_plan(&directory).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        CommandError::Usage(lines.join("\n"))
    })
}

fn read_settings(path: &str) -> Result<(LoadConfig, PathBuf), CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandError::Usage(format!("--settings {path}: {error}")))?;
    let config =
        toml::from_str(&text).map_err(|error| CommandError::Usage(format!("--settings {path}: {error}")))?;
    let directory = Path::new(path).parent().unwrap_or(Path::new(""));
    Ok((config, directory.to_owned()))
}

fn config_of_flags(
    options: &Options,
    model: String,
    token_file: PathBuf,
) -> Result<LoadConfig, CommandError> {
    let mix = MixConfig {
        name: model.clone(),
        token_file,
        model,
        share: 1.0,
        prompt_tokens: LengthDistribution::fixed(options.value_or("prompt-tokens", DEFAULT_PROMPT_TOKENS)?),
        output_tokens: LengthDistribution::fixed(options.value_or("output-tokens", DEFAULT_OUTPUT_TOKENS)?),
        class: None,
        keyed: options.flag("keyed"),
    };
    Ok(LoadConfig {
        gateways: Vec::new(),
        direct: Vec::new(),
        seconds: DEFAULT_SECONDS,
        requests_per_second: DEFAULT_RATE,
        senders: DEFAULT_SENDERS,
        seed: 0,
        part_timeout_millis: PART_TIMEOUT_MILLIS,
        mixes: vec![mix],
    })
}

fn apply_flags(options: &Options, config: &mut LoadConfig) -> Result<(), CommandError> {
    let gateways = addresses(options, "gateway")?;
    if !gateways.is_empty() {
        config.gateways = gateways;
    }
    let direct = addresses(options, "direct")?;
    if !direct.is_empty() {
        config.direct = direct;
    }
    config.seconds = options.value_or("seconds", config.seconds)?;
    config.requests_per_second = options.value_or("rate", config.requests_per_second)?;
    config.senders = options.value_or("senders", config.senders)?;
    config.seed = options.value_or("seed", config.seed)?;
    Ok(())
}

fn addresses(options: &Options, name: &str) -> Result<Vec<SocketAddr>, CommandError> {
    let parse = |text: String| {
        text.parse()
            .map_err(|error| CommandError::Usage(format!("--{name} {text}: {error}")))
    };
    options.texts(name).into_iter().map(parse).collect()
}
