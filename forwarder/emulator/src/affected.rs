//! The destinations and forwarders that each fault affects, and each destination's share of the
//! traffic. Determined once, from the scenario and the seed.

use plankhill_forwarder_config::scenario::{Fault, Scenario};

use crate::random::{stream, uniform, RandomStream};

pub struct Affected {
    /// By destination: its share of the traffic.
    pub weights: Vec<f64>,
    /// By destination: its group.
    pub groups: Vec<u32>,
    /// By fault: the destinations.
    pub destinations: Vec<Vec<u32>>,
    /// By fault: the forwarders.
    pub forwarders: Vec<Vec<u32>>,
}

impl Affected {
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let (weights, groups) = popularity(scenario);
        let mut rng = stream(seed, RandomStream::Affected);
        let by_use = by_use(&weights);
        let mut destinations = Vec::new();
        let mut forwarders = Vec::new();
        for fault in &scenario.faults {
            let scope = &fault.scope;
            let mut list: Vec<u32> = by_use.clone();
            if let Some(name) = &scope.group {
                list.retain(|at| {
                    scenario.destinations[groups[*at as usize] as usize].name == *name
                });
            }
            if let Some(tenant) = scope.tenant {
                list.retain(|at| *at as usize % scenario.clients.tenants == tenant);
            }
            if let Some(share) = scope.at_random {
                list.retain(|_| uniform(&mut rng) < share);
            }
            if let Some(most) = scope.first {
                list.truncate(most);
            }
            if let Some(share) = scope.share_of_traffic {
                let mut sum = 0.0;
                list.retain(|at| {
                    let wanted = sum < share;
                    sum += weights[*at as usize];
                    wanted
                });
            }
            list.sort_unstable();
            destinations.push(list);
            forwarders.push(affected_forwarders(scenario, fault, &mut || {
                uniform(&mut rng)
            }));
        }
        Affected {
            weights,
            groups,
            destinations,
            forwarders,
        }
    }
}

/// The destinations by their traffic, the most used first.
pub fn by_use(weights: &[f64]) -> Vec<u32> {
    let mut all: Vec<u32> = (0..weights.len() as u32).collect();
    all.sort_by(|a, b| {
        weights[*b as usize]
            .total_cmp(&weights[*a as usize])
            .then(a.cmp(b))
    });
    all
}

fn affected_forwarders(
    scenario: &Scenario,
    fault: &Fault,
    draw: &mut dyn FnMut() -> f64,
) -> Vec<u32> {
    let count = scenario.forwarders.count;
    let zones = &scenario.network.zones;
    let scope = &fault.scope;
    let mut list: Vec<u32> = (0..count as u32).collect();
    if let Some(zone) = &scope.zone {
        list.retain(|at| zones[*at as usize % zones.len()] == *zone);
    }
    if let Some(share) = scope.at_random {
        list.retain(|_| draw() < share);
    }
    if let Some(most) = scope.first {
        list.truncate(most);
    }
    list
}

/// Each destination's share of the traffic: groups by their shares, and within a group by a Zipf
/// distribution, the first destination being the most used.
fn popularity(scenario: &Scenario) -> (Vec<f64>, Vec<u32>) {
    let all: f64 = scenario.destinations.iter().map(|group| group.share).sum();
    let mut weights = Vec::new();
    let mut groups = Vec::new();
    for (at, group) in scenario.destinations.iter().enumerate() {
        let ranks: Vec<f64> = (1..=group.count)
            .map(|rank| rank_weight(rank, scenario.clients.zipf))
            .collect();
        let sum: f64 = ranks.iter().sum();
        weights.extend(
            ranks
                .iter()
                .map(|weight| group.share / all.max(1e-12) * weight / sum),
        );
        groups.extend(std::iter::repeat_n(at as u32, group.count));
    }
    (weights, groups)
}

fn rank_weight(rank: usize, exponent: f64) -> f64 {
    if exponent == 0.0 {
        return 1.0;
    }
    if exponent == 1.0 {
        return 1.0 / rank as f64;
    }
    libm::pow(rank as f64, -exponent)
}
