//! What the rules leave open.

use crate::facts::Ms;

/// What the rules leave open.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// How long after hearing of a drain a target may still get something new.
    pub grace: Ms,
    /// How long a key rests after a send of it was cut short.
    pub key_rest: Ms,
    /// How long after its patience an event may end that a halted forwarder owed.
    pub after_halt: Ms,
    /// With copies: how long after its forwarder halted an event may end late, as an heir has it by then.
    /// Without (`None`) a forwarder that stays halted excuses all that it owes.
    pub heir_within: Option<Ms>,
    /// The share of a tipping load that must come from forwarders that saw the outage.
    pub knowing_share: f64,
    /// How long an effect that came about is remembered: past all that its client may still try.
    pub remembered: Ms,
    /// Slack for times that were rounded on their way.
    pub rounding: Ms,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            grace: 250.0,
            key_rest: 0.0,
            after_halt: 1000.0,
            heir_within: None,
            knowing_share: 2.0 / 3.0,
            remembered: 600_000.0,
            rounding: 0.01,
        }
    }
}
