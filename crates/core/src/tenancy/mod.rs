//! Who a caller is and what keeps tenants apart.

mod bucket;
mod directory;
mod salt;

pub use bucket::TenantBucket;
pub use directory::{OperatorDirectory, TenantDirectory, may, sees};
pub use salt::CacheSecret;
