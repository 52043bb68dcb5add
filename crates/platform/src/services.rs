//! What the platform gives: tables, objects, machines and weights.

use shelfjunction_core::identity::{ModelId, WeightVersion};
use shelfjunction_core::machine::Machine;
use shelfjunction_core::table::{PlatformError, Row, RowKey, Transaction, TransactionOutcome};

/// The transactional table service.
pub trait TableService: Send + Sync {
    /// Reads one row; absent when it does not exist.
    fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError>;

    /// Reads every row whose key starts with `prefix`, sorted by key.
    fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError>;

    /// Applies checks and writes together or not at all.
    fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, PlatformError>;

    /// Newest era of the store that any of its answers has named, see [`StorePosition`](shelfjunction_core::table::StorePosition); zero
    /// where it names none. It is read without a call and never falls.
    fn era(&self) -> u64 {
        0
    }
}

/// The object store; contents are named by the caller, here by their SHA-256 in hexadecimal.
pub trait ObjectStore: Send + Sync {
    /// Stores the bytes under the name; storing the same bytes again changes nothing.
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError>;

    /// The bytes under the name; absent when nothing is stored there.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError>;
}

/// The lagging list of machines.
pub trait MachineList: Send + Sync {
    /// Every machine the platform lists.
    fn machines(&self) -> Result<Vec<Machine>, PlatformError>;
}

/// The rate-limited weight store.
pub trait WeightStore: Send + Sync {
    /// Time until a load of these weights could begin, in milliseconds; zero when it could begin now.
    fn queue_millis(&self, model: &ModelId, version: &WeightVersion) -> Result<u64, PlatformError>;
}
