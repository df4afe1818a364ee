//! What becomes of a group that its founder does not lead yet.

/// What the founder sees of the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sighting {
    /// Its founder leads it, or has led it once.
    pub led: bool,
    /// It is dissolved, or was given up here.
    pub gone: bool,
    /// Another instance leads it.
    pub led_by_another: bool,
    /// It has waited for its first leader for so long that its keepers may be other lives by now, and most of them
    /// are.
    pub keepers_lost: bool,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    /// It stands.
    Stands,
    /// Another group has to be founded in its place.
    Again,
    /// The same, and what is here of this one goes.
    BuryAndAgain,
    /// Its keepers are invited, and its founder campaigns.
    GoOn,
}

/// Says what follows. A group that is gone before its founder led it was taken for an heirless one by its keepers, which found
/// it empty and dissolved it: the founder may see no more of that than that it is gone.
pub fn course(seen: Sighting) -> Course {
    if seen.led {
        Course::Stands
    } else if seen.gone || seen.led_by_another {
        Course::Again
    } else if seen.keepers_lost {
        Course::BuryAndAgain
    } else {
        Course::GoOn
    }
}
