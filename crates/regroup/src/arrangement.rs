//! Decides how many groups of each model the free upstreams of each fabric domain should form.
//!
//! The members of a group come from one domain, so the sizes of the groups in a domain must fit its
//! number of upstreams. Groups that are formed one by one, each where it fits at that time, can
//! leave remainders in many domains that are too small for a large model. The groups of all domains
//! are therefore chosen together.

use std::collections::BTreeMap;

use jacinthpoint_types::{DeploymentId, FabricDomainId};

/// Largest number of compositions that are compared for one domain. Domains of tens of upstreams
/// with two or three models have a few hundred; beyond the limit, those with the most groups of the
/// earlier models are left out. The placement one by one may still contain them.
const MAX_COMPOSITIONS: usize = 2_000;
/// Maximum number of passes over all domains. Each pass lowers the cost, and few are needed.
const MAX_PASSES: usize = 8;

/// A model to be arranged.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ModelNeed {
    pub(crate) model: DeploymentId,
    /// Number of members of a group.
    pub(crate) size: usize,
    /// Largest number of groups that the model should have.
    pub(crate) target: usize,
    /// Number of groups that its demand needs. Not rounded: models are compared by it.
    pub(crate) need: f64,
    /// Number of groups that it has already.
    pub(crate) existing: usize,
}

/// Free upstreams of one domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct DomainStock {
    /// Number of free upstreams.
    pub(crate) free: usize,
    /// Number of them that can join a group of each model.
    pub(crate) usable: BTreeMap<DeploymentId, usize>,
}

/// Number of groups of each model to form in a domain, in the order of the models.
type Composition = Vec<usize>;

/// Returns the number of groups to form, by domain and model. `surplus` returns by how much the
/// holders of a model in a domain outnumber those of other models.
///
/// The groups are placed one by one first, those of the same model in the same domains if they fit:
/// the upstreams that remain in a domain after losses can then form groups with each other. Domains
/// are changed after that, or arranged anew, only if this lowers the cost, which is the sum over all
/// models of the squared ratio of need to groups. No model gets more groups than its target.
pub(crate) fn arrange(
    domains: &BTreeMap<FabricDomainId, DomainStock>,
    models: &[ModelNeed],
    surplus: impl Fn(&FabricDomainId, &DeploymentId) -> i64,
) -> BTreeMap<(FabricDomainId, DeploymentId), usize> {
    let choices: Vec<Vec<Composition>> = domains
        .values()
        .map(|stock| compositions(stock, models))
        .collect();
    let placed = improve(place_one_by_one(domains, models, surplus), &choices, models);
    let fresh = improve(vec![vec![0; models.len()]; choices.len()], &choices, models);
    let chosen = if total_cost(&fresh, models) < total_cost(&placed, models) {
        fresh
    } else {
        placed
    };
    let mut arrangement = BTreeMap::new();
    for (domain, composition) in domains.keys().zip(chosen) {
        for (model, count) in models
            .iter()
            .zip(composition)
            .filter(|(_, count)| *count > 0)
        {
            arrangement.insert((domain.clone(), model.model.clone()), count);
        }
    }
    arrangement
}

/// Replaces the composition of one domain after the other while this lowers the cost.
fn improve(
    mut chosen: Vec<Composition>,
    choices: &[Vec<Composition>],
    models: &[ModelNeed],
) -> Vec<Composition> {
    let mut counts = total_counts(&chosen, models);
    for _ in 0..MAX_PASSES {
        let mut is_improved = false;
        let has_choice = |(choices, _): &(&Vec<Composition>, &mut Composition)| choices.len() > 1;
        for (choices, current) in choices.iter().zip(&mut chosen).filter(has_choice) {
            let with = |candidate: &Composition| -> Vec<usize> {
                let replaced = counts.iter().zip(current.iter()).zip(candidate);
                replaced
                    .map(|((count, old), new)| count - old + new)
                    .collect()
            };
            let best = choices
                .iter()
                .map(|candidate| (cost(models, &with(candidate)), candidate))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((best_cost, best)) = best else {
                continue;
            };
            if best_cost < cost(models, &counts) {
                counts = with(best);
                current.clone_from(best);
                is_improved = true;
            }
        }
        if !is_improved {
            break;
        }
    }
    chosen
}

