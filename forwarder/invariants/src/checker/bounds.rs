//! The tolerances and time limits of the invariants.

use crate::observation::Ms;

/// Tolerances and time limits of the invariants.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Milliseconds after a forwarder received a drain in which it may still send new requests to
    /// the target.
    pub drain_grace: Ms,
    /// Milliseconds for which a key cools down after an attempt of it was cut short.
    pub key_cooldown: Ms,
    /// Milliseconds after its resumption in which a forwarder may complete events whose deadlines
    /// passed while it was halted.
    pub resumption_grace: Ms,
    /// With replication: milliseconds after its forwarder halted in which an event may be completed
    /// late, since a successor has taken it over by then. Without replication (`None`) a halted
    /// forwarder excuses all of its pending events.
    pub takeover_timeout: Option<Ms>,
    /// The share of an overload's load that must come from forwarders that observed the outage, for
    /// the overload to be a violation.
    pub informed_share: f64,
    /// Milliseconds for which the record of an effect is retained: longer than its client may still
    /// submit the event again.
    pub effect_retention: Ms,
    /// Tolerance in milliseconds for times that were rounded when they were reported.
    pub rounding: Ms,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            drain_grace: 250.0,
            key_cooldown: 0.0,
            resumption_grace: 1000.0,
            takeover_timeout: None,
            informed_share: 2.0 / 3.0,
            effect_retention: 600_000.0,
            rounding: 0.01,
        }
    }
}
