//! One stream from its admission to its end, over all targets that it takes.

use std::rc::Rc;

use hyper::StatusCode;
use plankhill_dispatch::{AttemptOutcome, AttemptResult, Ms};
use tokio::time::Instant;

use super::client::Client;
use super::relay::{is_stream, Passed, Relay};
use crate::admission::Admitted;
use crate::answer;
use crate::exchange::TargetHead;
use crate::intake::Job;
use crate::orders::{Call, Order};
use crate::process::Proxy;
use crate::turn::{Handed, Turn, TurnRefusal};
use crate::whole::WholeAnswer;

/// A stream may run on this long after its deadline, in milliseconds: the target ends it by itself, and its
/// last events are on their way then.
const AFTER_DEADLINE: Ms = 50.0;
/// The stores are waited for during this share of the time left: a target needs the rest.
const SHARE_FOR_BEGIN: f64 = 0.5;
/// What a client is told while the stores cannot tell, in milliseconds.
const PAUSE_FOR_STORES: Ms = 200.0;

/// What is left to be done for the turn, however the stream ends.
pub struct Ending {
    /// The turn, if the stores know of it.
    pub turn: Option<Turn>,
    /// What the client was handed.
    pub handed: Handed,
    /// Whether the stores have acknowledged the end.
    pub settled: bool,
}

/// Has the stream answered. May be dropped at any time.
pub async fn run(proxy: &Rc<Proxy>, job: &mut Job, client: &mut Client, ending: &mut Ending) {
    if let Some(turn) = &mut ending.turn {
        let now = proxy.clock.now();
        let until = now + (job.deadline - now) * SHARE_FOR_BEGIN;
        match turn.begin(proxy.clock.instant(until)).await {
            Ok(body)
                if job
                    .memory
                    .grow(body.len() - job.outgoing.body.len())
                    .is_err() =>
            {
                client.answer(answer::refused(
                    PAUSE_FOR_STORES,
                    Some(&job.outgoing.request_id),
                ));
                return;
            }
            Ok(body) => job.outgoing.body = body,
            Err(refusal) => {
                ending.settled = refusal == TurnRefusal::BudgetSpent;
                let id = Some(&job.outgoing.request_id);
                client.answer(match refusal {
                    TurnRefusal::BudgetSpent => answer::empty(StatusCode::PAYMENT_REQUIRED, id),
                    TurnRefusal::NoSuchTurn => answer::empty(StatusCode::NOT_FOUND, id),
                    TurnRefusal::Unsure => answer::refused(PAUSE_FOR_STORES, id),
                });
                return;
            }
        }
    }
    let admitted = proxy
        .admission
        .admit(job.for_dispatch(proxy.admission.next_key()));
    // Where the client takes a stream up again, nothing that it has may come a second time.
    let last_id = job.facts.last_event_id.filter(|_| job.route.resumable);
    let passed = Passed {
        last_id,
        ..Passed::default()
    };
    let mut stream = StreamRun {
        proxy,
        job,
        client,
        ending,
        passed,
        failure: None,
    };
    if stream.dispatch(admitted).await {
        stream.finish().await;
    }
}

struct StreamRun<'run> {
    proxy: &'run Rc<Proxy>,
    job: &'run mut Job,
    client: &'run mut Client,
    ending: &'run mut Ending,
    passed: Passed,
    /// The last whole failure of a target.
    failure: Option<WholeAnswer>,
}

