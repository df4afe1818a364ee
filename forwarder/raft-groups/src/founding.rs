//! The next step for a group that its founder does not lead yet, evaluated at each review of the groups thread.

/// The state of the group as its founder observes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FoundingObservation {
    /// The founder leads the group, or led it earlier.
    pub was_led_here: bool,
    /// The group is dissolved, or the founder has removed it.
    pub is_removed: bool,
    /// Another instance leads the group.
    pub is_led_by_another: bool,
    /// The group has waited for its first leader for so long that its voters may be other incarnations by now, and
    /// no majority of them is connected.
    pub has_lost_voters: bool,
}

/// The founder's next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoundingStep {
    /// Nothing: the founding is complete.
    Done,
    /// Founds another group in place of this one.
    FoundAnother,
    /// Removes the local data of this group and founds another one.
    RemoveAndFoundAnother,
    /// Invites the voters again and campaigns.
    Continue,
}

impl FoundingObservation {
    /// Returns the next step. If the group was removed before its founder led it, its voters took it over, found it
    /// empty and dissolved it; the founder may observe only the removal.
    pub fn next_step(self) -> FoundingStep {
        if self.was_led_here {
            FoundingStep::Done
        } else if self.is_removed || self.is_led_by_another {
            FoundingStep::FoundAnother
        } else if self.has_lost_voters {
            FoundingStep::RemoveAndFoundAnother
        } else {
            FoundingStep::Continue
        }
    }
}
