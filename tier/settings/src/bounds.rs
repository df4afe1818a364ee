//! The table `[bounds]`: the time limits in the deployment's rules.

use std::time::Duration;

use serde::Deserialize;
use validator::{Validate, ValidationError};

use crate::bound_value::BoundValue;

/// Largest accepted value: one year in milliseconds.
const MAX_BOUND: f64 = 31_536_000_000.0;

/// The time limits in the deployment's rules. A missing key takes its default, which is the value
/// used by the known deployments.
///
/// All keys are validated. A key without an accessor belongs to a rule that no process implements;
/// the documentation of the deployments describes its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct Bounds {
    /// Maximum staleness of the operator's list of controllers.
    #[validate(custom(function = check_bound))]
    seed_lag_s: BoundValue,
    /// Time after a target ends before its address may be reused by another target.
    #[validate(custom(function = check_bound))]
    reuse_after_s: BoundValue,
    /// Time without a fault after which a machine is considered in contact.
    #[validate(custom(function = check_bound))]
    contact_ms: BoundValue,
    /// Time within which an operator's order must be acknowledged.
    #[validate(custom(function = check_bound))]
    ack_ms: BoundValue,
    #[validate(custom(function = check_bound))]
    catch_up_s: BoundValue,
    #[validate(custom(function = check_bound))]
    drain_ms: BoundValue,
    #[validate(custom(function = check_bound))]
    grace_s: BoundValue,
    /// Time after a request's last byte from which the request must not be lost during planned
    /// maintenance.
    #[validate(custom(function = check_bound))]
    loss_slack_ms: BoundValue,
    #[validate(custom(function = check_bound))]
    propagation_ms: BoundValue,
    /// Time after a configuration's first effect from which no machine may act on an older one.
    #[validate(custom(function = check_bound))]
    revert_slack_ms: BoundValue,
    #[validate(custom(function = check_bound))]
    max_skew_ms: BoundValue,
    /// Time within which service resumes after all machines have recovered.
    #[validate(custom(function = check_bound))]
    recover_s: BoundValue,
    /// Time within which an event in a response stream must reach the client.
    #[validate(custom(function = check_bound))]
    pass_ms: BoundValue,
    /// Used only by rules that are not in force in this tier.
    #[validate(custom(function = check_bound))]
    again_s: BoundValue,
    /// Time after the end of traffic within which a program earns its smaller value.
    #[validate(custom(function = check_bound))]
    finish_s: BoundValue,
    /// Time after which a turn that ended counts at the tokens that it delivered.
    #[validate(custom(function = check_bound))]
    settle_ms: BoundValue,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            seed_lag_s: BoundValue::new(3.0),
            reuse_after_s: BoundValue::new(2.0),
            contact_ms: BoundValue::new(3_000.0),
            ack_ms: BoundValue::new(4_000.0),
            catch_up_s: BoundValue::new(4.0),
            drain_ms: BoundValue::new(2_000.0),
            grace_s: BoundValue::new(8.0),
            loss_slack_ms: BoundValue::new(200.0),
            propagation_ms: BoundValue::new(2_000.0),
            revert_slack_ms: BoundValue::new(250.0),
            max_skew_ms: BoundValue::new(5_000.0),
            recover_s: BoundValue::new(12.0),
            pass_ms: BoundValue::new(120.0),
            again_s: BoundValue::new(0.0),
            finish_s: BoundValue::new(10.0),
            settle_ms: BoundValue::new(1_000.0),
        }
    }
}

impl Bounds {
    /// Time after a machine's recovery for which the machine still counts as lost. Default: 4 s.
    pub fn catch_up(&self) -> Duration {
        self.catch_up_s.seconds()
    }

    /// Time after the acknowledgement of `draining` for which a target still accepts requests.
    /// Default: 2000 ms.
    pub fn drain(&self) -> Duration {
        self.drain_ms.milliseconds()
    }

    /// Time between SIGTERM and SIGKILL. Default: 8 s.
    pub fn grace(&self) -> Duration {
        self.grace_s.seconds()
    }

    /// Time after a configuration's acknowledgement within which the configuration is in force on all
    /// machines. Default: 2000 ms.
    pub fn propagation(&self) -> Duration {
        self.propagation_ms.milliseconds()
    }

    /// Time added to [`Bounds::propagation`] while the core is unstable. Default: 5000 ms.
    pub fn max_skew(&self) -> Duration {
        self.max_skew_ms.milliseconds()
    }
}

fn check_bound(bound: &BoundValue) -> Result<(), ValidationError> {
    if (0.0..=MAX_BOUND).contains(&bound.value()) {
        return Ok(());
    }
    let message = "must be between 0 and 31536000000";
    Err(ValidationError::new("range").with_message(message.into()))
}
