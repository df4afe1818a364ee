//! Disruption budget: checks that enough forwarders stay in service when some of them drain.
//!
//! Called by the control state for each drain order, and by the rolling restart before it drains
//! another node.

use std::collections::BTreeMap;

use plankhill_protocol::ids::ZoneName;

/// A registered forwarder that counts towards the budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetMember {
    /// The forwarder's zone.
    pub zone: ZoneName,
    /// Whether the forwarder is draining, or would be draining under the order that is checked.
    pub is_draining: bool,
}

/// The bound that a drain would violate.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetExceeded {
    /// When fewer than half of a zone's forwarders report ready, the platform routes clients to all
    /// of them again, so that the draining ones would continue to receive clients.
    #[error("under half of zone {0} would stay in service")]
    Zone(ZoneName),
    /// A zone may drain completely, but at least half of all forwarders have to stay in service.
    #[error("under half of all forwarders would stay in service")]
    All,
}

/// Checks that enough forwarders stay in service: at least half of all forwarders, and at least
/// half of each zone unless the zone drains completely and its clients are routed to the nearest
/// other zone.
///
/// # Errors
/// Returns [`BudgetExceeded`] for the first violated bound: the bound on all forwarders is checked
/// first, then those on the zones in the order of their names.
pub fn check_disruption_budget(members: &[BudgetMember]) -> Result<(), BudgetExceeded> {
    let mut zones: BTreeMap<&ZoneName, Availability> = BTreeMap::new();
    let mut all = Availability::default();
    for member in members {
        zones.entry(&member.zone).or_default().add(member);
        all.add(member);
    }
    if !all.has_half_in_service() {
        return Err(BudgetExceeded::All);
    }
    for (zone, availability) in zones {
        let drains_completely = availability.in_service == 0;
        if !drains_completely && !availability.has_half_in_service() {
            return Err(BudgetExceeded::Zone(zone.clone()));
        }
    }
    Ok(())
}

/// The size of a group of forwarders, and how many of them stay in service.
#[derive(Default)]
struct Availability {
    in_service: usize,
    total: usize,
}

impl Availability {
    fn add(&mut self, member: &BudgetMember) {
        self.total += 1;
        if !member.is_draining {
            self.in_service += 1;
        }
    }

    fn has_half_in_service(&self) -> bool {
        self.in_service * 2 >= self.total
    }
}
