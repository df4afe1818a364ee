//! The tables in force: one immutable snapshot, replaced as a whole by `table_feed`.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use plankhill_configuration::{Configuration, RouteTable};
use plankhill_protocol::tables::{ConfigurationText, Tables};

/// The tables at one revision, with the configuration parsed.
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

    /// Replaces the snapshot unless the tables are of an older revision; true if it did.
    pub fn replace(&self, tables: Arc<Tables>) -> bool {
        let current = self.newest();
        if tables.revision < current.tables.revision {
            return false;
        }
        let routes = parse_routes(tables.configuration.as_ref(), &current);
        *self.newest.borrow_mut() = Rc::new(Snapshot { tables, routes });
        true
    }
}

/// Parses the configuration only if it differs. One that cannot be parsed, which the controllers
/// never send, leaves the former one in force.
fn parse_routes(text: Option<&ConfigurationText>, current: &Snapshot) -> Option<Rc<RouteTable>> {
    let text = text?;
    if current.tables.configuration.as_ref() == Some(text) {
        return current.routes.clone();
    }
    match Configuration::parse(&text.document) {
        Ok(configuration) => Some(Rc::new(RouteTable::new(configuration))),
        Err(error) => {
            tracing::error!(version = text.version, %error, "configuration invalid; previous kept");
            current.routes.clone()
        }
    }
}
