//! The account: what finds room, what waits, and what gives way.

#![allow(clippy::unwrap_used)]

use shelfjunction_buffers::{BufferAccount, Shortage};
use shelfjunction_core::buffering::BufferLimits;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

const LARGE: usize = 1_000_000;

fn account(max_wait: Duration) -> Arc<BufferAccount> {
    BufferAccount::new(BufferLimits {
        capacity: 4 * LARGE,
        large: 3 * LARGE,
        max_wait,
    })
}

/// Adds bytes; they come in pieces, as from a socket.
fn whole(account: &Arc<BufferAccount>, length: usize) -> Result<shelfjunction_buffers::HeldBytes, Shortage> {
    let mut body = account.receive(|| {});
    for start in (0..length).step_by(10_000) {
        body.add(&mut vec![b'x'; 10_000.min(length - start)])?;
    }
    body.finish()
}

#[test]
fn a_request_larger_than_the_limit_is_taken_if_no_other_is_held() {
    let account = account(Duration::ZERO);
    let large = whole(&account, 5 * LARGE).unwrap();
    assert_eq!(large.len(), 5 * LARGE);
    assert_eq!(whole(&account, LARGE).err(), Some(Shortage::Full));
    drop(large);
    assert_eq!(account.figures().held.total(), 0);
    assert_eq!(whole(&account, LARGE).unwrap().len(), LARGE);
}

#[test]
fn small_requests_find_room_beside_large_ones() {
    let account = account(Duration::ZERO);
    let held: Vec<_> = (0..2).map(|_| whole(&account, LARGE).unwrap()).collect();
    assert_eq!(whole(&account, LARGE).err(), Some(Shortage::Full));
    assert_eq!(whole(&account, 1_000).unwrap().len(), 1_000);
    drop(held);
}

#[test]
fn a_request_that_waits_is_taken_when_another_ends() {
    let account = account(Duration::from_secs(60));
    let held: Vec<_> = (0..2).map(|_| whole(&account, LARGE).unwrap()).collect();
    let waiting = thread::spawn({
        let account = Arc::clone(&account);
        move || whole(&account, LARGE).unwrap().len()
    });
    drop(held);
    assert_eq!(waiting.join().unwrap(), LARGE);
}

#[test]
fn an_unfinished_request_gives_way_and_is_never_taken_for_whole() {
    let account = account(Duration::from_secs(60));
    let interrupted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&interrupted);
    let mut silent = account.receive(move || {
        count.fetch_add(1, Ordering::SeqCst);
    });
    silent.announce(2 * LARGE).unwrap();
    let other = thread::spawn({
        let account = Arc::clone(&account);
        move || whole(&account, 2 * LARGE).unwrap().len()
    });
    // Nothing comes of it until it has given way.
    while !silent.is_dropped() {
        thread::yield_now();
    }
    assert_eq!(interrupted.load(Ordering::SeqCst), 1);
    assert_eq!(silent.add(&mut vec![b'x'; 2 * LARGE]), Err(Shortage::Dropped));
    assert_eq!(silent.finish().err(), Some(Shortage::Dropped));
    assert_eq!(other.join().unwrap(), 2 * LARGE);
    assert_eq!(account.figures().dropped, 1);
}

#[test]
fn a_body_is_the_same_in_whatever_pieces_it_comes() {
    let account = account(Duration::ZERO);
    let bytes: Vec<u8> = (0..300_000_u32).map(|number| number as u8).collect();
    for piece in [1_000, 16_384, 65_536, 300_000] {
        let mut body = account.receive(|| {});
        for part in bytes.chunks(piece) {
            body.add(&mut part.to_vec()).unwrap();
        }
        let body = body.finish().unwrap();
        assert!(body.pieces().flatten().eq(bytes.iter()), "pieces of {piece}");
        let mut position = 0;
        while !body.piece_from(position).is_empty() {
            let part = body.piece_from(position);
            assert!(bytes[position..].starts_with(part));
            position += part.len();
        }
        assert_eq!(position, bytes.len());
    }
}
