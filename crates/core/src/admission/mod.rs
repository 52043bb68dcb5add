//! Which requests are let in, in which order they start, and when a refused one should come back.
//!
//! [`controller::AdmissionController`] bounds each tenant's rate and tokens in flight, keeps a bounded queue per
//! model in which tenants share by weight and classes go by priority with aging, and refuses at once what can't
//! meet its deadline. It decides only; the gateway's threads wait.

pub mod bucket;
pub mod config;
pub mod controller;
pub mod query;
pub mod queue;
pub mod returns;

pub use config::AdmissionConfig;
pub use controller::AdmissionController;
pub use query::{
    AdmissionQuery, AdmissionTicket, AdmissionUpdate, AdmittedWork, ModelCapacity, TenantLimits,
    TicketNumber, TicketState,
};
