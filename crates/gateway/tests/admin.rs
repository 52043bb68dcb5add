//! The administration API: the first bundle, scopes, faults, roll-backs.
#![allow(clippy::unwrap_used)]

mod admin_support;

use admin_support::{Gateway, Platform, bundle, started, token};
use shelfjunction_core::identity::Generation;
use shelfjunction_gateway::admin::{AdminContext, AdminMethod};
use shelfjunction_protocol::operator::{
    AdminError, AdminErrorCode, ProposalReply, ProposeRequest, RollbackRequest,
};
use std::sync::Arc;

#[test]
fn the_first_bundle_needs_a_root_key_and_comes_once() {
    let platform = Arc::new(Platform::default());
    let gateway = Gateway::new(&platform);
    let stranger = gateway.bootstrap(bundle("first"), "1-a", "alice").unwrap_err();
    assert_eq!(stranger.code, AdminErrorCode::SignaturesMissing);
    assert!(platform.store.lock().unwrap().objects.is_empty());
    let nobody: AdminError = gateway
        .send::<serde_json::Value>(AdminMethod::Get, "/admin/status", None, &[])
        .unwrap_err();
    assert_eq!(nobody.code, AdminErrorCode::NoBundle);

    let accepted = gateway.bootstrap(bundle("first"), "1-a", "root").unwrap();
    assert_eq!(accepted.accepted.generation, Generation(1));
    // The same call again tells what became of it; another one lost.
    assert_eq!(
        gateway.bootstrap(bundle("first"), "1-a", "root").unwrap(),
        accepted
    );
    let other = gateway.bootstrap(bundle("other"), "1-b", "root").unwrap_err();
    assert_eq!(other.code, AdminErrorCode::Conflict);
    assert_eq!(other.winner.map(|winner| *winner), Some(accepted.accepted));
}

#[test]
fn a_scope_allows_what_it_names_and_hides_other_tenants() {
    let (_, gateway, _) = started();
    let viewer = token("viewer");
    let refused = |path: &str| {
        let request = ProposeRequest {
            bundle: bundle("second"),
            base: None,
        };
        gateway
            .post::<_, serde_json::Value>(path, Some(&viewer), &request)
            .unwrap_err()
            .code
    };
    assert_eq!(refused("/admin/bundles"), AdminErrorCode::Forbidden);
    let read = |token: Option<&str>, path: &str| {
        gateway.send::<serde_json::Value>(AdminMethod::Get, path, token, &[])
    };
    let code = |token: Option<&str>, path: &str| read(token, path).unwrap_err().code;
    assert_eq!(code(None, "/admin/status"), AdminErrorCode::Unauthenticated);
    assert_eq!(code(Some("x"), "/admin/status"), AdminErrorCode::Unauthenticated);
    assert_eq!(
        code(Some(&viewer), "/admin/bundles/current"),
        AdminErrorCode::Forbidden
    );

    let alice = token("alice");
    let usage = read(Some(&alice), "/admin/usage").unwrap();
    assert_eq!(usage["tenants"].as_array().unwrap().len(), 1);
    assert!(read(Some(&alice), "/admin/requests/chain-a.1").is_ok());
    // A foreign request and one that does not exist look the same.
    let foreign = read(Some(&alice), "/admin/requests/chain-b.1").unwrap_err();
    let unknown = read(Some(&alice), "/admin/requests/nothing").unwrap_err();
    assert_eq!(foreign, unknown);
}

#[test]
fn an_invalid_bundle_is_refused_with_every_fault() {
    let (_, gateway, _) = started();
    let mut wrong = bundle("wrong");
    wrong.zones.clear();
    wrong.fleet.required_signatures = 9;
    wrong.operators[1].public_key = "no key".to_owned();
    let request = ProposeRequest {
        bundle: wrong,
        base: None,
    };
    let error = gateway
        .post::<_, ProposalReply>("/admin/bundles", Some(&token("alice")), &request)
        .unwrap_err();
    let fields: Vec<&str> = error.faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(
        fields,
        ["fleet.required_signatures", "zones", "operators.bob.public_key"]
    );
}

#[test]
fn a_rollback_is_a_new_generation_with_the_older_content() {
    let (platform, gateway, _) = started();
    let second = gateway.propose_and_sign("alice", "second").unwrap();
    gateway
        .roll_out("alice", &second.proposal.statement.proposal)
        .unwrap();
    gateway.catch_up();
    let request = RollbackRequest { to: Generation(1) };
    let reply: ProposalReply = gateway
        .post("/admin/rollback", Some(&token("bob")), &request)
        .unwrap();
    let unsigned = gateway
        .roll_out("bob", &reply.proposal.statement.proposal)
        .unwrap_err();
    assert_eq!(unsigned.code, AdminErrorCode::SignaturesMissing);
    gateway.sign("bob", &reply).unwrap();
    let accepted = gateway
        .roll_out("bob", &reply.proposal.statement.proposal)
        .unwrap();
    assert_eq!(accepted.accepted.generation, Generation(3));
    gateway.catch_up();
    assert_eq!(gateway.bundle().unwrap().manifest.label, "first");
    let history = platform.history();
    assert_eq!(history[2].rollback_of, Some(Generation(1)));
    assert_eq!(history[2].manifest, history[0].manifest);
}

#[test]
fn a_gateway_that_is_behind_makes_no_proposal() {
    let (_, gateway, _) = started();
    let second = gateway.propose_and_sign("alice", "second").unwrap();
    gateway
        .roll_out("alice", &second.proposal.statement.proposal)
        .unwrap();
    // The gateway has accepted generation 2 and does not hold it yet.
    let rollback: Result<ProposalReply, AdminError> = gateway.post(
        "/admin/rollback",
        Some(&token("alice")),
        &RollbackRequest { to: Generation(1) },
    );
    assert_eq!(rollback.unwrap_err().code, AdminErrorCode::Behind);
    let proposed = gateway.propose_and_sign("alice", "third").unwrap_err();
    assert_eq!(proposed.code, AdminErrorCode::Behind);
    gateway.catch_up();
    let third = gateway.propose_and_sign("alice", "third").unwrap();
    assert_eq!(third.proposal.statement.generation, Generation(3));
}
