//! Which candidates are compared, and the cheapest route over them.

use super::cost::Candidate;
use super::query::{Route, RouteQuery, RouteTarget};
use super::weights::RoutingWeights;
use crate::engine::Role;
use rand::{Rng, RngCore};

/// Random members of a large candidate set that are compared.
const RANDOM_CANDIDATES: usize = 2;

/// Candidates that are compared: all of a small set; of a large one two random members and the best prefix holder of
/// each role.
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
        let (mut same, rest): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|one| one.view.role() == role);
        candidates = rest;
        sample_role(&mut same, &mut sampled, random);
    }
    sampled
}

/// The cheapest route over the candidates; absent when no whole request can be served.
pub(super) fn cheapest(
    candidates: &[Candidate<'_>],
    query: &RouteQuery,
    weights: &RoutingWeights,
) -> Option<Route> {
    let whole = candidates
        .iter()
        .filter(|one| one.view.role() == Role::Mixed)
        .map(|one| (one.whole_cost(query, weights), one))
        .min_by(|left, right| left.0.total_cmp(&right.0));
    let split = cheapest_split(candidates, query, weights);
    match (whole, split) {
        (Some((whole_cost, one)), Some((split_cost, _, _))) if whole_cost <= split_cost => whole_route(one),
        (_, Some((_, prefill, decode))) => Some(Route::Split {
            prefill: target(prefill)?,
            decode: target(decode)?,
        }),
        (Some((_, one)), None) => whole_route(one),
        (None, None) => None,
    }
}

fn cheapest_split<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    query: &RouteQuery,
    weights: &RoutingWeights,
) -> Option<(f64, &'c Candidate<'a>, &'c Candidate<'a>)> {
    let mut best: Option<(f64, &Candidate<'_>, &Candidate<'_>)> = None;
    for prefill in candidates.iter().filter(|one| one.runs_prompts()) {
        let prompt_cost = prefill.prompt_cost(query, weights);
        for decode in candidates.iter().filter(|one| one.runs_outputs()) {
            if prefill.view.role() == Role::Mixed && decode.view.role() == Role::Mixed {
                continue;
            }
            let cost = prompt_cost + decode.decode_cost(prefill, query, weights);
            if best.is_none_or(|(lowest, _, _)| cost < lowest) {
                best = Some((cost, prefill, decode));
            }
        }
    }
    best
}

/// Moves the two random members and the best prefix holder of one role into the sample.
fn sample_role<'a>(
    candidates: &mut Vec<Candidate<'a>>,
    sampled: &mut Vec<Candidate<'a>>,
    random: &mut dyn RngCore,
) {
    let holder = candidates
        .iter()
        .enumerate()
        .min_by(|left, right| left.1.uncached_tokens.total_cmp(&right.1.uncached_tokens))
        .map(|(index, _)| index);
    if let Some(index) = holder {
        sampled.push(candidates.swap_remove(index));
    }
    for _ in 0..RANDOM_CANDIDATES {
        if candidates.is_empty() {
            return;
        }
        let index = random.random_range(0..candidates.len());
        sampled.push(candidates.swap_remove(index));
    }
}

fn whole_route(candidate: &Candidate<'_>) -> Option<Route> {
    Some(Route::Whole {
        engine: candidate.engine.clone(),
        address: candidate.view.address()?,
    })
}

fn target(candidate: &Candidate<'_>) -> Option<RouteTarget> {
    Some(RouteTarget {
        engine: candidate.engine.clone(),
        address: candidate.view.address()?,
    })
}
