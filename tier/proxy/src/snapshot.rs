//! The current tables: one immutable snapshot, replaced by `table_feed`.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use plankhill_configuration::{Configuration, RouteTable};
use plankhill_protocol::tables::{ConfigurationText, Tables};

/// The tables at one revision, with the configuration parsed.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The tables as sent by the agent.
    pub tables: Arc<Tables>,
    /// The routes of the configuration; `None` before the operator's first configuration.
    pub routes: Option<Rc<RouteTable>>,
}

/// Contains the newest snapshot; a request keeps the one with which it began.
#[derive(Debug, Default)]
pub struct SnapshotCell {
    newest: RefCell<Rc<Snapshot>>,
}

impl SnapshotCell {
    /// The newest snapshot.
    pub fn newest(&self) -> Rc<Snapshot> {
        self.newest.borrow().clone()
    }

    /// Replaces the snapshot unless the tables are of an older revision; returns whether it was
    /// replaced.
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

/// Parses the configuration only if it differs from the current one. If it cannot be parsed, which
/// is never true of a configuration sent by the controllers, the current one is kept.
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
