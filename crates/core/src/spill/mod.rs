//! Spillover: requests that their home region can't serve in time are served by another region with spare capacity.
//!
//! The load case: one region has more demand, or fewer engines, than it can serve in time, while another has room. Each request asks
//! its home placer first; only if that verdict is late, refused or without an engine does its node ask other regions
//! ([`asking`]). Traffic therefore returns home without further action. A placer of another region accepts the request or declines
//! it ([`accepting`]), from the load that it knows now. A request is handed on once: only the node that received it asks, and a
//! placer answers from its own engines.
//!
//! ```text
//! asked      if target left > 2 * round trip to the region   (the question and the dispatch; a region that was not measured yet is asked)
//!            and the region, for this kind of request, is in no backoff
//! order      nearest first; regions whose round trip exceeds the least by at most max(5 ms, a quarter) are ordered by the
//!            rendezvous hash of the request's shared prefix, so that requests with the same prefix meet the same engines
//! accepted   if in time: the placer's admission verdict for target left - 2 * round trip is in time, on engines that are not
//!            avoided; the asking node subtracts the round trip of the question, the placer that of the dispatch
//!            and now - last request of the own region that was late or refused >= calm
//!            and accepted prefill < share * (free prefill + accepted prefill) / placers of the region
//!            and accepted outputs < share * (free slots + accepted outputs) / placers of the region
//! free prefill = sum over prefill engines of max(0, queue limit + round trip - prefill time placed there and not finished)
//! backoff    = min(backoff told, or the first one if there was no answer, * 2^(failures in a row - 1), bound); at most 4 times
//!              the backoff told
//! ```
//!
//! The bounds on work in progress limit the queueing time that accepted requests add to the region's own requests to
//! `share * queue limit`, whatever the rate at which other regions ask. The round trip is added because an accepted prompt counts
//! while it is under way and occupies no engine yet. Two regions that both lack capacity are neither calm nor have
//! free capacity, so they decline each other.

pub mod accepting;
pub mod asking;
pub mod config;
pub mod question;
pub mod serving;
