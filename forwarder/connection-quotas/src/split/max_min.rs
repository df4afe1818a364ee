//! Weighted max-min fairness by progressive filling (Bertsekas and Gallager, Data Networks, section 6.5.2), in whole
//! connections: all levels rise together, each by its weight, until one is full or nothing is left. What is less than
//! one connection goes by largest remainder.

/// One that has a claim on connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// One without a weight is served once all others are full.
    pub weight: f64,
    /// It gets as many at the least.
    pub min: u32,
    /// It gets no more than these; not under `min`.
    pub max: u32,
    /// What rounding has owed it so far, in connections: counts where remainders are compared.
    pub carry: f64,
}

/// What a total is divided into. Both lists are in the order of the claims.
#[derive(Clone, Debug, PartialEq)]
pub struct MaxMinShares {
    /// In connections.
    pub shares: Vec<u32>,
    /// What rounding owes each from now on, in connections.
    pub carry: Vec<f64>,
}

/// Sums of shares miss a whole number by far less.
const ROUNDING_ERROR: f64 = 1e-7;

/// Divides `total` connections. Equal remainders go to the first in the list, which is therefore given in an order that
/// all instances agree on. Where the least shares are above `total`, they are what is given: the caller sees to it that
/// they fit.
pub fn max_min_shares(total: u32, claims: &[Claim]) -> MaxMinShares {
    let exact = exact_shares(f64::from(total), claims);
    let mut shares: Vec<u32> = exact
        .iter()
        .map(|share| (share + ROUNDING_ERROR) as u32)
        .collect();
    let remainders: Vec<f64> = (0..claims.len())
        .map(|at| exact[at] - f64::from(shares[at]) + claims[at].carry)
        .collect();
    let mut order: Vec<usize> = (0..claims.len())
        .filter(|&at| shares[at] < claims[at].max)
        .collect();
    order.sort_by(|&a, &b| remainders[b].total_cmp(&remainders[a]).then(a.cmp(&b)));
    let left = total.saturating_sub(shares.iter().sum());
    for at in order.into_iter().take(left as usize) {
        shares[at] += 1;
    }
    let carry = (0..claims.len())
        .map(|at| (claims[at].carry + exact[at] - f64::from(shares[at])).clamp(-1.0, 1.0))
        .collect();
    MaxMinShares { shares, carry }
}

/// The shares before rounding: `weight` times a common level, within the bounds of each.
fn exact_shares(total: f64, claims: &[Claim]) -> Vec<f64> {
    let level = common_level(total, claims);
    let mut shares: Vec<f64> = claims
        .iter()
        .map(|claim| (claim.weight * level).clamp(f64::from(claim.min), f64::from(claim.max)))
        .collect();
    let spent: f64 = shares.iter().sum();
    let weightless: Vec<usize> = (0..claims.len())
        .filter(|&at| claims[at].weight <= 0.0)
        .collect();
    if spent >= total || weightless.is_empty() {
        return shares;
    }
    // Weights are above 0 in what is divided here, so that it has no rest of its own.
    let rest: Vec<Claim> = weightless
        .iter()
        .map(|&at| Claim {
            weight: 1.0,
            ..claims[at]
        })
        .collect();
    let rest_min: f64 = rest.iter().map(|claim| f64::from(claim.min)).sum();
    let rest_shares = exact_shares(total - spent + rest_min, &rest);
    for (at, share) in weightless.into_iter().zip(rest_shares) {
        shares[at] = share;
    }
    shares
}

/// Where a claim's share begins to rise with the level, or stops.
struct Bend {
    level: f64,
    slope_change: f64,
}

/// The level at which all shares together are `total`; the highest that counts where they never are.
fn common_level(total: f64, claims: &[Claim]) -> f64 {
    let mut bends = Vec::new();
    let mut spent = 0.0;
    for claim in claims {
        let weight = claim.weight;
        spent += f64::from(claim.min);
        if weight > 0.0 && claim.max > claim.min {
            bends.push(Bend {
                level: f64::from(claim.min) / weight,
                slope_change: weight,
            });
            bends.push(Bend {
                level: f64::from(claim.max) / weight,
                slope_change: -weight,
            });
        }
    }
    bends.sort_by(|a, b| {
        a.level
            .total_cmp(&b.level)
            .then(b.slope_change.total_cmp(&a.slope_change))
    });
    let mut level = 0.0;
    let mut slope = 0.0;
    for bend in bends {
        let risen = slope * (bend.level - level);
        if spent + risen >= total && slope > 0.0 {
            return level + (total - spent).max(0.0) / slope;
        }
        level = bend.level;
        spent += risen;
        slope += bend.slope_change;
    }
    level
}
