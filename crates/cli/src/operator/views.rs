//! `status`, `engines`, `usage` and `requests`.

use super::client::{self, Client};
use super::{print, print_fleet};
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed, Values};
use crate::usage;
use shelfjunction_protocol::operator::{EnginesReply, RequestView, StatusReply, UsageReply};

/// Runs `shelfjunction status`.
pub fn run_status(arguments: &[String]) -> Result<(), CommandError> {
    let Some(values) = parse(usage::STATUS, arguments)? else {
        return Ok(());
    };
    values.no_arguments()?;
    let reply: StatusReply = Client::from_options(&values)?.get("status")?;
    print::print(&reply, values.has("json"), print_fleet::status)
}

/// Runs `shelfjunction engines`.
pub fn run_engines(arguments: &[String]) -> Result<(), CommandError> {
    let Some(values) = parse(usage::ENGINES, arguments)? else {
        return Ok(());
    };
    values.no_arguments()?;
    let reply: EnginesReply = Client::from_options(&values)?.get("engines")?;
    print::print(&reply, values.has("json"), |reply| {
        print_fleet::engines(&reply.engines)
    })
}

/// Runs `shelfjunction usage`.
pub fn run_usage(arguments: &[String]) -> Result<(), CommandError> {
    let Some(values) = parse(usage::USAGE, arguments)? else {
        return Ok(());
    };
    values.no_arguments()?;
    let reply: UsageReply = Client::from_options(&values)?.get("usage")?;
    print::print(&reply, values.has("json"), print_fleet::usage)
}

/// Runs `shelfjunction requests`.
pub fn run_requests(arguments: &[String]) -> Result<(), CommandError> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(CommandError::Usage(usage::REQUESTS.to_owned()));
    };
    let cancels = match command.as_str() {
        "show" => false,
        "cancel" => true,
        "--help" | "-h" => {
            println!("{}", usage::REQUESTS);
            return Ok(());
        }
        unknown => {
            return Err(CommandError::Usage(format!(
                "unknown command {unknown:?}\n\n{}",
                usage::REQUESTS
            )));
        }
    };
    let Some(values) = parse(usage::REQUESTS, rest)? else {
        return Ok(());
    };
    let path = format!("requests/{}", values.one_argument("ID")?);
    let client = Client::from_options(&values)?;
    let view: RequestView = if cancels {
        client.delete(&path)?
    } else {
        client.get(&path)?
    };
    print::print(&view, values.has("json"), print_fleet::request)
}

fn parse(brief: &'static str, arguments: &[String]) -> Result<Option<Values>, CommandError> {
    match client::with_client_options(CommandLine::new(brief)).parse(arguments)? {
        Parsed::HelpShown => Ok(None),
        Parsed::Values(values) => Ok(Some(values)),
    }
}
