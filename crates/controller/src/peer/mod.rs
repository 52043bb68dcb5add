//! The peer protocol over TCP: frames of [`shelfjunction_protocol::peer`] messages.

pub mod client;
mod connection;
pub mod server;
