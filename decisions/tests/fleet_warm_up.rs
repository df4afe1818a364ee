//! A whole fleet against one destination that comes back and warms up: what all forwarders send,
//! health checks included, stays under what the configuration allows the destination at that
//! moment, with an allowance for random bursts.

mod fleet;
mod host;

use fleet::{peak_load, Responses, Traffic, COMES_BACK_AT, FAILS_AT};
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
        Traffic::MovedAt(COMES_BACK_AT - 3_000.0),
        Traffic::Restarted
    )]
    traffic: Traffic,
) {
    for seed in 0..2 {
        let peak = peak_load(fleet_size, full_rate, responses, traffic, seed);
        assert!(peak.share <= 1.0, "seed {seed}: {}", peak.description);
    }
}

/// The warm-up multiplier lets each forwarder's budget grow where its responses stay quick, and a
/// destination that responds as ever until it falls over gives no sign to stop at.
#[rstest]
fn a_fleet_stays_under_the_overload_rate_where_responses_tell_nothing_of_the_load() {
    for (fleet_size, full_rate) in [(3, 10.0), (20, 50.0), (30, 50.0)] {
        for traffic in [Traffic::Even, Traffic::Skewed, Traffic::Restarted] {
            let peak = peak_load(fleet_size, full_rate, Responses::StayQuick, traffic, 0);
            assert!(
                peak.share <= 1.0,
                "{fleet_size} forwarders, {full_rate} a second, {traffic:?}: {}",
                peak.description
            );
        }
    }
}
