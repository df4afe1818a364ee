//! Proposes the singleton tasks that are due.

use std::rc::Rc;
use std::time::{Duration, Instant};

use plankhill_control::Operation;

use super::scheduler::{ScheduleInput, SingletonScheduler};
use crate::control_log::ControlLog;
use crate::controller::{Controller, PROPOSAL_TIMEOUT};

/// The time between two looks at what is due.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(250);

/// Proposes the singleton tasks that are due, for ever, whenever this controller heads the chain.
/// `heartbeat_interval` is the time between two heartbeats of a target.
pub async fn run_singleton_tasks<L: ControlLog>(
    controller: Rc<Controller<L>>,
    heartbeat_interval: Duration,
) {
    let mut scheduler = SingletonScheduler::new(heartbeat_interval);
    loop {
        tokio::time::sleep(SCHEDULE_INTERVAL).await;
        let now = Instant::now();
        if let Some(since) = now.checked_sub(scheduler.liveness_retention()) {
            controller.liveness_mut().forget_before(since);
        }
        let status = controller.log().chain_status();
        let state = controller.log().state().borrow().state.clone();
        let due = scheduler.due_tasks(&ScheduleInput {
            status: &status,
            is_current: controller.log().is_current(),
            state: &state,
            liveness: &controller.liveness(),
            now,
        });
        for task in due {
            tracing::info!(?task, view = status.view, "singleton task proposed");
            let operation = Operation::SingletonTask {
                view: status.view,
                task,
            };
            if let Err(error) = controller.log().propose(operation, PROPOSAL_TIMEOUT).await {
                tracing::debug!(%error, view = status.view, "singleton task not committed");
                break;
            }
        }
    }
}
