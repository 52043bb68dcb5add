//! Committing, sending and settling fenced orders to engines.
