//! Stand-ins, load and experiment tools.
