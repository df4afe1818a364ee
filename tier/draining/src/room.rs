//! Whether enough forwarders stay in service once some have left.

use std::collections::BTreeMap;

use plankhill_protocol::ids::ZoneName;

/// A live forwarder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it is out of service, or would be.
    pub leaves: bool,
}

/// Why forwarders may not leave.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoRoom {
    /// The platform uses all forwarders of a zone again where under half of them say that they are ready, so that
    /// those that leave would go on being used.
    #[error("under half of zone {0} would stay in service")]
    Zone(ZoneName),
    /// Whole zones may leave, but half of all forwarders have to stay.
    #[error("under half of all forwarders would stay in service")]
    All,
}

/// Checks that enough stay: half of each zone, unless the whole zone leaves and its clients go to the nearest one, and
/// half of all.
///
/// # Errors
/// The first bound that would not hold.
pub fn check(members: &[Member]) -> Result<(), NoRoom> {
    let mut zones: BTreeMap<&ZoneName, Count> = BTreeMap::new();
    let mut all = Count::default();
    for member in members {
        zones.entry(&member.zone).or_default().add(member);
        all.add(member);
    }
    if !all.half_stays() {
        return Err(NoRoom::All);
    }
    let short = zones
        .iter()
        .find(|(_, count)| count.staying > 0 && !count.half_stays());
    short.map_or(Ok(()), |(zone, _)| Err(NoRoom::Zone((*zone).clone())))
}

#[derive(Default)]
struct Count {
    staying: usize,
    members: usize,
}

impl Count {
    fn add(&mut self, member: &Member) {
        self.members += 1;
        self.staying += usize::from(!member.leaves);
    }

    fn half_stays(&self) -> bool {
        self.staying * 2 >= self.members
    }
}
