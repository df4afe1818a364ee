//! The channels between the handles of a replica and the task that owns its chain member.

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::command::Command;
use crate::committed_state::{CommittedState, ReplicatedState};
use crate::peer_connections::Received;
use crate::published::Published;
use crate::status::ReplicaStatus;

/// Maximum number of queued messages from other members.
const MAX_QUEUED_MESSAGES: usize = 512;
/// Maximum number of queued commands from handles.
const MAX_QUEUED_COMMANDS: usize = 512;

/// The channel ends that the task owns.
pub(crate) struct TaskEnds<S: ReplicatedState> {
    pub(crate) inbox: mpsc::Receiver<Received>,
    pub(crate) commands: mpsc::Receiver<Command<S>>,
    pub(crate) published: Published<S>,
    /// Dropped once the storage is closed.
    pub(crate) disk_in_use: watch::Sender<()>,
}

/// The channel ends that each handle has.
#[derive(Clone)]
pub(crate) struct HandleEnds<S: ReplicatedState> {
    pub(crate) inbox: mpsc::Sender<Received>,
    pub(crate) commands: mpsc::Sender<Command<S>>,
    pub(crate) state: watch::Receiver<Arc<CommittedState<S>>>,
    pub(crate) status: watch::Receiver<ReplicaStatus>,
    pub(crate) is_current: watch::Receiver<bool>,
    /// Closed once the storage is closed.
    pub(crate) disk_in_use: watch::Receiver<()>,
}

/// Creates all channels of a replica and returns their ends.
pub(crate) fn channels<S: ReplicatedState>() -> (TaskEnds<S>, HandleEnds<S>) {
    let (inbox_sender, inbox) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (command_sender, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let (state_sender, state) = watch::channel(Arc::new(CommittedState::empty()));
    let (status_sender, status) = watch::channel(ReplicaStatus::default());
    let (is_current_sender, is_current) = watch::channel(false);
    let (disk_in_use_sender, disk_in_use) = watch::channel(());
    let task_ends = TaskEnds {
        inbox,
        commands,
        published: Published::new(state_sender, status_sender, is_current_sender),
        disk_in_use: disk_in_use_sender,
    };
    let handle_ends = HandleEnds {
        inbox: inbox_sender,
        commands: command_sender,
        state,
        status,
        is_current,
        disk_in_use,
    };
    (task_ends, handle_ends)
}
