//! `bundle validate`, `propose`, `sign`, `history` and `show`.

use super::client::{self, Client};
use super::files::{self, KeyFile};
use super::{keygen, print, rollout};
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed};
use crate::usage;
use serde::Serialize;
use shelfjunction_core::bundle::digest::Digest;
use shelfjunction_core::bundle::manifest;
use shelfjunction_core::identity::Generation;
use shelfjunction_protocol::operator::{
    BundleReply, HistoryReply, ProposalReply, ProposalsReply, ProposeRequest,
};
use std::path::Path;

/// Runs `shelfjunction bundle`.
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(CommandError::Usage(usage::BUNDLE.to_owned()));
    };
    match command.as_str() {
        "validate" => validate(rest),
        "keygen" => keygen::run(rest),
        "propose" => propose(rest),
        "sign" => sign(rest),
        "rollout" => rollout::run_rollout(rest),
        "rollback" => rollout::run_rollback(rest),
        "history" => history(rest),
        "show" => show(rest),
        "--help" | "-h" => {
            print!("{}", usage::BUNDLE);
            Ok(())
        }
        unknown => Err(CommandError::Usage(format!(
            "unknown command {unknown:?}\n\n{}",
            usage::BUNDLE
        ))),
    }
}

#[derive(Serialize)]
struct Validated {
    label: String,
    manifest: Digest,
    parts: usize,
    bytes: usize,
    tenants: usize,
}

fn validate(arguments: &[String]) -> Result<(), CommandError> {
    let line = CommandLine::new(usage::VALIDATE).flag("json", "print JSON");
    let Parsed::Values(values) = line.parse(arguments)? else {
        return Ok(());
    };
    let bundle = files::read_valid_bundle(Path::new(&values.one_argument("FILE")?))?;
    let packed = manifest::pack(&bundle);
    let validated = Validated {
        label: bundle.label,
        manifest: packed.manifest_digest(),
        parts: packed.contents.len(),
        bytes: packed.contents.iter().map(|content| content.bytes.len()).sum(),
        tenants: bundle.tenants.len(),
    };
    print::print(&validated, values.has("json"), |validated| {
        format!(
            "the bundle {:?} is in order: manifest {}, {} contents, {} bytes, {} tenants\n",
            validated.label, validated.manifest, validated.parts, validated.bytes, validated.tenants
        )
    })
}

fn propose(arguments: &[String]) -> Result<(), CommandError> {
    let line = client::with_client_options(CommandLine::new(usage::PROPOSE))
        .value("base", "generation that the bundle was edited from", "N")
        .value("key", "signing key; signs the proposal at once", "FILE");
    let Parsed::Values(values) = line.parse(arguments)? else {
        return Ok(());
    };
    let bundle = files::read_valid_bundle(Path::new(&values.one_argument("FILE")?))?;
    let key = values
        .get("key")
        .map(|path| KeyFile::read(Path::new(&path)))
        .transpose()?;
    let base = values.number("base")?.map(Generation);
    let client = Client::from_options(&values)?;
    let expected = manifest::pack(&bundle).manifest_digest();
    let mut reply: ProposalReply = client.post("bundles", &ProposeRequest { bundle, base })?;
    if let Some(key) = key {
        require_manifest(&reply, expected)?;
        reply = add_signature(&client, &reply, &key)?;
    }
    print::print(&reply, values.has("json"), print::proposal)
}

fn sign(arguments: &[String]) -> Result<(), CommandError> {
    let line = client::with_client_options(CommandLine::new(usage::SIGN))
        .value("key", "signing key", "FILE")
        .value("bundle", "the bundle that the proposal must hold", "FILE");
    let Parsed::Values(values) = line.parse(arguments)? else {
        return Ok(());
    };
    let proposal = values.one_argument("PROPOSAL")?;
    let key = KeyFile::read(&values.require_path("key")?)?;
    let expected = values
        .get("bundle")
        .map(|path| files::read_valid_bundle(Path::new(&path)))
        .transpose()?
        .map(|bundle| manifest::pack(&bundle).manifest_digest());
    let client = Client::from_options(&values)?;
    let reply: ProposalReply = client.get(&format!("proposals/{proposal}"))?;
    if let Some(expected) = expected {
        require_manifest(&reply, expected)?;
    }
    let reply = add_signature(&client, &reply, &key)?;
    print::print(&reply, values.has("json"), print::proposal)
}

/// Signs what a gateway says it holds and hands the signature in.
pub fn add_signature(
    client: &Client,
    reply: &ProposalReply,
    key: &KeyFile,
) -> Result<ProposalReply, CommandError> {
    let statement = &reply.proposal.statement;
    let signature = key.sign(statement)?;
    client.post(&format!("bundles/{}/signatures", statement.proposal), &signature)
}

/// Refuses to go on with a proposal whose content is not what the operator has at hand.
fn require_manifest(reply: &ProposalReply, expected: Digest) -> Result<(), CommandError> {
    let found = reply.proposal.statement.manifest;
    if found == expected {
        return Ok(());
    }
    Err(CommandError::Failed(format!(
        "not signed: the proposal holds manifest {found}, the file gives {expected}"
    )))
}

fn history(arguments: &[String]) -> Result<(), CommandError> {
    let line = client::with_client_options(CommandLine::new(usage::HISTORY))
        .flag("proposals", "list proposals that wait instead");
    let Parsed::Values(values) = line.parse(arguments)? else {
        return Ok(());
    };
    values.no_arguments()?;
    let client = Client::from_options(&values)?;
    if values.has("proposals") {
        let reply: ProposalsReply = client.get("proposals")?;
        return print::print(&reply, values.has("json"), print::proposals);
    }
    let reply: HistoryReply = client.get("history")?;
    print::print(&reply, values.has("json"), print::history)
}

fn show(arguments: &[String]) -> Result<(), CommandError> {
    let line = client::with_client_options(CommandLine::new(usage::SHOW)).value(
        "generation",
        "generation to print; by default the one in force",
        "N",
    );
    let Parsed::Values(values) = line.parse(arguments)? else {
        return Ok(());
    };
    values.no_arguments()?;
    let client = Client::from_options(&values)?;
    let path = match values.number("generation")? {
        Some(generation) => format!("bundles/{generation}"),
        None => "bundles/current".to_owned(),
    };
    let reply: BundleReply = client.get(&path)?;
    if values.has("json") {
        return print::print(&reply, true, |_| String::new());
    }
    let text = toml::to_string_pretty(&reply.bundle)
        .map_err(|cause| CommandError::Failed(format!("the bundle can't be written: {cause}")))?;
    println!("# generation {}, manifest {}", reply.generation, reply.manifest);
    print!("{text}");
    Ok(())
}
