//! Responses that are event streams, forwarded event by event as they arrive.
//!
//! One task for each stream (`attempts`) sends the request to one target after another if
//! necessary; `event_relay` forwards the events of one target's response through a
//! `client_channel`, and [`events`] splits the bytes into events. If the turn is retained,
//! `turn_completion` stores it at the end, and `checkpoints` stores the events of a stream that can be
//! resumed as they are forwarded.

mod attempts;
mod checkpoints;
mod client_channel;
mod event_relay;
pub mod events;
pub mod stream_key;
mod turn_completion;

use std::rc::Rc;

use hyper::Response;

use crate::client_request::ClientRequest;
use crate::process::Proxy;
use crate::response_body::ResponseBody;
use turn_completion::TurnCompletion;

/// Serves the request event by event. Dropping the future, or the body of its response, cancels the
/// request.
pub async fn serve(proxy: &Rc<Proxy>, request: ClientRequest) -> Response<ResponseBody> {
    let (client, response) = client_channel::channel(proxy.lifecycle.begin_work());
    let work = proxy.lifecycle.begin_work();
    let proxy = proxy.clone();
    tokio::task::spawn_local(async move {
        let mut request = request;
        let mut client = client;
        let mut completion = TurnCompletion::from_request(&proxy, &request);
        let client_closed = client.closed();
        tokio::select! {
            biased;
            () = client_closed => {}
            () = attempts::run(&proxy, &mut request, &mut client, &mut completion) => {}
        }
        completion.settle_in_background(work);
    });
    response.head().await
}
