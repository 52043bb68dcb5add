//! Dispatches of a run: the choice of an engine and the hand-over to it.

use super::gateways::Running;
use super::policy::RoutingPolicy;
use super::statistics::Ending;
use super::world::World;
use shelfjunction_core::engine::{Phase, Role};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::outcome::RefusalReason;
use shelfjunction_core::routing::{KvRouter, Route, RouteQuery, RouteTarget};
use shelfjunction_engine_model::{SequenceWork, WorkTarget};

/// Dispatches of one request before it is refused.
const MOST_TRIES: u32 = 4;

impl World<'_> {
    /// Sends a request to an engine, or ends it as refused when none takes it.
    pub(super) fn dispatch(&mut self, request: usize) {
        loop {
            let Some(flight) = self.flights[request].as_mut() else {
                return;
            };
            flight.tries += 1;
            if flight.tries > MOST_TRIES {
                return self.end_flight(request, Ending::Refused);
            }
            let sent = match self.choose(request) {
                Route::Whole { engine, .. } => self.send(request, &engine, Phase::Whole, false, None),
                Route::Split { prefill, decode } => self.send(
                    request,
                    &prefill.engine,
                    Phase::PrefillOnly,
                    false,
                    Some(decode.engine),
                ),
                Route::Nowhere(_) => return self.end_flight(request, Ending::Refused),
            };
            if sent {
                return;
            }
        }
    }

    fn choose(&mut self, request: usize) -> Route {
        let Some(flight) = &self.flights[request] else {
            return Route::Nowhere(RefusalReason::EnginesRefused);
        };
        let gateway = &mut self.gateways[flight.gateway];
        match &self.policy.routing {
            RoutingPolicy::Cost(_) => gateway.router.choose(&flight.query, self.now, &mut self.random),
            RoutingPolicy::RoundRobin => {
                gateway.turn += 1;
                let turn = gateway.turn;
                simple_route(&gateway.router, &flight.query, |candidates| {
                    candidates.get(turn % candidates.len().max(1)).cloned()
                })
            }
            RoutingPolicy::LeastLoaded => simple_route(&gateway.router, &flight.query, |candidates| {
                let load = |target: &RouteTarget| {
                    let view = gateway.router.engine(&target.engine);
                    view.map_or(u32::MAX, |view| view.load().requests_in_flight)
                };
                candidates.iter().min_by_key(|target| load(target)).cloned()
            }),
        }
    }

    /// Submits a phase of a request to an engine; whether the engine took it.
    pub(super) fn send(
        &mut self,
        request: usize,
        engine: &EngineId,
        phase: Phase,
        imported: bool,
        decode: Option<EngineId>,
    ) -> bool {
        let Some(index) = self.engines.iter().position(|known| known.id == *engine) else {
            return false;
        };
        self.advance_engine(index);
        let arrived = &self.trace.requests[request];
        let work = SequenceWork {
            prompt_tokens: arrived.prompt_tokens,
            prompt_blocks: arrived.prompt_blocks.clone(),
            output_tokens: if phase == Phase::PrefillOnly {
                0
            } else {
                arrived.output_tokens
            },
            class: arrived.class,
            phase,
            imported,
        };
        let Some(flight) = self.flights[request].as_mut() else {
            return false;
        };
        let query = match (phase, imported) {
            (Phase::PrefillOnly, _) => flight.query.prefill_query(),
            (Phase::Whole, true) => flight.query.decode_query(),
            (Phase::Whole, false) => flight.query.clone(),
        };
        let router = &mut self.gateways[flight.gateway].router;
        let ticket = router.on_dispatched(engine, &query, self.now);
        if !self.engines[index].alive {
            router.on_connection_failed(engine, &ticket, self.now);
            flight.query.excluded.push(engine.clone());
            return false;
        }
        let target = WorkTarget {
            model: &query.model,
            adapter: None,
        };
        match self.engines[index].state.submit(self.now, target, work) {
            Ok(key) => {
                self.running.insert((index, key), request);
                flight.running = Some(Running {
                    engine: index,
                    key,
                    ticket,
                    sent_at: self.now,
                    decode,
                });
                self.plan_wake(index);
                true
            }
            Err(refusal) => {
                router.on_refused(engine, &ticket, refusal.reason, self.now);
                flight.query.excluded.push(engine.clone());
                self.statistics.engine_refusals += 1;
                false
            }
        }
    }
}

/// A route for which each phase's engine is picked from all that may take it, in order of their names.
fn simple_route(
    router: &KvRouter,
    query: &RouteQuery,
    pick: impl Fn(&[RouteTarget]) -> Option<RouteTarget>,
) -> Route {
    let with_role = |serves: &dyn Fn(Role) -> bool| -> Vec<RouteTarget> {
        let engines = router.engines().filter(|(engine, view)| {
            query.allowed_zones.contains(&view.record.zone)
                && view.accepts_new_work()
                && view.serves(query)
                && !query.excluded.contains(engine)
                && serves(view.role())
        });
        let targets = engines.filter_map(|(engine, view)| {
            Some(RouteTarget {
                engine: engine.clone(),
                address: view.address()?,
            })
        });
        targets.collect()
    };
    let nowhere = Route::Nowhere(RefusalReason::EnginesRefused);
    let Some(prefill) = pick(&with_role(&|role| role != Role::Decode)) else {
        return nowhere;
    };
    let is_mixed = router
        .engine(&prefill.engine)
        .is_some_and(|view| view.role() == Role::Mixed);
    if is_mixed {
        return Route::Whole {
            engine: prefill.engine,
            address: prefill.address,
        };
    }
    match pick(&with_role(&|role| role != Role::Prefill)) {
        Some(decode) => Route::Split { prefill, decode },
        None => nowhere,
    }
}
