//! Dispatches events of the Raft groups to the tasks that they concern: the event loop, broadcasts
//! and connection quotas.

use async_channel::Sender;
use async_io::Timer;
use plankhill_raft_groups::{GroupEvent, GroupEventStream, Purpose};
use slog::error;

use crate::context::ServerContext;
use crate::messages::Input;

/// Dispatches events, and feeds the watchdog meanwhile. Returns once the event loop has ended.
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
    let watched = raft.clone();
    let _watchdog = context.executor.spawn(async move {
        loop {
            watched.feed_watchdog();
            Timer::after(interval).await;
        }
    });
    while let Some(event) = events.next().await {
        if let Some(quotas) = &context.quotas {
            quotas.on_group_event(&raft, &context.log, &event);
        }
        if let (GroupEvent::Deposed { group }, Some(_)) = (&event, &context.fanout) {
            // Only a task that leads the group recognizes it, so each task receives the event.
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

/// Whether the event loop receives the event. It does not receive events that only the control
/// group has, and ignores events of groups that it never led.
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