/// Returns the number of groups of each model, existing and chosen.
fn total_counts(chosen: &[Composition], models: &[ModelNeed]) -> Vec<usize> {
    let total = |(index, model): (usize, &ModelNeed)| {
        let added = chosen.iter().map(|composition| composition[index]);
        model.existing + added.sum::<usize>()
    };
    models.iter().enumerate().map(total).collect()
}

fn total_cost(chosen: &[Composition], models: &[ModelNeed]) -> f64 {
    cost(models, &total_counts(chosen, models))
}

/// Places groups one by one: the model with the lowest ratio of groups to need first, in the
/// domain with the largest surplus of its holders. Returns a composition for each domain.
fn place_one_by_one(
    domains: &BTreeMap<FabricDomainId, DomainStock>,
    models: &[ModelNeed],
    surplus: impl Fn(&FabricDomainId, &DeploymentId) -> i64,
) -> Vec<Composition> {
    let mut chosen: Vec<Composition> = vec![vec![0; models.len()]; domains.len()];
    let mut counts: Vec<usize> = models.iter().map(|model| model.existing).collect();
    // Computed once, since each group that is placed compares all domains.
    let surplus_of = |domain: &FabricDomainId| -> Vec<i64> {
        let models = models.iter();
        models.map(|model| surplus(domain, &model.model)).collect()
    };
    let surpluses: Vec<Vec<i64>> = domains.keys().map(surplus_of).collect();
    let members = |index: usize, count: usize| count * models[index].size;
    loop {
        let fill_ratio = |index: &usize| counts[*index] as f64 / models[*index].need.max(0.1);
        let mut below_target: Vec<usize> = (0..models.len())
            .filter(|index| counts[*index] < models[*index].target)
            .collect();
        below_target.sort_by(|a, b| fill_ratio(a).total_cmp(&fill_ratio(b)));
        let place = |index: &usize| {
            let model = &models[*index];
            let in_domain = |(position, stock): (usize, &DomainStock)| {
                let composition: &Composition = &chosen[position];
                let placed = |index: usize| members(index, composition[index]);
                let used: usize = (0..models.len()).map(placed).sum();
                let usable = stock.usable.get(&model.model).copied().unwrap_or(0);
                let room = (stock.free - used).min(usable.saturating_sub(placed(*index)));
                // The placed groups count as holders of their models.
                let own = 2 * placed(*index) as i64 - used as i64;
                let preference = surpluses[position][*index] + own;
                (room >= model.size.max(1)).then_some((-preference, position))
            };
            let (_, position) = domains.values().enumerate().filter_map(in_domain).min()?;
            Some((position, *index))
        };
        let Some((position, index)) = below_target.iter().find_map(place) else {
            return chosen;
        };
        chosen[position][index] += 1;
        counts[index] += 1;
    }
}

/// Returns the cost of an arrangement with these numbers of groups.
pub(crate) fn cost(models: &[ModelNeed], counts: &[usize]) -> f64 {
    let shortage = |(model, count): (&ModelNeed, &usize)| {
        // 0.5 keeps the ratio finite for a model without groups.
        let filled = (*count).min(model.target) as f64 + if *count == 0 { 0.5 } else { 0.0 };
        // Groups above the target cost a little, so that they are not formed.
        let surplus = count.saturating_sub(model.target) as f64;
        (model.need / filled.max(0.5)).powi(2) + surplus
    };
    models.iter().zip(counts).map(shortage).sum()
}

/// Returns all compositions that the free upstreams of a domain can form.
fn compositions(stock: &DomainStock, models: &[ModelNeed]) -> Vec<Composition> {
    let mut all: Vec<(usize, Composition)> = vec![(0, Vec::new())];
    for model in models {
        let usable = stock.usable.get(&model.model).copied().unwrap_or(0);
        let size = model.size.max(1);
        let mut extended = Vec::new();
        for (used, composition) in &all {
            let fitting = usable.min(stock.free - used) / size;
            for count in 0..=fitting.min(model.target) {
                let mut next = composition.clone();
                next.push(count);
                extended.push((used + count * size, next));
            }
        }
        extended.truncate(MAX_COMPOSITIONS);
        all = extended;
    }
    all.into_iter()
        .map(|(_, composition)| composition)
        .collect()
}
