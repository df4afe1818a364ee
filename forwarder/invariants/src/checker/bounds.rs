//! The tolerances of the invariants.

use crate::observation::Ms;

/// What the invariants leave open.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Milliseconds after the news of a drain in which a target may still get something new.
    pub drain_grace: Ms,
    /// Milliseconds for which a key cools down after an attempt of it was cut short.
    pub key_cooldown: Ms,
    /// Milliseconds after its resumption in which a forwarder may complete events whose deadlines
    /// passed while it was halted.
    pub resumption_grace: Ms,
    /// With replication: milliseconds after its forwarder halted in which an event may be completed
    /// late, as a successor has it by then. Without replication (`None`) a halted forwarder excuses
    /// all that it owes.
    pub takeover_within: Option<Ms>,
    /// The share of an overload that must come from forwarders that saw the outage, to be their
    /// fault.
    pub informed_share: f64,
    /// Milliseconds for which an effect is remembered: past all that its client may still submit
    /// again.
    pub effects_remembered_for: Ms,
    /// Milliseconds of slack for times that were rounded on their way.
    pub rounding: Ms,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            drain_grace: 250.0,
            key_cooldown: 0.0,
            resumption_grace: 1000.0,
            takeover_within: None,
            informed_share: 2.0 / 3.0,
            effects_remembered_for: 600_000.0,
            rounding: 0.01,
        }
    }
}
