//! What becomes of a group that its founder does not lead yet. The groups' thread asks at each review.

/// What the founder sees of the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FoundingObservation {
    /// The founder leads the group, or has led it once.
    pub was_led_here: bool,
    /// The group is dissolved, or was given up here.
    pub is_gone: bool,
    /// Another instance leads the group.
    pub is_led_by_another: bool,
    /// The group has waited for its first leader for so long that its voters may be other incarnations by now, and
    /// most of them are.
    pub lost_its_voters: bool,
}

/// What the founder does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoundingStep {
    /// Nothing: the group is founded.
    Done,
    /// Founds another group in its place.
    FoundAnother,
    /// Forgets what is here of this group, and founds another.
    ForgetAndFoundAnother,
    /// Invites its voters again, and campaigns.
    Continue,
}

impl FoundingObservation {
    /// The next step. A group that is gone before its founder led it was taken over by its voters, which found it
    /// empty and dissolved it: the founder may see no more of that than that it is gone.
    pub fn next_step(self) -> FoundingStep {
        if self.was_led_here {
            FoundingStep::Done
        } else if self.is_gone || self.is_led_by_another {
            FoundingStep::FoundAnother
        } else if self.lost_its_voters {
            FoundingStep::ForgetAndFoundAnother
        } else {
            FoundingStep::Continue
        }
    }
}
