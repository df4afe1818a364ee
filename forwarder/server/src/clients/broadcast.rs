//! A broadcast that a client hands in.

use plankhill_fanout::{ListName, Rejection};
use plankhill_hot_restart::{Event, Verdict};

use super::client::Client;
use crate::exchange::{is_gone, Body};
use crate::fanout::LONGEST_BODY;

impl Client {
    /// Answers once the log has decided: 202 if it counts, 503 if it surely never will. It can't be taken back:
    /// a client that goes before its answer finds out by handing it in again under its id.
    pub(super) async fn broadcast(&mut self, list: ListName, event: Event, body: Body) -> bool {
        if is_gone(&self.stream) {
            return false;
        }
        if body.len() > LONGEST_BODY {
            return self
                .respond(413, &[], "the body is too long for a broadcast")
                .await;
        }
        let wait = self.common.told.decisions.max_retry_after;
        let traffic = self.common.told.names.traffic[event.traffic.0].clone();
        let posted = match &self.common.fanout {
            Some(_) if self.common.gate.has_ended() => Err(Rejection::Late),
            Some(fanout) if !self.full => fanout.post(list, traffic, event, &body),
            _ => Err(Rejection::Full),
        };
        let verdict = match posted {
            Ok(verdict) => verdict.recv().await.unwrap_or(Verdict::Refused(None)),
            Err(Rejection::NoSuchList) => return self.respond(404, &[], "no such list").await,
            Err(Rejection::BadId) => {
                return self
                    .respond(400, &[], "Req-Id: is missing or too long")
                    .await
            }
            Err(Rejection::Full) => Verdict::Refused(wait),
            Err(Rejection::Known | Rejection::Late) => Verdict::Refused(None),
        };
        self.tell(verdict).await
    }
}
