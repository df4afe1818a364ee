//! Hands requests to the dispatcher and carries out what it commands.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, Command, HealthCheckResult, Ms, NewRequest, RequestKey,
    UpstreamLoad,
};
use plankhill_protocol::ids::InstanceId;
use tokio::sync::{mpsc, Notify};

use crate::clock::Clock;
use crate::decisions::Decisions;
use crate::orders::{Call, Leave, Order, PingOrder};
use crate::snapshot::Snapshot;
use crate::target_pool::TargetPool;

struct Mailbox {
    orders: mpsc::UnboundedSender<Order>,
    out: Option<(InstanceId, Rc<Leave>)>,
}

/// The dispatcher, the requests that it knows, and the time at which it wants to be asked again.
pub struct Admission {
    clock: Clock,
    decisions: RefCell<Box<dyn Decisions>>,
    mailboxes: RefCell<HashMap<RequestKey, Mailbox>>,
    next_key: Cell<u64>,
    wake_at: Cell<Option<Ms>>,
    wake_changed: Notify,
    pool: Rc<TargetPool>,
    pings: mpsc::UnboundedSender<PingOrder>,
}

impl Admission {
    /// Health checks that are due go to `pings`.
    pub fn new(
        clock: Clock,
        decisions: Box<dyn Decisions>,
        pool: Rc<TargetPool>,
        pings: mpsc::UnboundedSender<PingOrder>,
    ) -> Self {
        Admission {
            clock,
            decisions: RefCell::new(decisions),
            mailboxes: RefCell::default(),
            next_key: Cell::new(1),
            wake_at: Cell::new(None),
            wake_changed: Notify::new(),
            pool,
            pings,
        }
    }

    /// A key that no request of this process has had.
    pub fn next_key(&self) -> RequestKey {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        RequestKey(key)
    }

    /// Hands a request over.
    pub fn admit(self: &Rc<Self>, request: NewRequest) -> Admitted {
        let (sender, orders) = mpsc::unbounded_channel();
        let key = request.key;
        self.mailboxes.borrow_mut().insert(
            key,
            Mailbox {
                orders: sender,
                out: None,
            },
        );
        let now = self.clock.now();
        self.decisions.borrow_mut().request(now, request);
        self.carry_out();
        Admitted {
            admission: self.clone(),
            key,
            orders,
            place: Place::Held,
        }
    }

    /// The tables were replaced.
    pub fn tables_changed(&self, snapshot: &Snapshot) {
        self.decisions.borrow_mut().tables_changed(snapshot);
        self.carry_out();
    }

    /// A health check has ended.
    pub fn pinged(&self, target: &InstanceId, answer: HealthCheckResult) {
        self.decisions.borrow_mut().pinged(target, answer);
        self.carry_out();
    }

    /// An answer's head told how full its target is.
    pub fn load_seen(&self, target: &InstanceId, load: UpstreamLoad) {
        let now = self.clock.now();
        self.decisions.borrow_mut().load_seen(now, target, load);
        self.carry_out();
    }

    /// Asks the dispatcher whenever it wanted to be asked again. Never returns.
    pub async fn keep_time(&self) {
        loop {
            match self.wake_at.get() {
                None => self.wake_changed.notified().await,
                Some(at) => {
                    let due = tokio::time::sleep_until(self.clock.instant(at));
                    tokio::select! {
                        () = due => {
                            self.wake_at.set(None);
                            self.carry_out();
                        }
                        () = self.wake_changed.notified() => {}
                    }
                }
            }
        }
    }

    fn carry_out(&self) {
        let commands = self.decisions.borrow_mut().commands(self.clock.now());
        commands
            .into_iter()
            .for_each(|command| self.carry_out_one(command));
    }

