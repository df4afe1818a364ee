//! The disruption budget: a zone keeps half of its forwarders or drains as a whole, and half of all
//! forwarders stay.

use arbtest::arbtest;
use plankhill_draining::disruption_budget::{
    check_disruption_budget, BudgetExceeded, BudgetMember,
};
use plankhill_protocol::ids::ZoneName;

fn members(zones: &[(&str, usize, usize)]) -> Vec<BudgetMember> {
    let of_zone = |(zone, all, leaving): &(&str, usize, usize)| {
        let (zone, leaving) = (ZoneName::from(*zone), *leaving);
        (0..*all)
            .map(move |at| BudgetMember {
                zone: zone.clone(),
                is_draining: at < leaving,
            })
            .collect::<Vec<_>>()
    };
    zones.iter().flat_map(of_zone).collect()
}

#[test]
fn one_of_two_in_a_zone_may_drain() {
    assert_eq!(
        check_disruption_budget(&members(&[("a", 2, 1), ("b", 2, 0), ("c", 2, 0)])),
        Ok(())
    );
}

#[test]
fn more_than_half_of_a_zone_may_not_drain_but_the_whole_zone_may() {
    let refused = check_disruption_budget(&members(&[("a", 5, 3), ("b", 5, 0), ("c", 5, 0)]));
    assert_eq!(refused, Err(BudgetExceeded::Zone(ZoneName::from("a"))));
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
            .map(|((all, leaving), name)| (name, *all, *leaving))
            .collect();
        let members = members(&zones);
        if check_disruption_budget(&members).is_ok() {
            let staying = members.iter().filter(|member| !member.is_draining).count();
            assert!(staying * 2 >= members.len());
            assert!(zones
                .iter()
                .all(|(_, all, leaving)| leaving == all || (all - leaving) * 2 >= *all));
        }
        Ok(())
    })
    .budget_ms(300);
}
