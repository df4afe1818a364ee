//! Liveness reports between controllers. Each controller reports the senders that it has recently
//! received messages from to the head of the chain, because only the head expires silent senders.

use std::rc::Rc;
use std::time::{Duration, Instant};

use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::{dial, Channel, Connection, Hello, TransportError};
use tokio::time::timeout;

use crate::control_log::ControlLog;
use crate::controller::Controller;
use crate::liveness::LivenessReport;

/// Interval between reports: well below the shortest silence after which a sender is expired (4 s).
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Each report covers the messages received within this window, which spans two intervals, so that
/// the loss of one report has no effect.
const REPORT_WINDOW: Duration = Duration::from_millis(1_100);

/// Records the reports from another controller until its connection ends.
pub(crate) async fn receive_reports<L: ControlLog>(
    controller: Rc<Controller<L>>,
    mut connection: Connection,
) {
    while let Ok(report) = connection.reader.next::<LivenessReport>().await {
        controller
            .liveness_mut()
            .record_remote(&report, Instant::now());
    }
}

/// A connection to the current head of the chain.
struct HeadLink {
    head: NodeId,
    connection: Connection,
}

/// Sends reports to the head of the chain; never returns. The head itself sends no reports.
pub async fn report_to_head<L: ControlLog>(controller: Rc<Controller<L>>) {
    let mut link: Option<HeadLink> = None;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let status = controller.log().chain_status();
        let Some(head) = status
            .chain
            .first()
            .filter(|head| head.node != *controller.node())
        else {
            link = None;
            continue;
        };
        if link.as_ref().is_none_or(|link| link.head != head.node) {
            let hello = Hello::new(Channel::Liveness, controller.node().clone());
            let dialed = dial(head.address, &hello).await;
            link = dialed.ok().map(|connection| HeadLink {
                head: head.node.clone(),
                connection,
            });
        }
        if let Some(HeadLink { connection, .. }) = &mut link {
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
    // The monotonic clock may be lower than the window shortly after the machine has booted.
    let Some(since) = Instant::now().checked_sub(REPORT_WINDOW) else {
        return Ok(());
    };
    let report = controller.liveness().report_since(since);
    match timeout(REPORT_INTERVAL, connection.writer.send(&report)).await {
        Ok(sent) => sent,
        Err(_) => Err(TransportError::DialTimeout),
    }
}
