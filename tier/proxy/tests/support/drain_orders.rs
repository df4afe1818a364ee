//! DrainOrders for the node under test.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::{Drain, Tables};
use plankhill_proxy::draining;
use tokio::sync::watch;
use tokio::task;

use super::world::World;

/// What the node said, and where its orders come from.
pub struct DrainOrders {
    pub tables: watch::Sender<Arc<Tables>>,
    pub reported: Rc<RefCell<Vec<FromSubscriber>>>,
}

impl DrainOrders {
    pub fn follow(world: &World) -> DrainOrders {
        let newest = world.proxy.snapshots.newest().tables.clone();
        let (tables, watched) = watch::channel(newest);
        let reported: Rc<RefCell<Vec<FromSubscriber>>> = Rc::default();
        let sent = reported.clone();
        let report = Box::new(move |message| {
            sent.borrow_mut().push(message);
            true
        });
        task::spawn_local(draining::follow(
            world.proxy.clone(),
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
        settled().await;
    }

    pub async fn until_reported(&self, number: u64) {
        while !self
            .reported
            .borrow()
            .contains(&FromSubscriber::Drained { number })
        {
            task::yield_now().await;
        }
    }
}

/// Everything that is ready to run has run.
pub async fn settled() {
    for _ in 0..20 {
        task::yield_now().await;
    }
}
