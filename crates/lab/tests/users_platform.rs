//! The stand-ins of the users' platform: calls that get no answer and are carried out later.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::users_platform::{
    DeferralCount, DeferralDelay, InterfaceMode, StandInInterface, StandInStore, StoreMode,
};
use std::net::SocketAddr;

fn post(address: SocketAddr, path: &str, token: u64, body: &str) -> Option<u16> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let request = agent
        .post(format!("http://{address}{path}"))
        .header("Duty-Holder", format!("node-{token}"))
        .header("Fencing-Token", token.to_string());
    request.send(body).ok().map(|answer| answer.status().as_u16())
}

/// Writes a value to the row `key` if the row has this version; the status, absent without an answer.
fn put(store: &StandInStore, version: u64, value: &str) -> Option<u16> {
    let row = |rest: &str| format!(r#"{{"table":"t","part":"","privateKey":"key",{rest}}}"#);
    let body = format!(
        r#"{{"expected":[{}],"put":[{}],"remove":[]}}"#,
        row(&format!(r#""ver":{version}"#)),
        row(&format!(r#""value":"{value}""#))
    );
    post(store.address(), "/shelfjunction/rows-tx", 1, &body)
}

fn report(interface: &StandInInterface, token: u64, count: u64) -> Option<u16> {
    let body = format!(r#"{{"window":7,"counts":{{"tenant":{count}}}}}"#);
    post(interface.address(), "/usage", token, &body)
}

fn deferring_store() -> StandInStore {
    let store = StandInStore::start().unwrap();
    store.set_deferral(&DeferralDelay::OnDemand);
    store.set_mode(StoreMode::Deferring);
    store
}

fn deferring_interface() -> StandInInterface {
    let interface = StandInInterface::start().unwrap();
    interface.set_deferral(&DeferralDelay::OnDemand);
    interface.set_mode(InterfaceMode::Deferring);
    interface
}

#[test]
fn deferred_transactions_are_made_in_any_order_under_the_conditions_of_that_time() {
    let store = deferring_store();
    assert_eq!(put(&store, 0, "first"), None);
    assert_eq!(put(&store, 0, "second"), None);
    assert_eq!(store.row("t", "key"), None, "nothing is done yet");
    assert_eq!(store.make_deferred(1), Some(true));
    assert_eq!(store.make_deferred(0), Some(false), "the row is there by now");
    assert_eq!(store.make_deferred(0), None);
    assert_eq!(store.row("t", "key"), Some(("second".to_owned(), 1)));
    let count = DeferralCount {
        deferred: 2,
        done: 1,
        refused: 1,
    };
    assert_eq!((store.deferrals(), store.deferrals().waiting()), (count, 0));
}

#[test]
fn a_deferred_transaction_is_checked_against_the_rows_of_a_restored_store() {
    let store = deferring_store();
    let empty = store.copy();
    store.put("t", "key", "written meanwhile");
    assert_eq!(put(&store, 0, "on no row"), None);
    assert_eq!(put(&store, 1, "on the row"), None);
    store.restore(&empty);
    assert_eq!(
        store.make_deferred(1),
        Some(false),
        "the restored store lacks the row"
    );
    assert_eq!(store.make_deferred(0), Some(true));
    assert_eq!(store.row("t", "key"), Some(("on no row".to_owned(), 1)));
}

#[test]
fn a_door_that_defers_answers_questions_and_other_doors_answer_all() {
    let store = deferring_store();
    let other = store.another_door().unwrap();
    assert_eq!(put(&store, 0, "late"), None);
    assert_eq!(put(&other, 0, "at once"), Some(200));
    let url = format!("http://{}/shelfjunction/rows-get?table=t", store.address());
    let rows = ureq::get(url)
        .call()
        .unwrap()
        .body_mut()
        .read_to_string()
        .unwrap();
    assert!(rows.contains("at once"), "{rows}");
    assert_eq!(other.make_deferred(0), Some(false), "the calls of all doors");
}

#[test]
fn calls_that_are_deferred_for_a_time_are_carried_out_without_demand() {
    let store = StandInStore::start().unwrap();
    store.set_deferral(&DeferralDelay::Drawn {
        seed: 1,
        millis: 0..1,
    });
    store.set_mode(StoreMode::Deferring);
    assert_eq!(put(&store, 0, "late"), None);
    while store.deferrals().waiting() > 0 {
        std::thread::yield_now();
    }
    assert_eq!(store.row("t", "key"), Some(("late".to_owned(), 1)));
}

#[test]
fn calls_that_still_wait_are_dropped_with_the_store() {
    let store = StandInStore::start().unwrap();
    let other = store.another_door().unwrap();
    store.set_mode(StoreMode::Deferring);
    assert_eq!(put(&store, 0, "never"), None);
    drop(store);
    assert_eq!(other.deferrals().waiting(), 1, "another door keeps them");
}

#[test]
fn the_fence_of_a_deferred_report_is_checked_when_it_is_carried_out() {
    let interface = deferring_interface();
    assert_eq!(report(&interface, 1, 5), None);
    assert!(interface.reports().is_empty());
    interface.set_mode(InterfaceMode::Serving);
    assert_eq!(report(&interface, 2, 5), Some(200));
    assert_eq!(interface.make_deferred(0), Some(false));
    assert_eq!((interface.reports().len(), interface.refused()), (1, 1));
}

#[test]
fn a_deferred_report_is_taken_where_fences_are_not_checked() {
    let interface = deferring_interface();
    interface.check_fences(false);
    assert_eq!(report(&interface, 1, 5), None);
    interface.set_mode(InterfaceMode::Serving);
    assert_eq!(report(&interface, 2, 6), Some(200));
    assert_eq!(interface.make_deferred(0), Some(true));
    let counts = interface
        .reports()
        .iter()
        .map(|report| report.counts["tenant"])
        .collect::<Vec<_>>();
    assert_eq!(counts, [6, 5]);
    let calls = interface.calls();
    let seen: Vec<_> = calls
        .iter()
        .map(|call| {
            (
                call.subject.as_str(),
                call.holder.as_str(),
                call.token,
                call.deferred,
            )
        })
        .collect();
    assert_eq!(
        seen,
        [("usage", "node-2", 2, false), ("usage", "node-1", 1, true)]
    );
    assert!(calls[1].arrived_at < calls[0].arrived_at, "it had arrived before");
}

#[test]
fn a_lower_fence_is_refused_where_fences_are_checked_and_calls_name_the_subject_of_an_order() {
    let interface = StandInInterface::start().unwrap();
    let order = r#"{"service":"s","zone":"z","desiredCount":2}"#;
    assert_eq!(post(interface.address(), "/scale", 4, order), Some(200));
    assert_eq!(post(interface.address(), "/scale", 3, order), Some(409));
    assert_eq!(interface.calls().len(), 1);
    assert_eq!(interface.calls()[0].subject, "s/z");
}
