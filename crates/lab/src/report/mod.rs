//! Self-contained HTML pages with plots.

pub mod page;
pub mod plot;
pub mod simulation;
