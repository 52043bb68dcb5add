//! Settings files: TOML, checked whole before anything starts, with flags that go before them.

mod document;
mod node;
mod secrets;

pub use document::{Override, check_document};
pub use node::{NodeSettings, ProgramSettings, load};
pub use secrets::{read_root_keys, read_secret_text};
