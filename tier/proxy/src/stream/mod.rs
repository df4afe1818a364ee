//! Answers that are event streams, passed on event by event as they arrive.
//!
//! One task for each stream (`attempts`) sends the request to one target after another if need be;
//! `event_relay` passes the events of one target's answer on through a `client_channel`, and
//! [`events`] cuts the bytes into events.

mod attempts;
mod client_channel;
mod event_relay;
pub mod events;
mod turn_completion;

use std::rc::Rc;

use hyper::Response;

use crate::client_request::ClientRequest;
use crate::process::Proxy;
use crate::response_body::ResponseBody;
use turn_completion::TurnCompletion;

/// Has the request answered event by event. Dropping the future, or the body of its answer, cancels
/// the request.
pub async fn serve(proxy: &Rc<Proxy>, request: ClientRequest) -> Response<ResponseBody> {
    let (client, answer) = client_channel::channel(proxy.lifecycle.begin_work());
    let work = proxy.lifecycle.begin_work();
    let proxy = proxy.clone();
    tokio::task::spawn_local(async move {
        let mut request = request;
        let mut client = client;
        let mut completion = TurnCompletion::of_request(&proxy, &request);
        let client_gone = client.gone();
        tokio::select! {
            biased;
            () = client_gone => {}
            () = attempts::run(&proxy, &mut request, &mut client, &mut completion) => {}
        }
        completion.settle_in_background(work);
    });
    answer.head().await
}
