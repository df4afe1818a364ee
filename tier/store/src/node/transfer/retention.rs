//! Comparison of the retention times of turns with those at another store: either store may have missed an
//! extension.

use std::cmp::Ordering;

use plankhill_conversations::peer::{PeerResponse, ProgramOutline};
use plankhill_conversations::placement::is_replica;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::copy_from::CopyError;
use crate::clock::Clock;
use crate::node::replica::RetentionExtension;
use crate::node::state::MissedUpdate;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// Difference in milliseconds up to which the retention of a turn counts as the same at two stores: longer than
/// a call takes, and short beside the time for which turns are retained beyond their retention.
const MAX_RETENTION_DIFFERENCE_MS: u64 = 1_000;

/// A turn that the source has listed.
pub(super) struct ListedTurn<'outline> {
    program: &'outline ProgramId,
    turn: &'outline RequestId,
    /// The remaining retention time at the source, in milliseconds.
    remaining_ms: u64,
}

/// The turns of all outlines with their retention times; none if the source runs a version that does not send
/// these.
pub(super) fn listed_turns<'outline>(
    outlines: &'outline [ProgramOutline],
    remaining_ms: Option<&[Vec<u64>]>,
) -> Vec<ListedTurn<'outline>> {
    let mut listed = Vec::new();
    for (outline, times) in outlines.iter().zip(remaining_ms.unwrap_or_default()) {
        for (turn, remaining_ms) in outline.turns.iter().zip(times) {
            listed.push(ListedTurn {
                program: &outline.program,
                turn,
                remaining_ms: *remaining_ms,
            });
        }
    }
    listed
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Takes over retention times that are longer at the source: this store may have missed an extension.
    pub(super) async fn merge_longer_retention(
        &self,
        listed: &[ListedTurn<'_>],
    ) -> Result<(), CopyError> {
        let mut extensions = Vec::new();
        for turn in listed {
            if self.compare_retention(turn) == Some(Ordering::Less) {
                extensions.push(RetentionExtension {
                    turn: turn.turn.clone(),
                    retention_ms: turn.remaining_ms,
                });
            }
        }
        if extensions.is_empty() {
            return Ok(());
        }
        match self.extend_locally(extensions).await {
            PeerResponse::Done => Ok(()),
            _ => Err(CopyError),
        }
    }

    /// Records hints for turns that this store retains for longer: the source may have missed an extension.
    pub(super) fn hint_shorter_retention_at_source(
        &self,
        view: &StoreView,
        source: &StoreMember,
        listed: &[ListedTurn<'_>],
    ) {
        for turn in listed {
            let program = turn.program;
            let is_replica = is_replica(&view.serving, program, view.tolerated_faults, source);
            if is_replica && self.compare_retention(turn) == Some(Ordering::Greater) {
                self.add_hint(
                    &source.node,
                    MissedUpdate {
                        program: program.clone(),
                        turn: turn.turn.clone(),
                    },
                );
            }
        }
    }

    /// Compares the remaining retention of a turn at this store with that at the source; None if the turn is
    /// absent here. Each store counts from the arrival of an update, so that small differences are no missed
    /// extension.
    fn compare_retention(&self, listed: &ListedTurn<'_>) -> Option<Ordering> {
        let ours_ms = self.local_remaining_ms(listed.turn)?;
        let theirs_ms = listed.remaining_ms;
        if ours_ms.abs_diff(theirs_ms) <= MAX_RETENTION_DIFFERENCE_MS {
            return Some(Ordering::Equal);
        }
        Some(ours_ms.cmp(&theirs_ms))
    }

    fn local_remaining_ms(&self, turn: &RequestId) -> Option<u64> {
        let expires_ms = self.turns.borrow().expires_ms(turn)?;
        Some(expires_ms.saturating_sub(self.now_ms()))
    }
}
