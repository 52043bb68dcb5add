//! Rows of the list of engines that name no engine to use, each logged once.

use crate::ports::EngineRow;
use shelfjunction_core::identity::{EngineId, EngineStart};
use shelfjunction_core::routing::pool::{EngineListing, ListChange};
use std::collections::BTreeMap;

/// Fault of a row that lacks the start of an engine whose starts were told before.
const NO_START: &str = "no start is told, though one was before";

/// The rows that can't be read now, each with the fault that was logged: engines write their rows every second, and a
/// row that stays bad is worth one line.
#[derive(Default)]
pub(super) struct RowFaults {
    logged: BTreeMap<String, String>,
}

impl RowFaults {
    /// What a row says of the list; one that can't be read names no engine to use.
    pub(super) fn change_of(&mut self, row: EngineRow, listing: &EngineListing) -> ListChange {
        let fault = match row.change {
            Ok(ListChange::Listed(engine)) if lacks_start(&engine.id, listing) => {
                (engine.id.as_str().to_owned(), NO_START.to_owned())
            }
            Ok(change) => {
                self.logged.remove(change.name());
                return change;
            }
            Err(unreadable) => (unreadable.row, unreadable.fault),
        };
        self.note(fault.0.clone(), fault.1);
        ListChange::Unreadable(EngineId::new(fault.0))
    }

    /// Forgets all rows but those that a reading of the whole table has found bad.
    pub(super) fn retain(&mut self, bad: &[String]) {
        self.logged.retain(|name, _| bad.contains(name));
    }

    fn note(&mut self, name: String, fault: String) {
        if self.logged.get(&name) == Some(&fault) {
            return;
        }
        log::warn!(row = name.as_str(), fault = fault.as_str(); "row_unreadable");
        self.logged.insert(name, fault);
    }
}

fn lacks_start(engine: &EngineId, listing: &EngineListing) -> bool {
    let none = EngineStart::default();
    engine.start() == none && listing.latest_start(engine.as_str()) != none
}
