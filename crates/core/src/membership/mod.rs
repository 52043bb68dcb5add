//! Who and what is alive, joined from heartbeats and the platform's list.

pub mod record;