    fn carry_out_one(&self, command: Command) {
        match command {
            Command::Send {
                request,
                target,
                address,
                deadline,
                priority,
            } => {
                let leave = Rc::new(Leave::default());
                if let Some(mailbox) = self.mailboxes.borrow_mut().get_mut(&request) {
                    mailbox.out = Some((target.clone(), leave.clone()));
                    let call = Call {
                        target,
                        address,
                        deadline,
                        priority,
                        leave,
                    };
                    // The request's task may just be ending; it reports that by itself.
                    let _ = mailbox.orders.send(Order::Call(call));
                }
            }
            Command::Reject {
                request,
                retry_after,
            } => self.close(request, Order::Refuse(retry_after)),
            Command::Fail { request, last } => self.close(request, Order::Fail(last)),
            // The receiver lives as long as the process.
            Command::HealthCheck { target, address } => {
                drop(self.pings.send(PingOrder { target, address }))
            }
            Command::CloseIdleConnections { target } => self.pool.close_idle(&target),
            Command::CancelUnsent { target } => self.take_back(&target),
            Command::WakeAt(at) => self.wake_at(at),
        }
    }

    fn close(&self, request: RequestKey, order: Order) {
        if let Some(mailbox) = self.mailboxes.borrow_mut().remove(&request) {
            let _ = mailbox.orders.send(order);
        }
    }

    fn take_back(&self, target: &InstanceId) {
        let mailboxes = self.mailboxes.borrow();
        let calls = mailboxes
            .values()
            .filter_map(|mailbox| mailbox.out.as_ref());
        calls
            .filter(|(to, _)| to == target)
            .for_each(|(_, leave)| leave.take_back());
    }

    /// A later time than the one set already needs no change: the dispatcher sets it again when asked.
    fn wake_at(&self, at: Ms) {
        if self.wake_at.get().is_none_or(|set| at < set) {
            self.wake_at.set(Some(at));
            self.wake_changed.notify_one();
        }
    }

    fn ended(&self, key: RequestKey, ended: AttemptResult) {
        let out = self
            .mailboxes
            .borrow_mut()
            .get_mut(&key)
            .and_then(|mailbox| mailbox.out.take());
        if let Some((target, _)) = out {
            let now = self.clock.now();
            self.decisions.borrow_mut().ended(now, key, &target, ended);
            self.carry_out();
        }
    }

    fn leave(&self, key: RequestKey, place: Place) {
        match place {
            Place::Held => self.decisions.borrow_mut().withdrawn(key),
            Place::Out => self.ended(key, AttemptResult::from_outcome(AttemptOutcome::Cancelled)),
            Place::Done => {}
        }
        if self.mailboxes.borrow_mut().remove(&key).is_some() {
            self.carry_out();
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Held,
    Out,
    Done,
}

/// A request that the dispatcher knows. Dropping it before its end tells the dispatcher that it is given up.
pub struct Admitted {
    admission: Rc<Admission>,
    key: RequestKey,
    orders: mpsc::UnboundedReceiver<Order>,
    place: Place,
}

impl Admitted {
    /// The next decision; after [`Order::Call`], [`Admitted::ended`] has to come first.
    pub async fn next_order(&mut self) -> Order {
        let order = self
            .orders
            .recv()
            .await
            .unwrap_or(Order::Fail(AttemptOutcome::Cancelled));
        self.place = match order {
            Order::Call(_) => Place::Out,
            Order::Refuse(_) | Order::Fail(_) => Place::Done,
        };
        order
    }

    /// The call under way has ended.
    pub fn ended(&mut self, ended: AttemptResult) {
        self.place = if ended.outcome == AttemptOutcome::Delivered {
            Place::Done
        } else {
            Place::Held
        };
        self.admission.ended(self.key, ended);
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        // An order that has not been looked at yet changes the place: a call was decided on, or the end.
        if let Ok(order) = self.orders.try_recv() {
            self.place = match order {
                Order::Call(_) => Place::Out,
                Order::Refuse(_) | Order::Fail(_) => Place::Done,
            };
        }
        self.admission.leave(self.key, self.place);
    }
}
