//! Proofs on the real programs: killed, frozen, stopped, cut off and raced, with what engines ran as the oracle.

#![allow(clippy::unwrap_used)]

mod cut_link;
mod frozen_holder;
mod gateway_death;
mod harness;
mod planned_stop;
mod platform_outage;
mod racing_operators;
mod tenant_rate;
mod whole_path;
