//! Who a caller is and what keeps tenants apart.

mod access;
mod bucket;
mod directory;
mod key_table;
pub mod rate;
pub mod rate_contacts;
pub mod rate_lending;
pub mod rate_loans;
pub mod rate_owner;
pub mod rate_reserve;
pub mod rate_succession;
mod salt;

pub use access::{AccessRefusal, ApiKey, ApiTenant, ApiTenants};
pub use bucket::TenantBucket;
pub use directory::{OperatorDirectory, TenantDirectory, may, sees};
pub use salt::CacheSecret;
