//! Which requests are let in, and when a refused one should come back.
