//! Several proxies that share no state, before targets with slots and queues, in virtual time.

#[path = "../common/mod.rs"]
mod common;
mod world;

use plankhill_dispatch::Ms;
use world::{Fleet, OTHER_ZONE_WAY};

impl Fleet {
    fn print(&mut self) {
        let shares = [0.5, 0.9, 0.99, 0.999];
        let times: Vec<Ms> = shares
            .iter()
            .map(|share| self.percentile(*share).round())
            .collect();
        println!(
            "{} answered in {times:?} ms at {shares:?}",
            self.answered.len()
        );
        let busiest = self.busiest();
        println!(
            "{} rejected, {} shared reads, busiest {busiest:.2}",
            self.rejected, self.shared_reads
        );
    }

    fn percentile(&mut self, share: f64) -> Ms {
        self.answered.sort_by(f64::total_cmp);
        self.answered[(share * (self.answered.len() - 1) as f64) as usize]
    }
}

#[test]
fn services_at_six_tenths_of_their_capacity_reject_nothing_and_queue_little() {
    let mut fleet = Fleet::new(6, 11, 6, 24, 60.0);
    fleet.run(0.6 * 66.0 / 0.060, 20.0);
    fleet.print();
    assert_eq!(fleet.rejected, 0);
    // Without any queue the answer times would be those of the work alone.
    let work_alone = -60.0 * 0.01f64.ln() + 2.0 * OTHER_ZONE_WAY;
    assert!(fleet.percentile(0.99) < 1.25 * work_alone);
}

#[test]
fn services_beyond_their_capacity_stay_busy() {
    let mut fleet = Fleet::new(6, 11, 6, 24, 60.0);
    let capacity = 66.0 / 0.060;
    fleet.run(1.5 * capacity, 10.0);
    fleet.print();
    assert!(fleet.answered.len() as f64 > 0.95 * capacity * 10.0);
}

#[test]
fn shared_prefixes_are_prefilled_by_few_targets() {
    let (servers, subjects) = (18, 6);
    for rate in [32.0, 200.0] {
        let mut fleet = Fleet::new(6, servers, 32, 96, 300.0);
        fleet.subjects = Some(subjects);
        fleet.run(rate, 34.0);
        fleet.print();
        assert_eq!(fleet.rejected, 0);
        assert!(fleet.shared_reads < servers * subjects as usize);
    }
}

/// Guards many proxies of which each sees little of the load: all of them put a new prompt at the
/// same few targets.
#[test]
fn many_proxies_with_little_traffic_each_spread_shared_prefixes_over_the_targets() {
    let (servers, subjects) = (60, 6);
    let mut fleet = Fleet::new(77, servers, 24, 72, 300.0);
    fleet.subjects = Some(subjects);
    fleet.run(346.0, 20.0);
    fleet.print();
    assert_eq!(fleet.rejected, 0);
    assert!(fleet.busiest() < 1.7);
    assert!(fleet.shared_reads < servers * subjects as usize * 2 / 3);
}
