//! Checks of the `lease` block.

use super::super::diagnostic::Diagnostics;
use super::super::policy::LeaseTerms;
use super::super::tree::{LeaseKey, Located, Percent};
use super::numbers::{within, SeenKeys};

/// The default time to live, in milliseconds.
const DEFAULT_LASTS_MS: u64 = 10_000;
/// The default clock drift: 2%.
const DEFAULT_DRIFT: Percent = Percent(200);

/// The values of the keys, or the defaults.
struct LeaseKeys {
    lasts: Located<u64>,
    renew: Option<Located<u64>>,
    drift: Located<Percent>,
}

/// Checks the `lease` blocks and returns the terms of leases.
pub(in super::super) fn check_lease(
    errors: &mut Diagnostics,
    blocks: &[Located<Vec<LeaseKey>>],
) -> LeaseTerms {
    for block in blocks.iter().skip(1) {
        errors.add(
            block.position,
            "lease",
            "is given twice",
            "remove one of them",
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
        let suggestion = "renew more often, or let a lease last longer";
        errors.add(renew_key.position, "lease / renew", problem, suggestion);
    }
    let drift = keys.drift;
    if !(1..=1_000).contains(&drift.value.0) {
        let suggestion = "0.01% to 10% are allowed; 2% is far above the drift of any working clock";
        errors.add(
            drift.position,
            "lease / drift",
            format!("is {}", drift.value),
            suggestion,
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
    let mut seen = SeenKeys::default();
    for key in blocks.iter().flat_map(|block| &block.value) {
        match *key {
            LeaseKey::Lasts(ms) => {
                seen.add(errors, "lasts", ms.position, "lease");
                keys.lasts = ms;
            }
            LeaseKey::Renew(ms) => {
                seen.add(errors, "renew", ms.position, "lease");
                keys.renew = Some(ms);
            }
            LeaseKey::Drift(percent) => {
                seen.add(errors, "drift", percent.position, "lease");
                keys.drift = percent;
            }
        }
    }
    keys
}
