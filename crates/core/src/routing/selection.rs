//! Sampling of candidates and selection of the cheapest route.

use super::cost::Candidate;
use super::query::{Route, RouteQuery, RouteTarget};
use super::weights::RoutingWeights;
use crate::engine::Role;
use rand::{Rng, RngCore};

/// Number of randomly chosen candidates of each role when a large candidate set is sampled.
const RANDOM_CANDIDATES_PER_ROLE: usize = 2;

/// Selects the candidates to compare. A small set is used whole; a large one is reduced to three candidates of each role: the
/// one with the longest cached prefix and two random ones.
pub(super) fn sample<'a>(
    mut candidates: Vec<Candidate<'a>>,
    compare_all_up_to: usize,
    random: &mut dyn RngCore,
) -> Vec<Candidate<'a>> {
    if candidates.len() <= compare_all_up_to {
        return candidates;
    }
    let mut sampled = Vec::new();
    for role in [Role::Prefill, Role::Decode, Role::Mixed] {
        let (mut same_role, other_roles): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|candidate| candidate.view.role() == role);
        candidates = other_roles;
        sample_role(&mut same_role, &mut sampled, random);
    }
    sampled
}

/// Cheapest route over the candidates; `None` if they can't run both prefill and decode.
pub(super) fn cheapest(
    candidates: &[Candidate<'_>],
    query: &RouteQuery,
    weights: &RoutingWeights,
) -> Option<Route> {
    let single = candidates
        .iter()
        .filter(|candidate| candidate.view.role() == Role::Mixed)
        .map(|candidate| (candidate.single_engine_cost(query, weights), candidate))
        .min_by(|left, right| left.0.total_cmp(&right.0));
    let split = cheapest_split(candidates, query, weights);
    match (single, split) {
        (Some((single_engine_cost, candidate)), Some((split_cost, _, _)))
            if single_engine_cost <= split_cost =>
        {
            single_route(candidate)
        }
        (_, Some((_, prefill, decode))) => Some(Route::Split {
            prefill: route_target(prefill)?,
            decode: route_target(decode)?,
        }),
        (Some((_, candidate)), None) => single_route(candidate),
        (None, None) => None,
    }
}

fn cheapest_split<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    query: &RouteQuery,
    weights: &RoutingWeights,
) -> Option<(f64, &'c Candidate<'a>, &'c Candidate<'a>)> {
    let mut best: Option<(f64, &Candidate<'_>, &Candidate<'_>)> = None;
    for prefill in candidates.iter().filter(|candidate| candidate.runs_prefill()) {
        let prefill_cost = prefill.prefill_cost(query, weights);
        for decode in candidates.iter().filter(|candidate| candidate.runs_decode()) {
            if prefill.view.role() == Role::Mixed && decode.view.role() == Role::Mixed {
                continue;
            }
            let cost = prefill_cost + decode.decode_cost(prefill, query, weights);
            if best.is_none_or(|(lowest, _, _)| cost < lowest) {
                best = Some((cost, prefill, decode));
            }
        }
    }
    best
}

/// Moves the candidate with the longest cached prefix and two random candidates into the sample.
fn sample_role<'a>(
    candidates: &mut Vec<Candidate<'a>>,
    sampled: &mut Vec<Candidate<'a>>,
    random: &mut dyn RngCore,
) {
    let best_cached = candidates
        .iter()
        .enumerate()
        .min_by(|left, right| left.1.uncached_tokens.total_cmp(&right.1.uncached_tokens))
        .map(|(index, _)| index);
    if let Some(index) = best_cached {
        sampled.push(candidates.swap_remove(index));
    }
    for _ in 0..RANDOM_CANDIDATES_PER_ROLE {
        if candidates.is_empty() {
            return;
        }
        let index = random.random_range(0..candidates.len());
        sampled.push(candidates.swap_remove(index));
    }
}

fn single_route(candidate: &Candidate<'_>) -> Option<Route> {
    Some(Route::Whole {
        engine: candidate.engine.clone(),
        address: candidate.view.address()?,
    })
}

fn route_target(candidate: &Candidate<'_>) -> Option<RouteTarget> {
    Some(RouteTarget {
        engine: candidate.engine.clone(),
        address: candidate.view.address()?,
    })
}
