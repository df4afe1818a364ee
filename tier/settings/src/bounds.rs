//! The table `[bounds]`: the figures of the deployment's rules.

use std::time::Duration;

use serde::Deserialize;
use validator::{Validate, ValidationError};

use crate::bound_value::BoundValue;

/// Largest value accepted: a year in milliseconds.
const MAX_BOUND: f64 = 31_536_000_000.0;

/// The figures of the deployment's rules. Each missing key takes its default, which is the figure
/// of the deployments known when this was written.
///
/// All keys are checked. Those without an accessor are figures of rules that no process acts on;
/// the pages of the deployments say what they mean.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct Bounds {
    /// How long the operator's list of controllers may lag behind.
    #[validate(custom(function = check_bound))]
    seed_lag_s: BoundValue,
    /// Time after the end of a target from which its address may belong to another one.
    #[validate(custom(function = check_bound))]
    reuse_after_s: BoundValue,
    /// Time without a fault after which a machine counts as in touch.
    #[validate(custom(function = check_bound))]
    contact_ms: BoundValue,
    /// Time within which an order of the operator must be acknowledged.
    #[validate(custom(function = check_bound))]
    ack_ms: BoundValue,
    #[validate(custom(function = check_bound))]
    catch_up_s: BoundValue,
    #[validate(custom(function = check_bound))]
    drain_ms: BoundValue,
    #[validate(custom(function = check_bound))]
    grace_s: BoundValue,
    /// Time after a request's last byte from which the request must not be lost in planned work.
    #[validate(custom(function = check_bound))]
    loss_slack_ms: BoundValue,
    #[validate(custom(function = check_bound))]
    propagation_ms: BoundValue,
    /// Time after a configuration's first effect from which no machine may act on an older one.
    #[validate(custom(function = check_bound))]
    revert_slack_ms: BoundValue,
    #[validate(custom(function = check_bound))]
    max_skew_ms: BoundValue,
    /// Time after the return of all machines within which service resumes.
    #[validate(custom(function = check_bound))]
    recover_s: BoundValue,
    /// Time within which an event of a stream must reach the client.
    #[validate(custom(function = check_bound))]
    pass_ms: BoundValue,
    /// A figure of rules that are not in force here.
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
    /// Time after its return for which a machine still counts as lost. Default: 4 s.
    pub fn catch_up(&self) -> Duration {
        self.catch_up_s.seconds()
    }

    /// Time after the acknowledgement of `draining` within which a target still takes requests.
    /// Default: 2000 ms.
    pub fn drain(&self) -> Duration {
        self.drain_ms.milliseconds()
    }

    /// Time between SIGTERM and SIGKILL. Default: 8 s.
    pub fn grace(&self) -> Duration {
        self.grace_s.seconds()
    }

    /// Time after its acknowledgement within which a configuration is in force everywhere. Default:
    /// 2000 ms.
    pub fn propagation(&self) -> Duration {
        self.propagation_ms.milliseconds()
    }

    /// How much an unstable core stretches the bound of propagation. Default: 5000 ms.
    pub fn max_skew(&self) -> Duration {
        self.max_skew_ms.milliseconds()
    }
}

fn check_bound(bound: &BoundValue) -> Result<(), ValidationError> {
    if (0.0..=MAX_BOUND).contains(&bound.value()) {
        return Ok(());
    }
    let message = "must lie between 0 and 31536000000";
    Err(ValidationError::new("range").with_message(message.into()))
}
