//! The table `[zones]`: the zones of the system and their regions.

use std::collections::BTreeMap;

use serde::Deserialize;

/// Region of each zone, sorted by the zone's name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Zones(BTreeMap<String, String>);

impl Zones {
    /// Region of `zone`, or `None` if the zone is unknown.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.0.get(zone).map(String::as_str)
    }

    /// Names of all zones, sorted.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Names of the zones in `region`, sorted.
    pub fn in_region<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(_, of_zone)| *of_zone == region)
            .map(|(zone, _)| zone.as_str())
    }

    /// Number of zones.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the settings list no zones.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
