//! `bundle rollout` and `bundle rollback`.

use super::bundle::add_signature;
use super::client::{self, Client};
use super::files::{self, KeyFile};
use super::print;
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed, Values};
use crate::usage;
use rand::TryRngCore;
use rand::rngs::OsRng;
use shelfjunction_core::bundle::manifest;
use shelfjunction_core::bundle::signature::{FIRST_GENERATION, ProposalId, Statement};
use shelfjunction_core::identity::Generation;
use shelfjunction_protocol::operator::{
    BootstrapRequest, ProposalReply, RollbackRequest, RolloutReply, RolloutRequest,
};
use std::path::Path;

/// Bytes of the unguessable part of a proposal's identifier.
const IDENTIFIER_BYTES: usize = 16;

/// Runs `bundle rollout`.
pub fn run_rollout(arguments: &[String]) -> Result<(), CommandError> {
    let line = client::with_client_options(CommandLine::new(usage::ROLLOUT))
        .value("first", "first bundle of an empty platform", "FILE")
        .values("key", "root key that signs the first bundle", "FILE")
        .value("proposal", "identifier to use again after a lost answer", "ID");
    let Parsed::Values(values) = line.parse(arguments)? else {
        return Ok(());
    };
    if let Some(path) = values.get("first") {
        values.no_arguments()?;
        return bootstrap(&values, Path::new(&path));
    }
    let proposal = ProposalId(values.one_argument("PROPOSAL")?);
    let client = Client::from_options(&values)?;
    let reply = roll_out(&client, proposal)?;
    print::print(&reply, values.has("json"), print::rollout)
}

fn roll_out(client: &Client, proposal: ProposalId) -> Result<RolloutReply, CommandError> {
    client.post("rollout", &RolloutRequest { proposal })
}

fn bootstrap(values: &Values, path: &Path) -> Result<(), CommandError> {
    let bundle = files::read_valid_bundle(path)?;
    let keys = values.all("key");
    if keys.is_empty() {
        return Err(values.usage("--key is missing"));
    }
    let proposal = match values.get("proposal") {
        Some(text) => ProposalId(text),
        None => new_proposal()?,
    };
    let statement = Statement {
        generation: FIRST_GENERATION,
        manifest: manifest::pack(&bundle).manifest_digest(),
        proposal: proposal.clone(),
        authority: None,
    };
    let mut signatures = Vec::new();
    for key in keys {
        signatures.push(KeyFile::read(Path::new(&key))?.sign(&statement)?);
    }
    let client = Client::anonymous(values)?;
    eprintln!("proposal {proposal}");
    let request = BootstrapRequest {
        bundle,
        proposal,
        signatures,
    };
    let reply: RolloutReply = client.post("bootstrap", &request)?;
    print::print(&reply, values.has("json"), print::rollout)
}

fn new_proposal() -> Result<ProposalId, CommandError> {
    let mut bytes = [0; IDENTIFIER_BYTES];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|cause| CommandError::Failed(format!("the system gives no random numbers: {cause}")))?;
    Ok(ProposalId::new(FIRST_GENERATION, &hex::encode(bytes)))
}

/// Runs `bundle rollback`.
pub fn run_rollback(arguments: &[String]) -> Result<(), CommandError> {
    let line = client::with_client_options(CommandLine::new(usage::ROLLBACK))
        .value("to", "generation whose content is to come back", "N")
        .value(
            "key",
            "signing key; signs and, where that suffices, rolls out",
            "FILE",
        );
    let Parsed::Values(values) = line.parse(arguments)? else {
        return Ok(());
    };
    values.no_arguments()?;
    let to = values
        .number("to")?
        .map(Generation)
        .ok_or_else(|| values.usage("--to is missing"))?;
    let key = values
        .get("key")
        .map(|path| KeyFile::read(Path::new(&path)))
        .transpose()?;
    let client = Client::from_options(&values)?;
    let mut reply: ProposalReply = client.post("rollback", &RollbackRequest { to })?;
    let Some(key) = key else {
        return print::print(&reply, values.has("json"), print::proposal);
    };
    reply = add_signature(&client, &reply, &key)?;
    if reply.authority.verify(&reply.proposal.signed()).is_err() {
        return print::print(&reply, values.has("json"), print::proposal);
    }
    let accepted = roll_out(&client, reply.proposal.statement.proposal)?;
    print::print(&accepted, values.has("json"), print::rollout)
}
