//! The links' thread: one connection to each other instance for what is sent to it, one from each for what it sends.
//! The groups' thread decides who is heard; here frames are bounded, checked and handed on.
//!
//! | module | job |
//! | --- | --- |
//! | `channels` | what this thread and the groups' thread send to each other |
//! | `shared` | what this thread's tasks share |
//! | `incoming` | connections that other instances made |
//! | `outgoing` | the connection to one other instance |
//! | `link_io` | frames from a stream, within a time |

pub mod channels;
mod incoming;
mod link_io;
mod outgoing;
mod shared;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use async_executor::LocalExecutor;
use async_io::Async;
use plankhill_forwarder_config::fleet::FleetConfig;
use rtrb::Consumer;
use slog::{warn, Logger};

use crate::ring::RingSender;
use channels::{FromLinks, PeerIndex, ToLinks};
use shared::Shared;

/// The links' thread.
pub struct LinksThread {
    /// The fleet file.
    pub fleet: FleetConfig,
    /// This instance's position in the fleet file.
    pub me: PeerIndex,
    /// Where other instances connect.
    pub listener: TcpListener,
    /// For lines about links that are closed.
    pub logger: Logger,
    /// From the groups' thread.
    pub inbox: Consumer<ToLinks>,
    /// Wakes this thread when something is in the inbox.
    pub wake_ups: async_channel::Receiver<()>,
    /// To the groups' thread.
    pub outbox: RingSender<FromLinks>,
    /// Ends the thread.
    pub stop: Arc<AtomicBool>,
}

impl LinksThread {
    /// Runs until the thread is stopped or the groups' thread has ended. The executor owns all tasks, and ends them
    /// with it.
    pub fn run(self) {
        let LinksThread {
            fleet,
            me,
            listener,
            logger,
            inbox,
            wake_ups,
            outbox,
            stop,
        } = self;
        let shared = Rc::new(Shared::new(fleet, me, logger, outbox));
        let executor = Rc::new(LocalExecutor::new());
        match Async::new(listener) {
            Ok(listener) => {
                let accept =
                    incoming::accept_all(shared.clone(), listener, Rc::downgrade(&executor));
                executor.spawn(accept).detach();
            }
            Err(error) => warn!(shared.logger, "cannot listen for peers"; "error" => %error),
        }
        for peer in (0..shared.lines.len()).filter(|peer| *peer != me) {
            executor
                .spawn(outgoing::maintain_link(shared.clone(), peer))
                .detach();
        }
        async_io::block_on(executor.run(handle_requests(shared, inbox, wake_ups, stop)));
    }
}

/// Carries out what the groups' thread asks for, until that thread ends.
async fn handle_requests(
    shared: Rc<Shared>,
    mut inbox: Consumer<ToLinks>,
    wake_ups: async_channel::Receiver<()>,
    stop: Arc<AtomicBool>,
) {
    loop {
        while let Ok(request) = inbox.pop() {
            handle_request(&shared, request);
        }
        if stop.load(Ordering::Acquire) || wake_ups.recv().await.is_err() {
            return;
        }
    }
}

fn handle_request(shared: &Shared, request: ToLinks) {
    match request {
        ToLinks::SetHello(hello) => *shared.hello.borrow_mut() = Some(hello),
        ToLinks::Send { to, frame } => shared.send(to, frame),
        ToLinks::Reply { call, reply } => {
            let caller = shared.awaiting_reply.borrow_mut().remove(&call);
            if let Some(caller) = caller {
                // A caller that has gone meanwhile needs no reply.
                let _ = caller.try_send(reply);
            }
        }
        ToLinks::HangUp { peer } => {
            if let Some(line) = shared.lines.get(peer).and_then(Option::as_ref) {
                line.is_hanging_up.set(true);
            }
        }
    }
}
