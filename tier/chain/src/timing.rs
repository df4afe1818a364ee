//! Times of the chain, in ms. Chosen so that a chain without a dead link answers again well under a second
//! after the death, at a few messages a second.

use crate::effect::Millis;

/// Between heartbeats.
pub const HEARTBEAT: Millis = 150;
/// A member that was not heard for so long is taken for gone: four heartbeats.
pub const SILENCE: Millis = 600;
/// A member that knows of no confirmation younger than this does not call itself current.
pub const CURRENT: Millis = 1_000;
/// A peer counts as reached while it has echoed a heartbeat sent no longer ago than this.
pub const REACHED: Millis = 1_000;
/// A member has to be heard without a break for so long before it is taken into the chain.
pub const STEADY: Millis = 450;
/// A voter out of service that was silent for so long makes room for another.
pub const GONE: Millis = 2_000;
/// A member proposes a view this much later for each member before it in the chain.
pub const RANK_DELAY: Millis = 150;
/// A proposer waits so long for the promises of links that it still hears.
pub const PROMISE_GRACE: Millis = 200;
/// A proposer waits so long for a member that is still catching up.
pub const JOIN_GRACE: Millis = 400;
/// A proposer gives up an attempt after this long.
pub const ATTEMPT: Millis = 900;
/// The longest random pause before the next attempt.
pub const BACKOFF: Millis = 250;
/// Unanswered messages of an agreement are sent again after this long.
pub const REPEAT: Millis = 100;
/// Operations without any progress behind this link are sent again after this long.
pub const RESEND: Millis = 300;
/// Proposals, reads and questions for operations are sent again after this long.
pub const ASK_AGAIN: Millis = 350;
/// A process whose clock ticks come so late was frozen, and did not hear anybody meanwhile.
pub const FROZEN: Millis = 400;
/// A disk that has not synced for so long counts as gone, until it answers. Well above a slow sync (some 10 ms,
/// or some 100 on a disk in trouble), with the batches before it.
pub const DISK_STALLED: Millis = 1_000;
/// Seeds found the first view without those that have not been heard after this long.
pub const FOUNDING_PATIENCE: Millis = 1_500;
