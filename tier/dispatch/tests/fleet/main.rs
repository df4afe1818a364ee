//! Tests of several proxies that share no state, with targets that have slots and queues, in
//! virtual time.

#[path = "../common/mod.rs"]
mod common;
mod simulation;

use plankhill_dispatch::Ms;
use simulation::{Fleet, OTHER_ZONE_LATENCY};

impl Fleet {
    fn print(&mut self) {
        let shares = [0.5, 0.9, 0.99, 0.999];
        let times: Vec<Ms> = shares
            .iter()
            .map(|share| self.percentile(*share).round())
            .collect();
        println!(
            "{} responses in {times:?} ms at {shares:?}",
            self.response_times.len()
        );
        let busiest_ratio = self.busiest_ratio();
        println!(
            "{} rejected, {} shared prefills, busiest {busiest_ratio:.2}",
            self.rejected, self.shared_prefills
        );
    }

    fn percentile(&mut self, share: f64) -> Ms {
        self.response_times.sort_by(f64::total_cmp);
        self.response_times[(share * (self.response_times.len() - 1) as f64) as usize]
    }
}

#[test]
fn services_at_six_tenths_of_their_capacity_reject_nothing_and_queue_little() {
    let mut fleet = Fleet::new(6, 11, 6, 24, 60.0);
    fleet.run(0.6 * 66.0 / 0.060, 20.0);
    fleet.print();
    assert_eq!(fleet.rejected, 0);
    // Without any queueing, the response time would be the service time and the network latency.
    let time_without_queueing = -60.0 * 0.01f64.ln() + 2.0 * OTHER_ZONE_LATENCY;
    assert!(fleet.percentile(0.99) < 1.25 * time_without_queueing);
}

#[test]
fn services_beyond_their_capacity_stay_busy() {
    let mut fleet = Fleet::new(6, 11, 6, 24, 60.0);
    let capacity = 66.0 / 0.060;
    fleet.run(1.5 * capacity, 10.0);
    fleet.print();
    assert!(fleet.response_times.len() as f64 > 0.95 * capacity * 10.0);
}

#[test]
fn shared_prefixes_are_prefilled_by_few_targets() {
    let (servers, shared_prefix_count) = (18, 6);
    for rate in [32.0, 200.0] {
        let mut fleet = Fleet::new(6, servers, 32, 96, 300.0);
        fleet.shared_prefix_count = Some(shared_prefix_count);
        fleet.run(rate, 34.0);
        fleet.print();
        assert_eq!(fleet.rejected, 0);
        assert!(fleet.shared_prefills < servers * shared_prefix_count as usize);
    }
}

/// Guards against an overload of a few targets when many proxies each see little of the load: all
/// of them would send a new prompt to the same few targets.
#[test]
fn many_proxies_with_little_traffic_each_spread_shared_prefixes_over_the_targets() {
    let (servers, shared_prefix_count) = (60, 6);
    let mut fleet = Fleet::new(77, servers, 24, 72, 300.0);
    fleet.shared_prefix_count = Some(shared_prefix_count);
    fleet.run(346.0, 20.0);
    fleet.print();
    assert_eq!(fleet.rejected, 0);
    assert!(fleet.busiest_ratio() < 1.7);
    assert!(fleet.shared_prefills < servers * shared_prefix_count as usize * 2 / 3);
}
