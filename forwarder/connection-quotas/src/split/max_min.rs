//! Weighted max-min fairness by progressive filling (Bertsekas and Gallager, Data Networks, section 6.5.2), in integer
//! numbers of connections: all shares rise together, each in proportion to its weight, until one reaches its maximum or
//! nothing is left. Fractions of a connection are rounded by the largest remainder method.

/// A claim on a share of the connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Relative weight. A claim of weight 0 is served once all others have reached their maximum.
    pub weight: f64,
    /// The minimum share.
    pub min: u32,
    /// The maximum share; at least `min`.
    pub max: u32,
    /// The accumulated rounding error in favour of this claim, in connections; added to its remainder when remainders
    /// are compared.
    pub carry: f64,
}

/// The result of dividing a total. Both lists are in the order of the claims.
#[derive(Clone, Debug, PartialEq)]
pub struct MaxMinShares {
    /// The share of each claim, in connections.
    pub shares: Vec<u32>,
    /// The accumulated rounding error of each claim after this division, in connections.
    pub carry: Vec<f64>,
}

/// Tolerance when shares are rounded down. The floating-point error of a sum of shares is far smaller.
const ROUNDING_ERROR: f64 = 1e-7;

/// Divides `total` connections. Between equal remainders the claim that is first in the list gets the connection, so
/// the list must be in the same order on all instances. If the minimum shares exceed `total`, each claim gets its
/// minimum: the caller ensures that the minimum shares fit.
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

/// The shares before rounding: `weight` times a common level, clamped to the bounds of each claim.
fn exact_shares(total: f64, claims: &[Claim]) -> Vec<f64> {
    let level = common_level(total, claims);
    let mut shares: Vec<f64> = claims
        .iter()
        .map(|claim| (claim.weight * level).clamp(f64::from(claim.min), f64::from(claim.max)))
        .collect();
    let allocated: f64 = shares.iter().sum();
    let zero_weight: Vec<usize> = (0..claims.len())
        .filter(|&at| claims[at].weight <= 0.0)
        .collect();
    if allocated >= total || zero_weight.is_empty() {
        return shares;
    }
    // The claims divided by this call have weight 1, so that it does not recurse further.
    let remaining_claims: Vec<Claim> = zero_weight
        .iter()
        .map(|&at| Claim {
            weight: 1.0,
            ..claims[at]
        })
        .collect();
    let remaining_min: f64 = remaining_claims
        .iter()
        .map(|claim| f64::from(claim.min))
        .sum();
    let remaining_shares = exact_shares(total - allocated + remaining_min, &remaining_claims);
    for (at, share) in zero_weight.into_iter().zip(remaining_shares) {
        shares[at] = share;
    }
    shares
}

/// A breakpoint of the total as a function of the level: a claim's share starts or stops rising there.
struct Breakpoint {
    level: f64,
    slope_change: f64,
}

/// The level at which the shares sum up to `total`. If they never do, the level of the last breakpoint.
fn common_level(total: f64, claims: &[Claim]) -> f64 {
    let mut breakpoints = Vec::new();
    let mut allocated = 0.0;
    for claim in claims {
        let weight = claim.weight;
        allocated += f64::from(claim.min);
        if weight > 0.0 && claim.max > claim.min {
            breakpoints.push(Breakpoint {
                level: f64::from(claim.min) / weight,
                slope_change: weight,
            });
            breakpoints.push(Breakpoint {
                level: f64::from(claim.max) / weight,
                slope_change: -weight,
            });
        }
    }
    breakpoints.sort_by(|a, b| {
        a.level
            .total_cmp(&b.level)
            .then(b.slope_change.total_cmp(&a.slope_change))
    });
    let mut level = 0.0;
    let mut slope = 0.0;
    for breakpoint in breakpoints {
        let rise = slope * (breakpoint.level - level);
        if allocated + rise >= total && slope > 0.0 {
            return level + (total - allocated).max(0.0) / slope;
        }
        level = breakpoint.level;
        allocated += rise;
        slope += breakpoint.slope_change;
    }
    level
}
