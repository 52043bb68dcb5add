//! Two operators bring in competing bundles at the same time.

use crate::harness::deployment::{Processes, SMALL_ZONES};
use crate::harness::program::{LinePosition, Program};
use shelfjunction_core::bundle::acceptance::{CURRENT_KEY, CurrentRow};
use shelfjunction_core::identity::OperatorId;
use shelfjunction_core::table::RowKey;
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_platform::services::TableService;
use shelfjunction_protocol::operator::ProposalReply;

#[test]
fn one_of_two_racing_operators_wins_and_the_other_learns_who() {
    let running = Processes::start(SMALL_ZONES);
    let operators = running.layout.deployment.operators();
    let proposals: Vec<String> = operators
        .iter()
        .enumerate()
        .map(|(index, operator)| propose(&running, index, operator))
        .collect();
    let mut rollouts: Vec<Program> = proposals
        .iter()
        .zip(&operators)
        .enumerate()
        .map(|(index, (proposal, operator))| roll_out(&running, index, operator, proposal))
        .collect();
    let accepted: Vec<bool> = rollouts
        .iter_mut()
        .map(|program| program.wait_for_exit().success())
        .collect();
    assert_eq!(
        accepted.iter().filter(|accepted| **accepted).count(),
        1,
        "{accepted:?}"
    );

    let winner = accepted.iter().position(|accepted| *accepted).unwrap();
    let row = running
        .platform_client()
        .read(&RowKey(CURRENT_KEY.to_owned()))
        .unwrap()
        .unwrap();
    let current: CurrentRow = serde_json::from_str(&row.value).unwrap();
    assert_eq!(current.operator, operators[winner]);
    assert_eq!(current.proposal.0, proposals[winner]);
    let told = rollouts[1 - winner].output();
    assert!(told.contains(operators[winner].as_str()), "{told}");

    for (index, controller) in running.controllers.iter().enumerate() {
        let generation = format!("generation={}", current.generation);
        controller.wait_for_line(LinePosition::default(), &["bundle_in_force", &generation]);
        running.gateways[index].wait_for_line(LinePosition::default(), &["bundle_in_force", &generation]);
    }
}

/// Proposes and signs a bundle of the operator's own; gives the proposal.
fn propose(running: &Processes, gateway: usize, operator: &OperatorId) -> String {
    let mut bundle = running.layout.deployment.bundle.clone();
    bundle.label = format!("bundle of {operator}");
    let file = running.write_file(
        &format!("{operator}.json"),
        &serde_json::to_string(&bundle).unwrap(),
    );
    let key = hex::encode(Deployment::signing_key(operator));
    let key_file = running.write_file(
        &format!("{operator}.key"),
        &format!("operator = '{operator}'\nsecret_key = '{key}'\n"),
    );
    let token_file = token_file(running, operator);
    let mut command = running.operator_command(&[
        "bundle",
        "propose",
        file.to_str().unwrap(),
        "--gateway",
        &running.layout.nodes[gateway].gateway.to_string(),
        "--token-file",
        &token_file,
        "--key",
        key_file.to_str().unwrap(),
        "--json",
    ]);
    assert!(command.wait_for_exit().success(), "{}", command.output());
    let reply: ProposalReply = serde_json::from_str(&command.output()).unwrap();
    reply.proposal.statement.proposal.0
}

fn roll_out(running: &Processes, gateway: usize, operator: &OperatorId, proposal: &str) -> Program {
    running.operator_command(&[
        "bundle",
        "rollout",
        proposal,
        "--gateway",
        &running.layout.nodes[gateway].gateway.to_string(),
        "--token-file",
        &token_file(running, operator),
    ])
}

fn token_file(running: &Processes, operator: &OperatorId) -> String {
    let path = running.write_file(
        &format!("{operator}.token"),
        &Deployment::operator_token(operator),
    );
    path.to_str().unwrap().to_owned()
}
