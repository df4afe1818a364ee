//! The recent changes to the tables. A subscriber that lags slightly is sent only the changes
//! instead of a snapshot.
//!
//! The controller owns one change log and advances it with every committed state that it publishes;
//! subscriber sessions read it.

use std::collections::VecDeque;
use std::sync::Arc;

use plankhill_control::{build_tables, diff_tables};
use plankhill_protocol::ids::Revision;
use plankhill_protocol::tables::{TablesChange, TablesUpdate};

use crate::control_log::CommittedControlState;

/// Maximum number of retained steps: enough that the revision of a subscriber that was disconnected
/// for a second or two is still among them.
const MAX_STEPS: usize = 512;
/// Maximum number of changes in one update; a subscriber that lacks more is sent a snapshot.
const MAX_CHANGES_PER_UPDATE: usize = 1_024;

/// The changes between two consecutive published states.
struct Step {
    from: Revision,
    changes: Vec<TablesChange>,
}

/// The newest published state and the retained steps that lead to it.
pub struct ChangeLog {
    newest: Arc<CommittedControlState>,
    /// Each step starts at the revision at which the previous one ends; the last one ends at
    /// `newest`.
    steps: VecDeque<Step>,
}

impl ChangeLog {
    /// Creates a change log that starts at `state`; subscribers at earlier revisions are sent
    /// snapshots.
    pub fn new(state: Arc<CommittedControlState>) -> Self {
        ChangeLog {
            newest: state,
            steps: VecDeque::new(),
        }
    }

    /// Returns the newest published state.
    pub fn newest(&self) -> &Arc<CommittedControlState> {
        &self.newest
    }

    /// Adds a newer committed state. A state that is not newer is ignored.
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

    /// Returns the update that takes a subscriber from `held_revision` to the newest revision;
    /// `None` if `held_revision` is the newest revision or later.
    pub fn update_since(&self, held_revision: Revision) -> Option<TablesUpdate> {
        if held_revision >= self.newest.revision {
            return None;
        }
        match self.changes_since(held_revision) {
            Some(changes) => Some(changes),
            None => Some(self.snapshot()),
        }
    }

    /// Returns all tables at the newest revision.
    pub fn snapshot(&self) -> TablesUpdate {
        TablesUpdate::Snapshot(build_tables(&self.newest.state, self.newest.revision))
    }

    /// Removes configuration changes from all steps before a new one is added, so that at most one
    /// document is kept in memory. A subscriber that is sent an earlier step is also sent the
    /// newest configuration.
    fn drop_earlier_configurations(&mut self) {
        for step in &mut self.steps {
            step.changes.retain(|change| !is_configuration(change));
        }
    }

    /// Returns the changes after `held_revision`; `None` if no step starts at that revision, or if
    /// more than [`MAX_CHANGES_PER_UPDATE`] changes follow it.
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
