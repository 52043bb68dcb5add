//! Requests that may not be repeated: once, joined, refused, and told apart from other tenants'.

#![allow(clippy::unwrap_used)]

mod support;

use shelfjunction_lab::platform::faults::{LostAnswers, Outage, PlatformFaults, ServiceFaults};
use support::{Fleet, application_call, header, json, model_call};

fn outcome(response: ureq::http::Response<ureq::Body>) -> (String, String) {
    let error = &json(response)["error"];
    let text = |name: &str| error[name].as_str().unwrap().to_owned();
    (text("code"), text("outcome"))
}

fn table_faults(table: ServiceFaults) -> PlatformFaults {
    PlatformFaults {
        table,
        ..PlatformFaults::default()
    }
}

#[test]
fn a_key_runs_once_at_whichever_gateway_it_comes() {
    let fleet = Fleet::start();
    let gateways = [fleet.gateway(), fleet.gateway()];
    // The table takes the claim and its answer is lost: the claim is settled, not made twice.
    fleet.platform.set_faults(table_faults(ServiceFaults {
        lost_answers: LostAnswers::Next(1),
        ..ServiceFaults::default()
    }));
    for gateway in [&gateways[0], &gateways[1], &gateways[0]] {
        let answer = fleet.post(
            gateway,
            "norrapotek",
            Some("order-7"),
            &application_call("dispatch 7"),
        );
        assert_eq!(answer.status(), 200);
        assert_eq!(json(answer)["choices"][0]["text"], "one two three four");
    }
    let other_body = fleet.post(
        &gateways[1],
        "norrapotek",
        Some("order-7"),
        &application_call("dispatch 8"),
    );
    assert_eq!(
        outcome(other_body),
        ("key_conflict".to_owned(), "not_run".to_owned())
    );
    assert_eq!(fleet.engines.calls().len(), 1);
    // The same key of another tenant is another key.
    let other = fleet.post(
        &gateways[1],
        "malarapotek",
        Some("order-7"),
        &application_call("dispatch 8"),
    );
    assert_eq!(other.status(), 200);
    assert_eq!(fleet.engines.calls().len(), 2);
}

#[test]
fn without_key_or_table_nothing_runs() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway();
    let keyless = fleet.post(&gateway, "norrapotek", None, &application_call("dispatch 7"));
    assert_eq!(
        outcome(keyless),
        ("key_required".to_owned(), "not_run".to_owned())
    );
    fleet.platform.set_faults(table_faults(ServiceFaults {
        outage: Outage::Refusing,
        ..ServiceFaults::default()
    }));
    let refused = fleet.post(
        &gateway,
        "norrapotek",
        Some("order-7"),
        &application_call("dispatch 7"),
    );
    assert_eq!(header(&refused, "Retry-After"), "1");
    assert_eq!(
        outcome(refused),
        ("ledger_unavailable".to_owned(), "unknown".to_owned())
    );
    assert_eq!(fleet.engines.calls().len(), 0);
    fleet.platform.set_faults(PlatformFaults::default());
    let later = fleet.post(
        &gateway,
        "norrapotek",
        Some("order-7"),
        &application_call("dispatch 7"),
    );
    assert_eq!(later.status(), 200);
}

#[test]
fn a_stopping_gateway_says_not_run_only_of_a_key_that_has_not_run() {
    let fleet = Fleet::start();
    let (other, gateway) = (fleet.gateway(), fleet.gateway());
    let call = application_call("dispatch 7");
    assert_eq!(
        fleet.post(&other, "norrapotek", Some("order-7"), &call).status(),
        200
    );
    fleet.engines.open_gate(1);
    let stream = fleet.post(&gateway, "norrapotek", None, &model_call("renew", true));
    gateway.stop();
    let told = |key, call: &str| {
        let refused = fleet.post(&gateway, "norrapotek", Some(key), call);
        let retry_after = refused.headers().contains_key("Retry-After");
        let (code, outcome) = outcome(refused);
        (code, outcome, retry_after)
    };
    let stated = |code: &str, outcome: &str, retry| (code.to_owned(), outcome.to_owned(), retry);
    assert_eq!(told("order-7", &call), stated("claim_unsettled", "unknown", true));
    assert_eq!(told("order-8", &call), stated("stopping", "not_run", true));
    let other_body = application_call("dispatch 8");
    assert_eq!(
        told("order-7", &other_body),
        stated("key_conflict", "not_run", false)
    );
    fleet.engines.open_gate(usize::MAX);
    drop(stream);
}

#[test]
fn another_tenants_request_looks_like_one_that_never_was() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway();
    let answer = fleet.post(&gateway, "norrapotek", None, &model_call("renew", false));
    let id = header(&answer, "X-Request-Id");
    let (nonce, tag) = id.rsplit_once('-').unwrap();
    let never = format!(
        "{}-{tag}",
        nonce.replace(|digit: char| digit.is_ascii_digit(), "0")
    );
    let told = |id: &str| {
        let response = fleet.get(&gateway, "malarapotek", &format!("/v1/requests/{id}"));
        let status = response.status().as_u16();
        (status, json(response).to_string().replace(id, ""))
    };
    assert_eq!(told(&id).0, 404);
    assert_eq!(told(&id), told(&never));
    assert_eq!(told(&id), told("req-rubbish"));
}

#[test]
fn a_tenant_is_served_in_its_zones_only() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway();
    for _ in 0..20 {
        let answer = fleet.post(&gateway, "uppapotek", None, &model_call("renew", false));
        assert_eq!(answer.status(), 200);
    }
    let zones = ["uppsala-b", "vasteras-c"];
    let calls = fleet.engines.calls();
    assert!(calls.iter().all(|(zone, _)| zones.contains(&zone.as_str())));
    let salts: std::collections::BTreeSet<_> = calls.iter().map(|(_, call)| &call.cache_salt).collect();
    assert_eq!(salts.len(), 1);
}
