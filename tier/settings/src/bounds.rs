//! Figures of the rules.

use std::time::Duration;

use serde::Deserialize;
use validator::{Validate, ValidationError};

use crate::figure::Figure;

/// Largest figure accepted: a year in milliseconds.
const MAX_FIGURE: f64 = 31_536_000_000.0;

/// Figures of the rules; each missing one takes the default given with its accessor.
///
/// The defaults are the figures of the deployments known when this was written.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct Bounds {
    #[validate(custom(function = check_figure))]
    seed_lag_s: Figure,
    #[validate(custom(function = check_figure))]
    reuse_after_s: Figure,
    #[validate(custom(function = check_figure))]
    contact_ms: Figure,
    #[validate(custom(function = check_figure))]
    ack_ms: Figure,
    #[validate(custom(function = check_figure))]
    catch_up_s: Figure,
    #[validate(custom(function = check_figure))]
    drain_ms: Figure,
    #[validate(custom(function = check_figure))]
    grace_s: Figure,
    #[validate(custom(function = check_figure))]
    loss_slack_ms: Figure,
    #[validate(custom(function = check_figure))]
    propagation_ms: Figure,
    #[validate(custom(function = check_figure))]
    revert_slack_ms: Figure,
    #[validate(custom(function = check_figure))]
    max_skew_ms: Figure,
    #[validate(custom(function = check_figure))]
    recover_s: Figure,
    #[validate(custom(function = check_figure))]
    pass_ms: Figure,
    #[validate(custom(function = check_figure))]
    again_s: Figure,
    #[validate(custom(function = check_figure))]
    finish_s: Figure,
    #[validate(custom(function = check_figure))]
    settle_ms: Figure,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            seed_lag_s: Figure::new(3.0),
            reuse_after_s: Figure::new(2.0),
            contact_ms: Figure::new(3_000.0),
            ack_ms: Figure::new(4_000.0),
            catch_up_s: Figure::new(4.0),
            drain_ms: Figure::new(2_000.0),
            grace_s: Figure::new(8.0),
            loss_slack_ms: Figure::new(200.0),
            propagation_ms: Figure::new(2_000.0),
            revert_slack_ms: Figure::new(250.0),
            max_skew_ms: Figure::new(5_000.0),
            recover_s: Figure::new(12.0),
            pass_ms: Figure::new(120.0),
            again_s: Figure::new(0.0),
            finish_s: Figure::new(10.0),
            settle_ms: Figure::new(1_000.0),
        }
    }
}

impl Bounds {
    /// How long the operator's list of controllers may lag behind. Default: 3 s.
    pub fn seed_lag(&self) -> Duration {
        self.seed_lag_s.seconds()
    }

    /// Time after the end of a target from which its address may belong to another one. Default: 2 s.
    pub fn reuse_after(&self) -> Duration {
        self.reuse_after_s.seconds()
    }

    /// Time without trouble after which a machine counts as in touch. Default: 3000 ms.
    pub fn contact(&self) -> Duration {
        self.contact_ms.milliseconds()
    }

    /// Time within which an order of the operator must be acknowledged. Default: 4000 ms.
    pub fn acknowledgement(&self) -> Duration {
        self.ack_ms.milliseconds()
    }

    /// Time after its return for which a machine still counts as lost. Default: 4 s.
    pub fn catch_up(&self) -> Duration {
        self.catch_up_s.seconds()
    }

    /// Time after the acknowledgement of `draining` within which a target still takes requests. Default: 2000 ms.
    pub fn drain(&self) -> Duration {
        self.drain_ms.milliseconds()
    }

    /// Time between SIGTERM and SIGKILL. Default: 8 s.
    pub fn grace(&self) -> Duration {
        self.grace_s.seconds()
    }

    /// Time after a request's last byte from which it must not be lost in planned work. Default: 200 ms.
    pub fn loss_slack(&self) -> Duration {
        self.loss_slack_ms.milliseconds()
    }

    /// Time after its acknowledgement within which a configuration is in force everywhere. Default: 2000 ms.
    pub fn propagation(&self) -> Duration {
        self.propagation_ms.milliseconds()
    }

    /// Time after its first effect from which no machine may act on an older configuration. Default: 250 ms.
    pub fn revert_slack(&self) -> Duration {
        self.revert_slack_ms.milliseconds()
    }

    /// How much an unstable core stretches the bound of propagation. Default: 5000 ms.
    pub fn max_skew(&self) -> Duration {
        self.max_skew_ms.milliseconds()
    }

    /// Time after the return of all machines within which service resumes. Default: 12 s.
    pub fn recover(&self) -> Duration {
        self.recover_s.seconds()
    }

    /// Time within which an event of a stream must reach the client. Default: 120 ms.
    pub fn pass(&self) -> Duration {
        self.pass_ms.milliseconds()
    }

    /// A figure of rules that are not in force here. Default: 0 s.
    pub fn again(&self) -> Duration {
        self.again_s.seconds()
    }

    /// Time after the end of traffic within which a program earns its smaller worth. Default: 10 s.
    pub fn finish(&self) -> Duration {
        self.finish_s.seconds()
    }

    /// Time after which a turn that ended counts at what it handed out. Default: 1000 ms.
    pub fn settle(&self) -> Duration {
        self.settle_ms.milliseconds()
    }
}

fn check_figure(figure: &Figure) -> Result<(), ValidationError> {
    if (0.0..=MAX_FIGURE).contains(&figure.value()) {
        Ok(())
    } else {
        Err(ValidationError::new("range").with_message("must lie between 0 and 31536000000".into()))
    }
}
