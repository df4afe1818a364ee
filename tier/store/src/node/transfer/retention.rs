//! Comparison of the retention times of turns with those at another store: this store may have missed an
//! extension. The other store compares when it starts, and has a hint otherwise.

use plankhill_conversations::peer::{PeerResponse, ProgramOutline};
use plankhill_protocol::ids::RequestId;

use super::copy_from::CopyError;
use crate::clock::Clock;
use crate::node::replica::RetentionExtension;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// Difference in milliseconds up to which the retention of a turn counts as the same at two stores: longer than
/// a call takes, and short beside the time for which turns are retained beyond their retention.
const MAX_RETENTION_DIFFERENCE_MS: u64 = 1_000;

/// A turn that the source has listed.
pub(super) struct ListedTurn<'outline> {
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
            if self.is_longer_at_source(turn) {
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

    /// Whether the source retains a turn for longer than this store, by more than the time that the clocks of both
    /// stores and the arrival of an update explain; false for a turn that is absent here.
    fn is_longer_at_source(&self, listed: &ListedTurn<'_>) -> bool {
        let ours_ms = self.local_remaining_ms(listed.turn);
        ours_ms.is_some_and(|ours_ms| {
            listed.remaining_ms > ours_ms.saturating_add(MAX_RETENTION_DIFFERENCE_MS)
        })
    }

    fn local_remaining_ms(&self, turn: &RequestId) -> Option<u64> {
        let expires_ms = self.turns.borrow().expires_ms(turn)?;
        Some(expires_ms.saturating_sub(self.now_ms()))
    }
}
