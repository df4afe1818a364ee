//! The latest changes of the tables, so that a subscriber that lags a little is sent only those.
//!
//! The controller owns one change log and advances it with every committed state that it publishes;
//! the sessions of subscribers read it.

use std::collections::VecDeque;
use std::sync::Arc;

use plankhill_control::{build_tables, diff_tables};
use plankhill_protocol::ids::Revision;
use plankhill_protocol::tables::{TablesChange, TablesUpdate};

use crate::control_log::CommittedControlState;

/// Most steps kept: a subscriber that was away for a second or two finds its revision among them.
const MAX_STEPS: usize = 512;
/// Most changes in one update; a subscriber that lacks more is sent a snapshot.
const MAX_CHANGES_PER_UPDATE: usize = 1_024;

/// The changes from one published state to the next.
struct Step {
    from: Revision,
    changes: Vec<TablesChange>,
}

/// The newest published state and the latest steps towards it.
pub struct ChangeLog {
    newest: Arc<CommittedControlState>,
    /// Each step begins at the revision at which the one before ends; the last ends at `newest`.
    steps: VecDeque<Step>,
}

impl ChangeLog {
    /// Begins with a state; subscribers at earlier revisions are sent snapshots.
    pub fn new(state: Arc<CommittedControlState>) -> Self {
        ChangeLog {
            newest: state,
            steps: VecDeque::new(),
        }
    }

    /// The newest published state.
    pub fn newest(&self) -> &Arc<CommittedControlState> {
        &self.newest
    }

    /// Adds a later committed state; an earlier one is ignored.
    pub fn advance(&mut self, state: Arc<CommittedControlState>) {
        if state.revision <= self.newest.revision {
            return;
        }
        let changes = diff_tables(&self.newest.state, &state.state);
        if changes.iter().any(is_configuration) {
            self.drop_earlier_configurations();
        }
        self.steps.push_back(Step {
            from: self.newest.revision,
            changes,
        });
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
        self.newest = state;
    }

    /// The update that brings a subscriber from `held_revision` to the newest; `None` if it holds
    /// the newest.
    pub fn update_since(&self, held_revision: Revision) -> Option<TablesUpdate> {
        if held_revision >= self.newest.revision {
            return None;
        }
        match self.changes_since(held_revision) {
            Some(changes) => Some(changes),
            None => Some(self.snapshot()),
        }
    }

    /// All tables, at the newest revision.
    pub fn snapshot(&self) -> TablesUpdate {
        TablesUpdate::Snapshot(build_tables(&self.newest.state, self.newest.revision))
    }

    /// Keeps one document in memory at most: a subscriber that is sent an earlier step is sent the
    /// newest one too.
    fn drop_earlier_configurations(&mut self) {
        for step in &mut self.steps {
            step.changes.retain(|change| !is_configuration(change));
        }
    }

    /// `None` if the revision lies between two steps or before the first, or too many changes
    /// follow it.
    fn changes_since(&self, held_revision: Revision) -> Option<TablesUpdate> {
        let first = self
            .steps
            .binary_search_by_key(&held_revision, |step| step.from)
            .ok()?;
        let missed = self
            .steps
            .range(first..)
            .flat_map(|step| step.changes.iter());
        let changes: Vec<TablesChange> = missed.take(MAX_CHANGES_PER_UPDATE + 1).cloned().collect();
        if changes.len() > MAX_CHANGES_PER_UPDATE {
            return None;
        }
        Some(TablesUpdate::Changes {
            from: held_revision,
            to: self.newest.revision,
            changes,
        })
    }
}

fn is_configuration(change: &TablesChange) -> bool {
    matches!(change, TablesChange::Configuration(_))
}
