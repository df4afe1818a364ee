//! Drain orders for the node under test.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::{Drain, Tables};
use plankhill_proxy::draining;
use tokio::sync::watch;
use tokio::task;

use super::fixture::ProxyFixture;

/// The sender of the node's tables, and the messages that the node reported.
pub struct DrainOrders {
    pub tables: watch::Sender<Arc<Tables>>,
    pub reported: Rc<RefCell<Vec<FromSubscriber>>>,
}

impl DrainOrders {
    pub fn start(fixture: &ProxyFixture) -> DrainOrders {
        let newest = fixture.proxy.snapshots.newest().tables.clone();
        let (tables, watched) = watch::channel(newest);
        let reported: Rc<RefCell<Vec<FromSubscriber>>> = Rc::default();
        let sent = reported.clone();
        let report = Box::new(move |message| {
            sent.borrow_mut().push(message);
            true
        });
        task::spawn_local(draining::run(
            fixture.proxy.clone(),
            NodeId::from("me"),
            watched,
            report,
        ));
        DrainOrders { tables, reported }
    }

    pub async fn set(&self, number: Option<u64>) {
        let drain = |number| Drain {
            node: NodeId::from("me"),
            number,
            empty: false,
        };
        let drains = number.map(drain).into_iter().collect();
        self.tables.send_modify(|tables| {
            *tables = Arc::new(Tables {
                drains,
                ..Tables::clone(tables)
            })
        });
        run_ready_tasks().await;
    }

    pub async fn wait_reported(&self, number: u64) {
        while !self
            .reported
            .borrow()
            .contains(&FromSubscriber::Drained { number })
        {
            task::yield_now().await;
        }
    }
}

/// Yields until all tasks that are ready have run.
pub async fn run_ready_tasks() {
    for _ in 0..20 {
        task::yield_now().await;
    }
}
