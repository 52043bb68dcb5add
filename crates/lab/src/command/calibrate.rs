//! `shelfjunction-lab calibrate`: the engine model against the stand-in that runs as a process.

use super::engine::{engine_config, engine_options};
use super::{Command, CommandError, Options};
use crate::calibrate::{self, Calibration, ObservedEngines};

/// The command.
pub const COMMAND: Command = Command {
    name: "calibrate",
    summary: "Compares the engine model with a stand-in engine that runs with the same settings.",
    example: "shelfjunction-lab calibrate --engine 127.0.0.1:7300 --model renewal@1 --rate 4 --rate 8",
    declare,
    run,
};

/// Calls in each run unless set otherwise.
const DEFAULT_CALLS: usize = 300;

/// Calls per second unless set otherwise: light, busy and nearly full for the default costs.
const DEFAULT_RATES: [f64; 3] = [2.0, 6.0, 12.0];

fn declare(options: &mut getopts::Options) {
    options.optopt("", "engine", "address of the process", "ADDRESS");
    options.optopt(
        "",
        "decode",
        "address of a decode process; the first is a prefill one then",
        "ADDRESS",
    );
    options.optopt("", "calls", "calls in each run", "NUMBER");
    options.optmulti("", "rate", "calls per second; may be repeated", "NUMBER");
    options.optopt("", "seed", "decides arrivals and prompts", "NUMBER");
    options.optflag("", "json", "print JSON and no table");
    engine_options(options);
}

fn run(options: &Options) -> Result<(), CommandError> {
    let calibration = Calibration {
        engines: ObservedEngines {
            engine: options.required("engine")?,
            decode: options.value("decode")?,
        },
        config: engine_config(options)?,
        calls: options.value_or("calls", DEFAULT_CALLS)?,
        rates: rates(options)?,
        seed: options.value_or("seed", 1)?,
    };
    let report = calibrate::run(&calibration);
    if options.flag("json") {
        let text = serde_json::to_string_pretty(&report)
            .map_err(|error| CommandError::failed("the report", error))?;
        println!("{text}");
    } else {
        print!("{report}");
    }
    if report.rates.iter().any(|run| run.compared == 0) {
        return Err(CommandError::Failed("a run had nothing to compare".to_owned()));
    }
    Ok(())
}

fn rates(options: &Options) -> Result<Vec<f64>, CommandError> {
    let texts = options.texts("rate");
    if texts.is_empty() {
        return Ok(DEFAULT_RATES.to_vec());
    }
    texts
        .iter()
        .map(|text| match text.parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate > 0.0 => Ok(rate),
            _ => Err(CommandError::Usage(format!(
                "--rate {text}: allowed is a number above 0"
            ))),
        })
        .collect()
}
