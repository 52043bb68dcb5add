//! Follows the store: the configuration and the list of engines, a thread each.

mod configuration;
mod contact;
mod engines;
mod row_faults;
mod table;

pub(crate) use configuration::run as configuration;
pub(crate) use contact::StoreTrouble;
pub(crate) use engines::run as engines;
pub(crate) use table::TableWatch;
