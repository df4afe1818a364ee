//! An entire fleet with one destination that recovers and warms up: the calls and health checks of
//! all forwarders stay below the rate that the destination can take at each time according to the
//! configuration, with an allowance for random bursts.

mod fleet;
mod host;

use fleet::{peak_load, Responses, Traffic, FAILS_AT, RECOVERS_AT};
use rstest::rstest;

#[rstest]
fn a_fleet_stays_under_the_overload_rate_of_a_destination_warming_up(
    #[values(3, 20, 30)] fleet_size: usize,
    #[values(10.0, 50.0)] full_rate: f64,
    #[values(Responses::SlowDown, Responses::Rejected)] responses: Responses,
    #[values(
        Traffic::Even,
        Traffic::Skewed,
        Traffic::MovedAt(FAILS_AT - 5_000.0),
        Traffic::MovedAt(RECOVERS_AT - 3_000.0),
        Traffic::Restarted
    )]
    traffic: Traffic,
) {
    for seed in 0..2 {
        let peak = peak_load(fleet_size, full_rate, responses, traffic, seed);
        assert!(peak.share <= 1.0, "seed {seed}: {}", peak.description);
    }
}

/// The warm-up multiplier increases each forwarder's budget while its responses are fast, and a
/// destination with constant response times gives no sign of its load until it is overloaded.
#[rstest]
fn a_fleet_stays_under_the_overload_rate_where_response_times_do_not_depend_on_the_load() {
    for (fleet_size, full_rate) in [(3, 10.0), (20, 50.0), (30, 50.0)] {
        for traffic in [Traffic::Even, Traffic::Skewed, Traffic::Restarted] {
            let peak = peak_load(fleet_size, full_rate, Responses::ConstantTime, traffic, 0);
            assert!(
                peak.share <= 1.0,
                "{fleet_size} forwarders, {full_rate} a second, {traffic:?}: {}",
                peak.description
            );
        }
    }
}
