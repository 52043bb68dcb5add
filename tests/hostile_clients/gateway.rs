//! Crowds of clients at a gateway.

use crate::crowd::{Crowd, Framing, Send};
use crate::harness::deployment::{Processes, SMALL_ZONES};
use crate::process::{ALONE, open_descriptors, peak_memory_bytes};
use shelfjunction_lab::caller::CallResult;
use std::sync::PoisonError;

/// Memory of the machine that a gateway's settings assume where they name none.
const MEMORY_BYTES: usize = 256_000_000;

/// Largest body that a gateway takes where its settings name none, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Clients of the crowd; together they send more than the machine's memory.
const CLIENTS: usize = 100;

/// Descriptors that a gateway may have open beside the crowd.
const MAX_DESCRIPTORS: usize = 512;

fn judge(send: Send) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let running = Processes::start(SMALL_ZONES);
    let process = u32::try_from(running.gateways[0].pid().as_raw_nonzero().get()).unwrap();
    let crowd = Crowd {
        clients: CLIENTS,
        target: "POST /v1/completions",
        framing: Framing::Length {
            piece_bytes: MAX_BODY_BYTES,
        },
        send,
    };
    let connected = crowd.send(running.layout.nodes[0].gateway);
    let ask = || {
        let call = running.model_call("history of one patient", 12);
        let answer = running.call(0, "norrapotek", &call).unwrap();
        assert_eq!(answer.read_to_end().1, CallResult::Completed);
    };
    ask();
    assert!(open_descriptors(process) <= MAX_DESCRIPTORS);
    drop(connected);
    ask();
    let memory = peak_memory_bytes(process);
    println!("after the crowd: at most {memory} bytes of memory");
    assert!(memory <= MEMORY_BYTES, "{memory} bytes of memory");
}

#[test]
fn bodies_at_a_gateway_that_stop_one_byte_short_do_not_exhaust_memory() {
    judge(Send::AllButEnd(MAX_BODY_BYTES));
}

#[test]
fn whole_bodies_at_a_gateway_do_not_exhaust_memory() {
    judge(Send::Whole(MAX_BODY_BYTES));
}
