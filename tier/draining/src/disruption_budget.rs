//! Whether enough forwarders stay in service once some have drained.
//!
//! Called by the control state for each drain order, and by the rolling restart before it drains
//! another node.

use std::collections::BTreeMap;

use plankhill_protocol::ids::ZoneName;

/// A registered forwarder, as the budget counts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetMember {
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it is draining, or would be.
    pub is_draining: bool,
}

/// The bound that a drain would break.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetExceeded {
    /// The platform uses all forwarders of a zone again where under half of them report that they
    /// are ready, so that the draining ones would go on receiving clients.
    #[error("under half of zone {0} would stay in service")]
    Zone(ZoneName),
    /// A zone may drain as a whole, but half of all forwarders have to stay.
    #[error("under half of all forwarders would stay in service")]
    All,
}

/// Checks that enough forwarders stay in service: half of all, and half of each zone unless the
/// zone drains as a whole and its clients go to the nearest other one.
///
/// # Errors
/// [`BudgetExceeded`] with the first bound that does not hold: that on all forwarders, then the
/// zones in the order of their names.
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
        let drains_as_a_whole = availability.in_service == 0;
        if !drains_as_a_whole && !availability.has_half_in_service() {
            return Err(BudgetExceeded::Zone(zone.clone()));
        }
    }
    Ok(())
}

/// How many of a group of forwarders stay in service.
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
