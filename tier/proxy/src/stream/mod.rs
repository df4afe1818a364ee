//! Answers that are series of events.

mod client;
pub mod events;
mod relay;
mod run;

use std::rc::Rc;

use hyper::Response;

use crate::body::AnswerBody;
use crate::intake::Job;
use crate::process::Proxy;
use crate::turn::{Handed, Turn};

/// Has the request answered event by event. Dropping the future, or the body of its answer, gives the request
/// up.
pub async fn serve(proxy: &Rc<Proxy>, job: Job) -> Response<AnswerBody> {
    let (mut client, answer) = client::channel(proxy.life.begin_work());
    let (proxy, work) = (proxy.clone(), proxy.life.begin_work());
    tokio::task::spawn_local(async move {
        let mut job = job;
        let turn = Turn::of(
            &proxy.turns,
            &job.route,
            &job.facts,
            job.tokens_per_event,
            &job.outgoing.body,
        );
        let mut ending = run::Ending {
            turn,
            handed: Handed::default(),
            settled: false,
        };
        let gone = client.gone();
        tokio::select! {
            biased;
            () = gone => {}
            () = run::run(&proxy, &mut job, &mut client, &mut ending) => {}
        }
        if let Some(turn) = ending.turn.filter(|_| !ending.settled) {
            turn.settle(ending.handed, work);
        }
    });
    answer.head().await
}
