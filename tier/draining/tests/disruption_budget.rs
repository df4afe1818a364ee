//! Tests of the disruption budget: a zone keeps at least half of its forwarders or drains
//! completely, and at least half of all forwarders stay in service.

use arbtest::arbtest;
use plankhill_draining::disruption_budget::{
    check_disruption_budget, BudgetExceeded, BudgetMember,
};
use plankhill_protocol::ids::ZoneName;

fn members(zones: &[(&str, usize, usize)]) -> Vec<BudgetMember> {
    let zone_members = |(zone, all, draining): &(&str, usize, usize)| {
        let (zone, draining) = (ZoneName::from(*zone), *draining);
        (0..*all)
            .map(move |at| BudgetMember {
                zone: zone.clone(),
                is_draining: at < draining,
            })
            .collect::<Vec<_>>()
    };
    zones.iter().flat_map(zone_members).collect()
}

#[test]
fn one_of_two_in_a_zone_may_drain() {
    assert_eq!(
        check_disruption_budget(&members(&[("a", 2, 1), ("b", 2, 0), ("c", 2, 0)])),
        Ok(())
    );
}

#[test]
fn more_than_half_of_a_zone_may_not_drain_but_the_complete_zone_may() {
    let rejected = check_disruption_budget(&members(&[("a", 5, 3), ("b", 5, 0), ("c", 5, 0)]));
    assert_eq!(rejected, Err(BudgetExceeded::Zone(ZoneName::from("a"))));
    assert_eq!(
        check_disruption_budget(&members(&[("a", 5, 5), ("b", 5, 0), ("c", 5, 0)])),
        Ok(())
    );
}

#[test]
fn more_than_half_of_all_forwarders_may_not_drain() {
    assert_eq!(
        check_disruption_budget(&members(&[("a", 4, 4), ("b", 4, 4), ("c", 4, 0)])),
        Err(BudgetExceeded::All)
    );
    assert_eq!(
        check_disruption_budget(&members(&[("a", 1, 1)])),
        Err(BudgetExceeded::All)
    );
}

#[test]
fn allowed_drains_leave_half_in_service() {
    arbtest(|u| {
        let zones: [(usize, usize); 4] = [(); 4].map(|()| {
            let all = u.int_in_range(0..=6).unwrap_or(0);
            (all, u.int_in_range(0..=all).unwrap_or(0))
        });
        let names = ["a", "b", "c", "d"];
        let zones: Vec<_> = zones
            .iter()
            .zip(names)
            .map(|((all, draining), name)| (name, *all, *draining))
            .collect();
        let members = members(&zones);
        if check_disruption_budget(&members).is_ok() {
            let in_service = members.iter().filter(|member| !member.is_draining).count();
            assert!(in_service * 2 >= members.len());
            assert!(zones
                .iter()
                .all(|(_, all, draining)| draining == all || (all - draining) * 2 >= *all));
        }
        Ok(())
    })
    .budget_ms(300);
}
