//! Requests whose answers are passed on whole.

use std::rc::Rc;

use hyper::Response;
use plankhill_dispatch::{AttemptOutcome, AttemptResult};

use crate::answer;
use crate::body::AnswerBody;
use crate::intake::Job;
use crate::orders::{Call, Order};
use crate::process::Proxy;
use crate::whole::WholeAnswer;

/// Has the request answered. Dropping the future gives the request up.
pub async fn serve(proxy: &Rc<Proxy>, mut job: Job) -> Response<AnswerBody> {
    let mut admitted = proxy
        .admission
        .admit(job.for_dispatch(proxy.admission.next_key()));
    let mut failure: Option<WholeAnswer> = None;
    let request_id = Some(job.outgoing.request_id.clone());
    let request_id = request_id.as_ref();
    loop {
        let call = match admitted.next_order().await {
            Order::Call(call) => call,
            Order::Refuse(retry_after) => return answer::refused(retry_after, request_id),
            Order::Fail(last) => {
                return match failure {
                    Some(failure) => failure.into_response(&job.outgoing.method),
                    None => answer::failed(last, request_id),
                }
            }
        };
        let sent = proxy.clock.now();
        let outcome = whole_answer(proxy, &mut job, &call).await;
        let took = proxy.clock.now() - sent;
        match outcome {
            Ok(answer) => {
                admitted.ended(answer.ended(took));
                match answer.outcome() {
                    AttemptOutcome::Delivered => return answer.into_response(&job.outgoing.method),
                    AttemptOutcome::Error => failure = Some(answer),
                    _ => {}
                }
            }
            Err(fate) => admitted.ended(AttemptResult {
                elapsed: took,
                ..AttemptResult::from_outcome(fate)
            }),
        }
    }
}

async fn whole_answer(
    proxy: &Proxy,
    job: &mut Job,
    call: &Call,
) -> Result<WholeAnswer, AttemptOutcome> {
    let head = proxy
        .targets
        .exchange(call, &job.outgoing, job.most_connections)
        .await?;
    let deadline = proxy.clock.instant(call.deadline);
    WholeAnswer::read(head, &proxy.targets.pool, deadline, &mut job.memory).await
}
