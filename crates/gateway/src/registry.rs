//! Requests in flight here: their number, their state, and the way to cancel them.

use shelfjunction_core::identity::{EngineId, RequestId, TenantId, ZoneId};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::HashMap;
use std::sync::atomic::AtomicU32;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Condvar, Mutex, PoisonError};

/// One request in flight.
#[derive(Clone)]
pub(crate) struct RunningRequest {
    /// Whose it is.
    pub(crate) tenant: TenantId,
    /// Model as the caller named it.
    pub(crate) model: String,
    /// When it was admitted.
    pub(crate) since: MonotonicTime,
    /// Engine that runs it, once one was chosen.
    pub(crate) engine: Option<EngineId>,
    /// Zone of that engine.
    pub(crate) zone: Option<ZoneId>,
    /// Output tokens delivered.
    pub(crate) output_tokens: Arc<AtomicU32>,
    /// Where its course takes events.
    pub(crate) events: SyncSender<Event>,
}

/// Requests in flight, by the identifier that engines know; counts places, too.
pub(crate) struct Registry {
    limit: usize,
    places: Mutex<usize>,
    emptied: Condvar,
    running: Mutex<HashMap<RequestId, RunningRequest>>,
}

/// One place among the requests in flight, given back when dropped.
pub(crate) struct Place<'a>(&'a Registry);

impl Registry {
    /// Room for so many requests at once.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            places: Mutex::new(0),
            emptied: Condvar::new(),
            running: Mutex::new(HashMap::new()),
        }
    }

    /// Takes a place; absent when all are taken.
    pub(crate) fn take_place(&self) -> Option<Place<'_>> {
        let mut places = lock(&self.places);
        if *places >= self.limit {
            return None;
        }
        *places += 1;
        Some(Place(self))
    }

    /// Places that are taken.
    pub(crate) fn taken(&self) -> usize {
        *lock(&self.places)
    }

    /// Waits until no place is taken.
    pub(crate) fn wait_until_empty(&self) {
        let mut places = lock(&self.places);
        while *places > 0 {
            places = self.emptied.wait(places).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Adds a request.
    pub(crate) fn add(&self, request: RequestId, running: RunningRequest) {
        lock(&self.running).insert(request, running);
    }

    /// Removes a request that ended.
    pub(crate) fn remove(&self, request: &RequestId) {
        lock(&self.running).remove(request);
    }

    /// Notes where a request runs.
    pub(crate) fn placed(&self, request: &RequestId, engine: &EngineId, zone: Option<ZoneId>) {
        if let Some(running) = lock(&self.running).get_mut(request) {
            running.engine = Some(engine.clone());
            running.zone = zone;
        }
    }

    /// A request in flight.
    pub(crate) fn get(&self, request: &RequestId) -> Option<RunningRequest> {
        lock(&self.running).get(request).cloned()
    }

    /// A request in flight by the random part of its identifier.
    pub(crate) fn find_nonce(&self, nonce: &str) -> Option<(RequestId, RunningRequest)> {
        let running = lock(&self.running);
        running
            .iter()
            .find(|(request, _)| request.as_str().split('.').next() == Some(nonce))
            .map(|(request, running)| (request.clone(), running.clone()))
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut places = lock(&self.0.places);
        *places -= 1;
        if *places == 0 {
            self.0.emptied.notify_all();
        }
    }
}
