//! The latest changes of the tables, kept so that a subscriber that lags a little gets only those.

use std::collections::VecDeque;
use std::sync::Arc;

use plankhill_control::{changes_between, tables_of};
use plankhill_protocol::ids::Revision;
use plankhill_protocol::tables::{TablesChange, TablesUpdate};

use crate::log::Committed;

/// Steps kept: a subscriber that was away for a second or two finds its revision among them.
const STEPS_KEPT: usize = 512;
/// More changes than this are not worth sending one by one.
const CHANGES_SENT: usize = 1_024;

/// What one committed state changed in the one before.
struct Step {
    from: Revision,
    to: Revision,
    changes: Vec<TablesChange>,
}

/// The newest committed state and the latest steps towards it.
pub struct ChangeLog {
    newest: Arc<Committed>,
    steps: VecDeque<Step>,
}

impl ChangeLog {
    /// Begins with a state; earlier revisions get snapshots.
    pub fn new(state: Arc<Committed>) -> Self {
        ChangeLog {
            newest: state,
            steps: VecDeque::new(),
        }
    }

    /// The newest committed state.
    pub fn newest(&self) -> &Arc<Committed> {
        &self.newest
    }

    /// Takes a later committed state in; an earlier one is ignored.
    pub fn advance(&mut self, state: Arc<Committed>) {
        if state.revision <= self.newest.revision {
            return;
        }
        let changes = changes_between(&self.newest.state, &state.state);
        if changes.iter().any(is_configuration) {
            // Whoever gets an earlier step gets this one too: one document in memory is enough.
            self.steps
                .iter_mut()
                .for_each(|step| step.changes.retain(|change| !is_configuration(change)));
        }
        self.steps.push_back(Step {
            from: self.newest.revision,
            to: state.revision,
            changes,
        });
        if self.steps.len() > STEPS_KEPT {
            self.steps.pop_front();
        }
        self.newest = state;
    }

    /// What brings a holder of `held` up to date; `None` if it is.
    pub fn update_since(&self, held: Revision) -> Option<TablesUpdate> {
        if held >= self.newest.revision {
            return None;
        }
        Some(self.changes_since(held).unwrap_or_else(|| self.snapshot()))
    }

    /// Everything, at the newest revision.
    pub fn snapshot(&self) -> TablesUpdate {
        TablesUpdate::Snapshot(tables_of(&self.newest.state, self.newest.revision))
    }

    fn changes_since(&self, held: Revision) -> Option<TablesUpdate> {
        let first = self
            .steps
            .binary_search_by_key(&held, |step| step.from)
            .ok()?;
        let missed = self.steps.range(first..);
        let changes: Vec<TablesChange> = missed
            .flat_map(|step| step.changes.iter())
            .take(CHANGES_SENT + 1)
            .cloned()
            .collect();
        if changes.len() > CHANGES_SENT {
            return None;
        }
        let to = self.steps.back()?.to;
        Some(TablesUpdate::Changes {
            from: held,
            to,
            changes,
        })
    }
}

fn is_configuration(change: &TablesChange) -> bool {
    matches!(change, TablesChange::Configuration(_))
}
