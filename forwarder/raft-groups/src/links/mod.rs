//! The links thread: one outgoing connection to each other instance for sending, and one incoming connection from each
//! for receiving. The groups thread decides which peers are accepted; this thread limits, checks and forwards frames.
//!
//! | module | job |
//! | --- | --- |
//! | `channels` | the messages between this thread and the groups thread |
//! | `shared` | the state shared by this thread's tasks |
//! | `incoming` | connections opened by other instances |
//! | `outgoing` | the connection to one other instance |
//! | `link_io` | reading and writing frames, and timeouts |

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

/// The links thread.
pub struct LinksThread {
    /// The fleet file.
    pub fleet: FleetConfig,
    /// This instance's position in the fleet file.
    pub me: PeerIndex,
    /// The listener for connections from other instances.
    pub listener: TcpListener,
    /// The logger for closed links.
    pub logger: Logger,
    /// Requests from the groups thread.
    pub inbox: Consumer<ToLinks>,
    /// Wakes up this thread when the inbox is not empty.
    pub wake_ups: async_channel::Receiver<()>,
    /// Events to the groups thread.
    pub outbox: RingSender<FromLinks>,
    /// Stops the thread.
    pub stop: Arc<AtomicBool>,
}

impl LinksThread {
    /// Runs until the thread is stopped or the groups thread has ended. The executor owns all tasks and drops them when
    /// it is dropped.
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
        for peer in (0..shared.send_queues.len()).filter(|peer| *peer != me) {
            executor
                .spawn(outgoing::maintain_link(shared.clone(), peer))
                .detach();
        }
        async_io::block_on(executor.run(handle_requests(shared, inbox, wake_ups, stop)));
    }
}

/// Handles the requests of the groups thread until that thread ends or the links thread is stopped.
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
        ToLinks::Reply { connection, reply } => {
            let reply_sender = shared.awaiting_reply.borrow_mut().remove(&connection);
            if let Some(reply_sender) = reply_sender {
                // A peer that has disconnected in the meantime needs no reply.
                let _ = reply_sender.try_send(reply);
            }
        }
        ToLinks::CloseLink { peer } => {
            if let Some(queue) = shared.send_queues.get(peer).and_then(Option::as_ref) {
                queue.is_close_requested.set(true);
            }
        }
    }
}
