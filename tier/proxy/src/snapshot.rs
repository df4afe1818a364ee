//! What the proxy acts on: one immutable snapshot, replaced whole.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use plankhill_configuration::{Configuration, RouteTable};
use plankhill_protocol::tables::{ConfigurationText, Tables};

/// The tables at one revision, with the configuration read.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// As the agent sent them.
    pub tables: Arc<Tables>,
    /// None before the operator's first configuration.
    pub routes: Option<Rc<RouteTable>>,
}

/// Holds the newest snapshot; requests keep the one that they began with.
#[derive(Debug, Default)]
pub struct SnapshotCell {
    newest: RefCell<Rc<Snapshot>>,
}

impl SnapshotCell {
    /// The newest snapshot.
    pub fn newest(&self) -> Rc<Snapshot> {
        self.newest.borrow().clone()
    }

    /// Replaces the snapshot unless the tables are older than what is held; true if it did.
    pub fn replace(&self, tables: Arc<Tables>) -> bool {
        let held = self.newest();
        if tables.revision < held.tables.revision {
            return false;
        }
        let routes = routes_of(tables.configuration.as_ref(), &held);
        *self.newest.borrow_mut() = Rc::new(Snapshot { tables, routes });
        true
    }
}

/// Reads the configuration anew only if it differs. One that cannot be read, which the controllers never
/// send, leaves the former one in force.
fn routes_of(text: Option<&ConfigurationText>, held: &Snapshot) -> Option<Rc<RouteTable>> {
    let text = text?;
    if held
        .tables
        .configuration
        .as_ref()
        .is_some_and(|former| former == text)
    {
        return held.routes.clone();
    }
    match Configuration::parse(&text.document) {
        Ok(configuration) => Some(Rc::new(RouteTable::new(configuration))),
        Err(error) => {
            tracing::error!(version = text.version, %error, "configuration cannot be read");
            held.routes.clone()
        }
    }
}
