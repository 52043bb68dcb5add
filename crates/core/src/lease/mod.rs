//! The lease that makes one controller of a zone the one that orders its engines.
