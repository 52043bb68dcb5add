//! Crowds of clients that break or exhaust limits, against the programs: each process lives, stays within its memory and
//! descriptors, and answers an ordinary request while the crowd is connected and afterwards.

#![allow(clippy::unwrap_used)]

mod crowd;
mod gateway;
#[allow(dead_code)]
#[path = "../process/harness/mod.rs"]
mod harness;
mod process;
mod stand_ins;

use crowd::{Crowd, Framing, Send};
use process::{NodeProcess, Resources};
use stand_ins::{MAX_BODY_BYTES, Platform};

/// Clients of a crowd of bodies; together they send more than the machine's memory.
const CLIENTS: usize = 100;

/// Memory and descriptors of the machine.
const MACHINE: Resources = Resources {
    memory_bytes: 64_000_000,
    descriptors: 512,
};

/// A machine whose descriptors run out first.
const FEW_DESCRIPTORS: Resources = Resources {
    descriptors: 160,
    ..MACHINE
};

/// Runs a crowd against a node and judges the node while the crowd is connected and after it has left.
fn judge(machine: Resources, crowd: &Crowd) {
    let platform = Platform::start();
    let mut node = NodeProcess::start(&platform, machine);
    let connected = crowd.send(node.address());
    node.check("beside the crowd");
    assert_eq!(node.ask_ordinary("beside"), 200);
    drop(connected);
    node.wait_until_crowd_is_gone();
    assert_eq!(node.ask_ordinary("after"), 200);
    node.check("after the crowd");
}

fn nearly_whole(framing: Framing) -> Crowd {
    Crowd {
        clients: CLIENTS,
        target: "POST /look/x",
        framing,
        send: Send::AllButEnd(MAX_BODY_BYTES),
    }
}

#[test]
fn bodies_that_stop_one_byte_short_do_not_exhaust_memory() {
    judge(
        MACHINE,
        &nearly_whole(Framing::Length {
            piece_bytes: MAX_BODY_BYTES,
        }),
    );
}

#[test]
fn bodies_in_pieces_that_stop_one_byte_short_do_not_exhaust_memory() {
    judge(MACHINE, &nearly_whole(Framing::Length { piece_bytes: 1_000 }));
}

#[test]
fn bodies_in_large_chunks_that_stop_short_do_not_exhaust_memory() {
    judge(
        MACHINE,
        &nearly_whole(Framing::Chunked {
            chunk_bytes: 256 * 1024,
        }),
    );
}

#[test]
fn bodies_in_small_chunks_that_stop_short_do_not_exhaust_memory() {
    judge(MACHINE, &nearly_whole(Framing::Chunked { chunk_bytes: 16 }));
}

#[test]
fn whole_bodies_for_engines_that_do_not_read_do_not_exhaust_memory() {
    let crowd = Crowd {
        clients: CLIENTS,
        target: "POST /deaf/x",
        framing: Framing::Length {
            piece_bytes: MAX_BODY_BYTES,
        },
        send: Send::Whole(MAX_BODY_BYTES),
    };
    judge(MACHINE, &crowd);
}

#[test]
fn large_answers_that_do_not_end_do_not_exhaust_memory() {
    let crowd = Crowd {
        clients: CLIENTS,
        target: "POST /partial/x",
        framing: Framing::Length { piece_bytes: 4 },
        send: Send::Whole(4),
    };
    judge(MACHINE, &crowd);
}

#[test]
fn events_that_do_not_end_do_not_exhaust_memory() {
    judge_until_answered("POST /endless/x");
}

#[test]
fn large_answers_do_not_exhaust_memory_until_their_deadline() {
    judge_until_answered("POST /partial/x");
}

#[test]
fn refusals_that_do_not_end_do_not_exhaust_memory() {
    judge_until_answered("POST /refusing/x");
}

/// Runs a crowd of small requests against a node, and judges the node after it has answered all of them.
fn judge_until_answered(target: &'static str) {
    let crowd = Crowd {
        clients: CLIENTS,
        target,
        framing: Framing::Length { piece_bytes: 4 },
        send: Send::Whole(4),
    };
    let platform = Platform::start();
    let mut node = NodeProcess::start(&platform, MACHINE);
    let connected = crowd.send(node.address());
    assert_eq!(node.ask_ordinary("beside"), 200);
    crowd::await_ends(connected);
    assert_eq!(node.ask_ordinary("after"), 200);
    node.check("after the crowd");
}

#[test]
fn bodies_that_announce_more_than_the_limit_are_refused() {
    let crowd = Crowd {
        clients: CLIENTS,
        target: "POST /look/x",
        framing: Framing::Length {
            piece_bytes: 64 * 1024,
        },
        send: Send::Whole(10 * MAX_BODY_BYTES),
    };
    judge(MACHINE, &crowd);
}

#[test]
fn chunked_bodies_that_exceed_the_limit_are_refused() {
    let crowd = Crowd {
        clients: CLIENTS,
        target: "POST /look/x",
        framing: Framing::Chunked {
            chunk_bytes: 64 * 1024,
        },
        send: Send::Whole(10 * MAX_BODY_BYTES),
    };
    judge(MACHINE, &crowd);
}

#[test]
fn connections_that_never_send_a_request_do_not_exhaust_descriptors() {
    let crowd = Crowd {
        clients: 2 * FEW_DESCRIPTORS.descriptors,
        target: "POST /look/x",
        framing: Framing::Length { piece_bytes: 1 },
        send: Send::PartOfHead,
    };
    judge(FEW_DESCRIPTORS, &crowd);
}

#[test]
fn bodies_of_the_largest_allowed_size_are_served() {
    let platform = Platform::start();
    let mut node = NodeProcess::start(&platform, MACHINE);
    for framing in [
        Framing::Length {
            piece_bytes: MAX_BODY_BYTES,
        },
        Framing::Length { piece_bytes: 1_000 },
        Framing::Chunked {
            chunk_bytes: 256 * 1024,
        },
        Framing::Chunked { chunk_bytes: 16 },
    ] {
        assert_eq!(
            crowd::ask(node.address(), framing, MAX_BODY_BYTES),
            200,
            "{framing:?}"
        );
    }
    node.check("after large bodies");
}
