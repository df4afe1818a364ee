//! The `lease` block.

use super::super::diagnostic::Diagnostics;
use super::super::policy::LeaseTerms;
use super::super::tree::{LeaseKey, Located, Percent};
use super::numbers::{within, GivenKeys};

/// Where the policy says nothing, in milliseconds.
const DEFAULT_LASTS_MS: u64 = 10_000;
/// Where the policy says nothing: 2%.
const DEFAULT_DRIFT: Percent = Percent(200);

/// What the keys say, or the defaults.
struct LeaseKeys {
    lasts: Located<u64>,
    renew: Option<Located<u64>>,
    drift: Located<Percent>,
}

/// The terms of leases.
pub(in super::super) fn check_lease(
    errors: &mut Diagnostics,
    blocks: &[Located<Vec<LeaseKey>>],
) -> LeaseTerms {
    for block in blocks.iter().skip(1) {
        errors.add(
            block.position,
            "lease",
            "is told twice",
            "leave one of them out",
        );
    }
    let keys = read_keys(errors, blocks);
    let lasts = within(errors, "lease / lasts", keys.lasts, 1_000, 600_000);
    let default_renew = Located {
        value: u64::from(lasts) / 10,
        position: keys.lasts.position,
    };
    let renew_key = keys.renew.unwrap_or(default_renew);
    let renew = within(errors, "lease / renew", renew_key, 100, 200_000);
    if u64::from(renew) * 3 > u64::from(lasts) {
        let problem = format!("{renew}ms is over a third of the lease's {lasts}ms");
        let way_out = "renew more often, or let a lease last longer";
        errors.add(renew_key.position, "lease / renew", problem, way_out);
    }
    let drift = keys.drift;
    if !(1..=1_000).contains(&drift.value.0) {
        let way_out = "0.01% to 10% are allowed; 2% is far above any clock that works";
        errors.add(
            drift.position,
            "lease / drift",
            format!("is {}", drift.value),
            way_out,
        );
    }
    LeaseTerms {
        lasts: f64::from(lasts),
        renew: f64::from(renew),
        drift: drift.value.0.clamp(1, 1_000) as f64 / 10_000.0,
    }
}

fn read_keys(errors: &mut Diagnostics, blocks: &[Located<Vec<LeaseKey>>]) -> LeaseKeys {
    let mut keys = LeaseKeys {
        lasts: Located::from(DEFAULT_LASTS_MS),
        renew: None,
        drift: Located::from(DEFAULT_DRIFT),
    };
    let mut given = GivenKeys::default();
    for key in blocks.iter().flat_map(|block| &block.value) {
        match *key {
            LeaseKey::Lasts(ms) => {
                given.add(errors, "lasts", ms.position, "lease");
                keys.lasts = ms;
            }
            LeaseKey::Renew(ms) => {
                given.add(errors, "renew", ms.position, "lease");
                keys.renew = Some(ms);
            }
            LeaseKey::Drift(percent) => {
                given.add(errors, "drift", percent.position, "lease");
                keys.drift = percent;
            }
        }
    }
    keys
}
