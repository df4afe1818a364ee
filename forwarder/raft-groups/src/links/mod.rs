//! The links' thread: one connection to each other instance for what is said to it, one from each for what it
//! says. What may speak is decided by the groups' thread; here frames are bounded, checked and passed on.

mod called;
mod calling;
pub mod shared;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use async_executor::LocalExecutor;
use async_io::Async;
use plankhill_forwarder_config::fleet::FleetConfig;
use rtrb::Consumer;
use slog::{warn, Logger};

use crate::ring::Sender;
use shared::{FromLinks, Peer, Shared, ToLinks};

pub struct Links {
    pub fleet: FleetConfig,
    pub me: Peer,
    pub listener: TcpListener,
    pub log: Logger,
    pub inbox: Consumer<ToLinks>,
    pub bell: async_channel::Receiver<()>,
    pub outbox: Sender<FromLinks>,
    pub stop: Arc<AtomicBool>,
}

impl Links {
    pub fn run(self) {
        let Links {
            fleet,
            me,
            listener,
            log,
            inbox,
            bell,
            outbox,
            stop,
        } = self;
        let shared = Rc::new(Shared::new(fleet, me, log, outbox));
        let tasks = Rc::new(LocalExecutor::new());
        match Async::new(listener) {
            Ok(listener) => tasks
                .spawn(called::accept(
                    shared.clone(),
                    listener,
                    Rc::downgrade(&tasks),
                ))
                .detach(),
            Err(error) => {
                warn!(shared.log, "fleet address can't be listened at"; "error" => %error)
            }
        }
        for peer in (0..shared.lines.len()).filter(|at: &Peer| *at != me) {
            tasks.spawn(calling::call(shared.clone(), peer)).detach();
        }
        async_io::block_on(tasks.run(orders(shared.clone(), inbox, bell, stop)));
    }
}

/// Heeds the groups' thread until it ends.
async fn orders(
    shared: Rc<Shared>,
    mut inbox: Consumer<ToLinks>,
    bell: async_channel::Receiver<()>,
    stop: Arc<AtomicBool>,
) {
    loop {
        while let Ok(order) = inbox.pop() {
            match order {
                ToLinks::Hello(hello) => *shared.hello.borrow_mut() = Some(hello),
                ToLinks::Say { to, frame } => shared.say(to, frame),
                ToLinks::Answer { call, answer } => {
                    // One that has gone meanwhile needs none.
                    shared
                        .answers
                        .borrow_mut()
                        .remove(&call)
                        .map(|line| line.try_send(answer));
                }
                ToLinks::HangUp { peer } => {
                    if let Some(line) = shared.lines.get(peer).and_then(Option::as_ref) {
                        line.hang_up.set(true);
                    }
                }
            }
        }
        if stop.load(Ordering::Acquire) || bell.recv().await.is_err() {
            return;
        }
    }
}
