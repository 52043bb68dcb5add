//! Typed messages: JSON bodies for callers and operators, bincode for the system's own processes.

pub mod caller;
pub mod cordons;
mod datagram_format;
pub mod duties;
pub mod frame;
pub mod node_snapshot;
pub mod node_words;
pub mod operator;
pub mod peer;
pub mod quarantine;
pub mod quarantine_messages;
pub mod rate_messages;
pub mod regions;
pub mod relay_messages;
pub mod signal_messages;
pub mod spill_messages;
pub mod stream_messages;
pub mod tenant_loan_messages;
pub mod tenant_rate_messages;
pub mod topology_messages;
pub mod usage_messages;
