//! Protocol bugs that tests inject into a member to verify that their checks detect them. Not part
//! of any product build: only the tests of this package enable the feature `planted-bugs`.

/// A violation of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlantedBug {
    /// A proposer ignores the views that voters report as accepted.
    AcceptedViewForgotten,
    /// A proposer starts the second phase before its own promise is on its disk.
    OwnPromiseNotAwaited,
    /// The base of a new view is the highest last revision of the survivors instead of the lowest.
    BaseTooHigh,
    /// The base of a new view is one less than the lowest last revision of the survivors.
    BaseTooLow,
    /// A member takes operations after it has promised a ballot for the next view.
    SealIgnored,
    /// The tail answers a read after confirmations from one voter fewer than a majority.
    ReadQuorumTooSmall,
}
