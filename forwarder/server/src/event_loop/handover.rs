//! Handover to a successor process (hot restart): the loop pauses and passes on a snapshot of its
//! state, and then resumes, relays or ends. `hot_restart::predecessor` requests the handover. The
//! loop keeps its state until the successor makes decisions.

use std::time::Instant;

use async_channel::{Receiver, Sender};
use plankhill_hot_restart::Message;
use slog::error;

use super::EventLoop;
use crate::hot_restart::relay::Relay;
use crate::hot_restart::transfer::Outgoing;
use crate::messages::{HandoverOutcome, HandoverRequest, HandoverSnapshot};

impl EventLoop {
    /// Passes on the state and makes no decisions until the handover has succeeded or failed.
    pub(super) async fn pause_for_handover(&self, request: HandoverRequest) -> HandoverOutcome {
        let paused_since = Instant::now();
        let log_length = self.host.log_file_length();
        let state = match self.host.process_state(&self.scheduler) {
            Ok(state) => state,
            Err(error) => {
                error!(self.host.logger(), "state cannot be handed over"; "error" => %error);
                return HandoverOutcome::Resume;
            }
        };
        let snapshot = HandoverSnapshot {
            state,
            log_length,
            paused_since,
        };
        let _ = request.snapshot.try_send(snapshot);
        drop(request.snapshot);
        request
            .outcome
            .recv()
            .await
            .unwrap_or(HandoverOutcome::Resume)
    }

    /// Converts the loop into a relay. Log, bodies and scheduler are dropped: the successor owns
    /// them now.
    pub(super) fn into_relay(
        self,
        to_successor: Sender<Outgoing>,
        from_successor: Receiver<Message>,
    ) -> Relay {
        self.host.into_relay(to_successor, from_successor)
    }
}
