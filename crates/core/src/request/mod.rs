//! The course of one request from admission to its final outcome.
