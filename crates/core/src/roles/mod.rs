//! The planner that gives engines their roles.
