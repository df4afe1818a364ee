//! Keeps the machine of one subscription registered in the control state.

use std::time::Duration;

use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::ids::Incarnation;
use tokio::task::{spawn_local, JoinHandle};

use super::registration::{needs_registration, other_incarnations, registration_of};
use crate::control_log::ControlLog;
use crate::controller::Controller;

/// Timeout for committing one registration; the registration is proposed again as long as the
/// connection is open.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Proposes the registration of a subscriber whenever it is missing from the control state. Owned
/// by the subscriber's session; dropping the registrar aborts a proposal in flight.
pub(super) struct Registrar {
    subscriber: Subscriber,
    /// Other incarnations of the machine that were in the control state when it subscribed.
    former: Vec<Incarnation>,
    proposal: Option<JoinHandle<()>>,
}

impl Registrar {
    /// Creates the registrar of a subscriber that has just connected.
    pub(super) fn new<L: ControlLog>(controller: &Controller<L>, subscriber: Subscriber) -> Self {
        let former = other_incarnations(&controller.log().state().borrow().state, &subscriber);
        Registrar {
            subscriber,
            former,
            proposal: None,
        }
    }

    /// Returns the subscriber.
    pub(super) fn subscriber(&self) -> &Subscriber {
        &self.subscriber
    }

    /// Proposes the registration if it is missing from the control state and no proposal is in
    /// flight.
    pub(super) fn register_if_missing<L: ControlLog>(&mut self, controller: &Controller<L>) {
        if self
            .proposal
            .as_ref()
            .is_some_and(|proposal| !proposal.is_finished())
        {
            return;
        }
        let state = controller.log().state().borrow().state.clone();
        if !needs_registration(&state, &self.subscriber, &self.former) {
            return;
        }
        let Some(operation) = registration_of(&self.subscriber, controller.tolerated_faults())
        else {
            return;
        };
        let log = controller.log().clone();
        self.proposal = Some(spawn_local(async move {
            if let Err(error) = log.propose(operation, REGISTRATION_TIMEOUT).await {
                tracing::debug!(%error, "registration not committed");
            }
        }));
    }
}

impl Drop for Registrar {
    fn drop(&mut self) {
        if let Some(proposal) = &self.proposal {
            proposal.abort();
        }
    }
}
