//! Weighted max-min by progressive filling, in whole connections: all levels rise together, each by its
//! weight, until one is full or nothing is left; what is less than one connection goes by largest remainder.

/// One that is filled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Vessel {
    /// Above 0; what has no weight is filled once all others are full.
    pub weight: f64,
    /// It has as many at the least.
    pub least: u32,
    /// And no more than these; not under `least`.
    pub most: u32,
    /// What rounding has owed it so far, in connections: counts where remainders are weighed.
    pub owed: f64,
}

/// The parts of `total`, and what rounding owes each from now on. Equal remainders go to the first in the
/// list, which is therefore given in an order that all agree on. If the least parts are above `total`, they are
/// what is given: the caller sees to it that they fit.
pub fn fill(total: u32, vessels: &[Vessel]) -> (Vec<u32>, Vec<f64>) {
    let exact = exact(f64::from(total), vessels);
    let mut parts: Vec<u32> = exact.iter().map(|part| (part + ROUNDING) as u32).collect();
    let remainder = |at: usize| exact[at] - f64::from(parts[at]) + vessels[at].owed;
    let mut order: Vec<usize> = (0..vessels.len())
        .filter(|at| parts[*at] < vessels[*at].most)
        .collect();
    order.sort_by(|a, b| remainder(*b).total_cmp(&remainder(*a)).then(a.cmp(b)));
    let left = total.saturating_sub(parts.iter().sum());
    for at in order.into_iter().take(left as usize) {
        parts[at] += 1;
    }
    let owes = |at: usize| (vessels[at].owed + exact[at] - f64::from(parts[at])).clamp(-1.0, 1.0);
    let owed = (0..vessels.len()).map(owes).collect();
    (parts, owed)
}

/// Sums of shares miss a whole number by far less.
const ROUNDING: f64 = 1e-7;

/// The parts before rounding: `weight` times a common level, within the bounds of each.
fn exact(total: f64, vessels: &[Vessel]) -> Vec<f64> {
    let weighed = level(total, vessels, |vessel| vessel.weight);
    let at = |vessel: &Vessel, level: f64, weight: f64| {
        (weight * level).clamp(f64::from(vessel.least), f64::from(vessel.most))
    };
    let mut parts: Vec<f64> = vessels
        .iter()
        .map(|vessel| at(vessel, weighed, vessel.weight))
        .collect();
    let spent: f64 = parts.iter().sum();
    let free = |vessel: &Vessel| vessel.weight <= 0.0;
    if spent < total && vessels.iter().any(free) {
        // Weights are above 0 in what is filled here, so that its own rest is empty.
        let rest: Vec<Vessel> = vessels
            .iter()
            .copied()
            .filter(free)
            .map(|vessel| Vessel {
                weight: 1.0,
                ..vessel
            })
            .collect();
        let held: f64 = rest.iter().map(|vessel| f64::from(vessel.least)).sum();
        let mut filled = exact(total - spent + held, &rest).into_iter();
        let places = vessels
            .iter()
            .zip(&mut parts)
            .filter(|(vessel, _)| free(vessel));
        places.for_each(|(_, part)| *part = filled.next().unwrap_or(*part));
    }
    parts
}

/// The level at which all parts together are `total`; as high as any counts if they never are.
fn level(total: f64, vessels: &[Vessel], weight: impl Fn(&Vessel) -> f64) -> f64 {
    // Where a vessel begins to rise above its least part, and where it is full.
    let mut bends: Vec<(f64, f64)> = Vec::new();
    let mut spent = 0.0;
    for vessel in vessels {
        let weight = weight(vessel);
        spent += f64::from(vessel.least);
        if weight > 0.0 && vessel.most > vessel.least {
            bends.push((f64::from(vessel.least) / weight, weight));
            bends.push((f64::from(vessel.most) / weight, -weight));
        }
    }
    bends.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.total_cmp(&a.1)));
    let (mut level, mut slope) = (0.0, 0.0);
    for (at, change) in bends {
        let risen = slope * (at - level);
        if spent + risen >= total && slope > 0.0 {
            return level + (total - spent).max(0.0) / slope;
        }
        (level, spent, slope) = (at, spent + risen, slope + change);
    }
    level
}