impl StreamRun<'_> {
    /// True if a stream has come whole; otherwise the client has its answer, or the stream is to be cut.
    async fn dispatch(&mut self, mut admitted: Admitted) -> bool {
        loop {
            let call = match admitted.next_order().await {
                Order::Call(call) => call,
                Order::Refuse(retry_after) => {
                    let id = Some(&self.job.outgoing.request_id);
                    self.client.answer(answer::refused(retry_after, id));
                    return false;
                }
                Order::Fail(last) => {
                    self.fail(last);
                    return false;
                }
            };
            let sent = self.proxy.clock.now();
            let fate = match self.call(&call, sent).await {
                Ok(ended) | Err(ended) => {
                    let fate = ended.outcome;
                    admitted.ended(ended);
                    fate
                }
            };
            if fate == AttemptOutcome::Delivered {
                return self.ending.handed.whole;
            }
        }
    }

    async fn call(&mut self, call: &Call, sent: Ms) -> Result<AttemptResult, AttemptResult> {
        self.job.outgoing.last_event_id = self.passed.last_id;
        let exchange =
            self.proxy
                .targets
                .exchange(call, &self.job.outgoing, self.job.most_connections);
        let head = exchange.await;
        let took = self.proxy.clock.now() - sent;
        let ended = |fate| AttemptResult {
            elapsed: took,
            ..AttemptResult::from_outcome(fate)
        };
        let head = head.map_err(ended)?;
        if is_stream(head.status, &head.headers) && head.outcome() == AttemptOutcome::Delivered {
            self.stream(call, head).await.map_err(ended)?;
            let longest_pause = Some(self.passed.longest_pause);
            return Ok(AttemptResult {
                longest_pause,
                ..ended(AttemptOutcome::Delivered)
            });
        }
        let deadline = self.proxy.clock.instant(call.deadline);
        let answer = WholeAnswer::read(
            head,
            &self.proxy.targets.pool,
            deadline,
            &mut self.job.memory,
        )
        .await;
        let answer = answer.map_err(ended)?;
        let mut told = answer.ended(took);
        match answer.outcome() {
            AttemptOutcome::Delivered if self.client.has_begun() => {
                told.outcome = AttemptOutcome::Error
            }
            AttemptOutcome::Delivered => {
                let response = answer.into_response(&self.job.outgoing.method);
                self.client.answer(response);
            }
            AttemptOutcome::Error => self.failure = Some(answer),
            _ => {}
        }
        Ok(told)
    }

    /// Passes one target's stream on; it came whole if there is no error.
    async fn stream(&mut self, call: &Call, head: TargetHead) -> Result<(), AttemptOutcome> {
        if let Some(load) = head.load() {
            self.proxy.admission.load_seen(&call.target, load);
        }
        let TargetHead {
            status,
            headers,
            mut body,
            connection,
            ..
        } = head;
        let deadline = self.proxy.clock.instant(call.deadline + AFTER_DEADLINE);
        let mut relay = Relay {
            client: &mut *self.client,
            handed: &mut self.ending.handed,
            passed: &mut self.passed,
            memory: self
                .ending
                .turn
                .as_ref()
                .is_some_and(Turn::is_kept)
                .then_some(&mut self.job.memory),
        };
        relay.pass_on(status, &headers, &mut body, deadline).await?;
        self.proxy
            .targets
            .pool
            .put_back(connection, &headers, Instant::now());
        self.ending.handed.whole = true;
        Ok(())
    }

    /// The last target's own failure if it came whole; an answer that has begun is cut.
    fn fail(&mut self, last: AttemptOutcome) {
        let response = match self.failure.take() {
            Some(failure) => failure.into_response(&self.job.outgoing.method),
            None => answer::failed(last, Some(&self.job.outgoing.request_id)),
        };
        self.client.answer(response);
    }

    /// Ends the answer as complete: a turn that is kept only once the stores have it.
    async fn finish(&mut self) {
        let kept = self.ending.turn.as_ref().filter(|turn| turn.is_kept());
        if let Some(turn) = kept {
            let until = self.proxy.clock.instant(self.job.deadline);
            if !turn.end(&self.ending.handed, until).await {
                // It is cut, and settled by what was handed out.
                self.ending.handed.whole = false;
                return;
            }
            self.ending.settled = true;
        }
        self.client.end().await;
    }
}
