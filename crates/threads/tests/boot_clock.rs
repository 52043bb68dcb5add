//! The process's clock is the one that goes on while the machine is suspended.
//!
//! No test can suspend the machine. Here that clock is read beside the product's; a lint forbids the other one
//! (`clippy.toml`).

use rustix::time::{ClockId, clock_gettime};
use shelfjunction_threads::{BootInstant, SuspensionWatch};
use std::time::Duration;

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

#[test]
fn ages_are_those_of_the_clock_that_counts_suspensions() {
    let before_origin = boot_time();
    let origin = BootInstant::now();
    let after_origin = boot_time();
    let before_read = boot_time();
    let read = BootInstant::now();
    let after_read = boot_time();
    let age = read.since(origin);
    assert!(age >= before_read - after_origin, "{age:?}");
    assert!(age <= after_read - before_origin, "{age:?}");
    assert!(origin <= read);
}

#[test]
fn instants_never_go_below_zero() {
    let now = BootInstant::now();
    assert_eq!(now.since(now + Duration::from_secs(1)), Duration::ZERO);
    assert_eq!((now + Duration::from_secs(1)).since(now), Duration::from_secs(1));
}

#[test]
fn a_machine_that_was_not_suspended_is_not_said_to_have_been() {
    let mut watch = SuspensionWatch::start();
    assert!((0..1_000).all(|_| watch.look().is_zero()));
}
