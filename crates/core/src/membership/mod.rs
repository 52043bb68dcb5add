//! Who and what is alive, joined from heartbeats and the platform's list.
//!
//! [`gossiper::Gossiper`] is the state machine of one node: ticks, datagrams, engine observations and the machine
//! list go in, datagrams come out. Facts (state that decides) travel everywhere by epidemic push with digests behind
//! it; beats (load and generation, which age) travel often in their zone and seldom beyond.

mod aged;
pub mod beat;
pub mod budget;
pub mod config;
pub mod detector;
pub mod events;
mod exchange;
pub mod gossiper;
mod machine_list;
mod merging;
pub mod observation;
pub mod peers;
mod probing;
pub mod quantity;
pub mod record;
pub mod rendezvous;
mod service_format;
pub mod spread;
pub mod store;
pub mod subject;
pub mod view;
pub mod wire;
mod writing;
