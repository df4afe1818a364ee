//! A whole fleet against one destination that comes back cold: what all of it sends, pings and all, stays under
//! what the settings allow the destination at that moment, and what is put down to chance.

mod fleet;
mod host;

use fleet::*;
use rstest::rstest;

#[rstest]
fn the_ramp_holds_for_the_fleet(
    #[values(3, 20, 30)] fleet: usize,
    #[values(10.0, 50.0)] full_rate: f64,
    #[values(Answers::SlowDown, Answers::Refused)] answers: Answers,
    #[values(Traffic::Even, Traffic::Skewed, Traffic::Moved(FAILS - 5_000.0), Traffic::Moved(BACK - 3_000.0),
        Traffic::Restarted)]
    traffic: Traffic,
) {
    for seed in 0..2 {
        let (share, told) = worst(fleet, full_rate, answers, traffic, seed);
        assert!(share <= 1.0, "seed {seed}: {told}");
    }
}

/// `trust` lets each forwarder's budget grow where its answers stay quick, and a destination that answers as ever until
/// it falls gives no sign to stop at.
#[rstest]
fn the_ramp_holds_where_answers_tell_nothing_of_the_load() {
    for (fleet, full_rate) in [(3, 10.0), (20, 50.0), (30, 50.0)] {
        for traffic in [Traffic::Even, Traffic::Skewed, Traffic::Restarted] {
            let (share, told) = worst(fleet, full_rate, Answers::StayQuick, traffic, 0);
            assert!(
                share <= 1.0,
                "{fleet} forwarders, {full_rate} a second, {traffic:?}: {told}"
            );
        }
    }
}
