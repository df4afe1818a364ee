//! Connections of other processes of the tier: subscriptions, chain traffic, and reports of other
//! controllers about whom they heard.

use std::rc::Rc;
use std::time::{Duration, Instant};

use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::{accept, dial, Channel, Connection, Hello, TransportError};
use tokio::net::TcpListener;

use crate::feed::serve_subscriber;
use crate::liveness::HeardReport;
use crate::log::ControlLog;
use crate::process::Controller;

/// Connections at once; further ones are closed.
const CONNECTIONS: usize = 1_024;
/// Pause after a failed accept, so that other connections can end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time between reports to the head: well under the shortest silence acted on (4 s).
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Each report tells who was heard in this time, so that one lost report does no harm.
const REPORT_SPAN: Duration = Duration::from_millis(1_100);

/// Accepts connections for ever.
pub async fn serve_internal<L: ControlLog>(controller: Rc<Controller<L>>, listener: TcpListener) {
    let open = Rc::new(());
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if Rc::strong_count(&open) > CONNECTIONS {
            continue;
        }
        let (controller, place) = (controller.clone(), open.clone());
        tokio::task::spawn_local(async move {
            let hello = Hello::new(Channel::Feed, controller.node.clone());
            match accept(stream, address, &hello).await {
                Ok(connection) => serve_connection(controller, connection).await,
                Err(error) => tracing::debug!(%address, %error, "connection refused"),
            }
            drop(place);
        });
    }
}

async fn serve_connection<L: ControlLog>(controller: Rc<Controller<L>>, connection: Connection) {
    match connection.peer.channel {
        Channel::Feed => serve_subscriber(controller, connection).await,
        Channel::Chain => controller.log.serve_chain(connection).await,
        Channel::Liveness => take_reports(controller, connection).await,
        Channel::Store | Channel::Peer => {}
    }
}

async fn take_reports<L: ControlLog>(controller: Rc<Controller<L>>, mut connection: Connection) {
    while let Ok(report) = connection.reader.next::<HeardReport>().await {
        controller
            .liveness
            .borrow_mut()
            .heard_elsewhere(&report, Instant::now());
    }
}

/// Tells the head, for ever, whom this controller has heard.
pub async fn report_to_head<L: ControlLog>(controller: Rc<Controller<L>>) {
    let mut link: Option<(NodeId, Connection)> = None;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let place = controller.log.place();
        let Some(head) = place
            .chain
            .first()
            .filter(|head| head.node != controller.node)
        else {
            link = None;
            continue;
        };
        if link.as_ref().is_none_or(|(node, _)| *node != head.node) {
            let hello = Hello::new(Channel::Liveness, controller.node.clone());
            link = dial(head.address, &hello)
                .await
                .ok()
                .map(|made| (head.node.clone(), made));
        }
        if let Some((_, connection)) = &mut link {
            if send_report(&controller, connection).await.is_err() {
                link = None;
            }
        }
    }
}

async fn send_report<L: ControlLog>(
    controller: &Controller<L>,
    connection: &mut Connection,
) -> Result<(), TransportError> {
    let report = match Instant::now().checked_sub(REPORT_SPAN) {
        Some(since) => controller.liveness.borrow().report_since(since),
        None => return Ok(()),
    };
    tokio::time::timeout(REPORT_INTERVAL, connection.writer.send(&report))
        .await
        .map_err(|_| TransportError::DialTimeout)?
}
