//! Events of the Raft groups, passed to the tasks that they concern: the event loop, broadcasts and connection quotas.

use async_channel::Sender;
use async_io::Timer;
use plankhill_raft_groups::{GroupEvent, GroupEventStream, Purpose};
use slog::error;

use crate::context::ServerContext;
use crate::messages::Input;

/// Passes events on, and feeds the watchdog meanwhile. Returns once the event loop has ended.
pub async fn run(
    context: ServerContext,
    mut events: GroupEventStream,
    to_event_loop: Sender<Input>,
    to_fanout: Sender<GroupEvent>,
) {
    let Some(raft) = context.raft.clone() else {
        return;
    };
    let interval = raft.watchdog_interval();
    let fed = raft.clone();
    let _watchdog = context.executor.spawn(async move {
        loop {
            fed.feed_watchdog();
            Timer::after(interval).await;
        }
    });
    while let Some(event) = events.next().await {
        if let Some(quotas) = &context.quotas {
            quotas.on_group_event(&raft, &context.log, &event);
        }
        if let (GroupEvent::Deposed { group }, Some(_)) = (&event, &context.fanout) {
            // Which group was lost only a task that leads it knows.
            let _ = to_fanout.send(GroupEvent::Deposed { group: *group }).await;
        }
        if concerns_event_logs(&event) {
            if to_event_loop.send(Input::GroupEvent(event)).await.is_err() {
                return;
            }
        } else if context.fanout.is_some() {
            let _ = to_fanout.send(event).await;
        }
    }
    error!(context.log, "threads of the Raft groups have ended");
}

/// Events of the control group alone are not for the event loop; of groups that were never led its numbers mean
/// nothing there.
fn concerns_event_logs(event: &GroupEvent) -> bool {
    match event {
        GroupEvent::Elected { purpose, .. } => *purpose == Purpose::EventLog,
        GroupEvent::Deposed { .. }
        | GroupEvent::Committed { .. }
        | GroupEvent::Discarded { .. }
        | GroupEvent::PeerChanged { .. } => true,
        GroupEvent::Applied { .. }
        | GroupEvent::SnapshotInstalled { .. }
        | GroupEvent::ReportReceived { .. } => false,
    }
}
