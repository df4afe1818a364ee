//! Submission of broadcasts by clients.

use plankhill_fanout::{ListName, Rejection};
use plankhill_hot_restart::{EventHeader, SubmitResponse};

use super::connection::ClientConnection;
use super::respond::Responded;
use crate::fanout::MAX_BROADCAST_BODY_BYTES;
use crate::stream::{is_closed_by_peer, Body};

impl ClientConnection {
    /// Submits a broadcast and responds once the control group's log has decided: 202 if the
    /// broadcast is accepted, 503 if it certainly never will be. A broadcast cannot be withdrawn: a
    /// client that disconnects before its response gets the result by submitting the broadcast
    /// again under its id.
    pub(super) async fn submit_broadcast(
        &mut self,
        list: ListName,
        event: EventHeader,
        body: Body,
    ) -> Responded {
        if is_closed_by_peer(&self.stream) {
            return Responded::Failed;
        }
        if body.len() > MAX_BROADCAST_BODY_BYTES {
            return self
                .respond(413, &[], "the body is too long for a broadcast")
                .await;
        }
        let config = self.context.config.clone();
        let traffic_type = config.names.traffic[event.traffic_type.0].clone();
        let submitted = match &self.context.fanout {
            Some(_) if self.context.client_gate.is_shutting_down() => Err(Rejection::Late),
            Some(fanout) if !self.over_limit => fanout.submit(list, traffic_type, event, &body),
            _ => Err(Rejection::Full),
        };
        let response = match submitted {
            Ok(response) => response
                .recv()
                .await
                .unwrap_or(SubmitResponse::Rejected(None)),
            Err(Rejection::NoSuchList) => return self.respond(404, &[], "no such list").await,
            Err(Rejection::BadId) => {
                return self
                    .respond(400, &[], "Req-Id: is missing or too long")
                    .await;
            }
            Err(Rejection::Full) => SubmitResponse::Rejected(config.decisions.max_retry_after),
            Err(Rejection::Known | Rejection::Late) => SubmitResponse::Rejected(None),
        };
        self.respond_submitted(response).await
    }
}
