//! Accepts connections from other processes of the tier: subscriptions, chain traffic, and liveness
//! reports from other controllers.

use std::rc::Rc;

use plankhill_protocol::transport::{accept, Channel, Connection, Hello};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::control_log::ControlLog;
use crate::controller::Controller;
use crate::feed::serve_subscriber;
use crate::limited_listener::{AcceptedConnection, LimitedListener};
use crate::liveness_reports::receive_reports;

/// Accepts and serves connections; never returns.
pub async fn serve_internal<L: ControlLog>(controller: Rc<Controller<L>>, listener: TcpListener) {
    let listener = LimitedListener::new(listener);
    loop {
        let accepted = listener.accept().await;
        spawn_local(serve_accepted(controller.clone(), accepted));
    }
}

async fn serve_accepted<L: ControlLog>(
    controller: Rc<Controller<L>>,
    accepted: AcceptedConnection,
) {
    let AcceptedConnection {
        stream,
        address,
        permit: _permit,
    } = accepted;
    let hello = Hello::new(Channel::Feed, controller.node().clone());
    match accept(stream, address, &hello).await {
        Ok(connection) => serve_channel(controller, connection).await,
        Err(error) => tracing::debug!(%address, %error, "connection rejected"),
    }
}

async fn serve_channel<L: ControlLog>(controller: Rc<Controller<L>>, connection: Connection) {
    match connection.peer.channel {
        Channel::Feed => serve_subscriber(controller, connection).await,
        Channel::Chain => controller.log().serve_chain(connection).await,
        Channel::Liveness => receive_reports(controller, connection).await,
        Channel::Store | Channel::Peer => {}
    }
}
