//! Proposes the singleton tasks that are due.

use std::rc::Rc;
use std::time::{Duration, Instant};

use plankhill_control::{Operation, Outcome, SingletonTask};

use super::fence::Fence;
use super::scheduler::{ScheduleInput, SingletonScheduler};
use crate::control_log::ControlLog;
use crate::controller::{Controller, PROPOSAL_TIMEOUT};

/// Interval between checks for due tasks.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(250);

/// Proposes the singleton tasks that are due while this controller is the head of the chain; never
/// returns. `heartbeat_interval` is the interval at which targets send heartbeats.
pub async fn run_singleton_tasks<L: ControlLog>(
    controller: Rc<Controller<L>>,
    heartbeat_interval: Duration,
) {
    let mut scheduler = SingletonScheduler::new(heartbeat_interval);
    let mut fence = Fence::default();
    loop {
        tokio::time::sleep(SCHEDULE_INTERVAL).await;
        let now = Instant::now();
        if let Some(since) = now.checked_sub(scheduler.liveness_retention()) {
            controller.liveness_mut().remove_before(since);
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
        propose_tasks(&controller, &mut fence, status.view, due).await;
    }
}

/// Proposes the due tasks of the head of `view` one after the other. Before each task, checks again
/// that this controller still considers itself the head of `view`, because each proposal may take
/// seconds and the process may have been suspended in between.
async fn propose_tasks<L: ControlLog>(
    controller: &Controller<L>,
    fence: &mut Fence,
    view: u64,
    due: Vec<SingletonTask>,
) {
    for task in due {
        if !fence.admits(view) || !is_head_of(controller, view) {
            return;
        }
        tracing::info!(?task, view, "singleton task proposed");
        let operation = Operation::SingletonTask { view, task };
        match controller.log().propose(operation, PROPOSAL_TIMEOUT).await {
            Ok(Outcome::Fenced) => {
                tracing::info!(view, "singleton task refused: a later head has acted");
                fence.record_rejection(view);
            }
            Ok(_) => {}
            Err(error) => {
                tracing::debug!(%error, view, "singleton task not committed");
                return;
            }
        }
    }
}

fn is_head_of<L: ControlLog>(controller: &Controller<L>, view: u64) -> bool {
    let status = controller.log().chain_status();
    status.is_head && status.view == view && controller.log().is_current()
}
