//! Timeouts and intervals of the chain in ms. The values are chosen so that the chain answers again
//! well under a second after the failure of a member, at a few messages a second. To a timeout "plus
//! the syncs" of an answer, `member/disk_speed.rs` adds the time of the disk syncs that may precede
//! this answer.
//! `docs/system/chain.md` has a table of which member proposes a view after which time.

use crate::effect::Millis;

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = 150;
/// A member counts as failed when no heartbeat has been received from it for this long: four
/// heartbeat intervals.
pub const PEER_TIMEOUT: Millis = 600;
/// A member is current only while its newest confirmation is younger than this.
pub const CONFIRMATION_TTL: Millis = 1_000;
/// A peer counts as reachable only if it has echoed a heartbeat that was sent less than this long
/// ago.
pub const ECHO_TTL: Millis = 1_000;
/// Heartbeats of a member must have arrived without a gap for this long before the member may join
/// the chain.
pub const MIN_STABLE_INTERVAL: Millis = 450;
/// A voter outside the chain from which no heartbeat was received for this long may be removed to
/// make room for another.
pub const VOTER_REMOVAL_TIMEOUT: Millis = 2_000;
/// Additional delay before a member proposes a view, for each member that ranks before it.
pub const PROPOSER_RANK_INTERVAL: Millis = 150;
/// A proposer waits for the promises of live chain members for this long plus the syncs of a
/// promise.
pub const PROMISE_TIMEOUT: Millis = 200;
/// A proposer waits for a member that is still catching up for this long plus the syncs of a
/// catch-up.
pub const CATCH_UP_TIMEOUT: Millis = 400;
/// A proposer abandons an attempt that has received no further vote for this long plus the syncs of
/// a vote. Doubled with each consecutive attempt that received too few votes.
pub const ATTEMPT_TIMEOUT: Millis = 900;
/// The random backoff before the next attempt is at most this long plus the syncs of a vote.
/// Doubled with each consecutive attempt that received too few votes.
pub const MAX_ATTEMPT_BACKOFF: Millis = 250;
/// Interval at which unanswered messages of an agreement are sent again.
pub const VOTE_RETRY_INTERVAL: Millis = 100;
/// Operations are sent again when the successor has made no progress for this long plus the syncs
/// of an answer.
pub const APPEND_RETRY_INTERVAL: Millis = 300;
/// Interval at which unanswered proposals, reads and requests for operations are sent again.
pub const REQUEST_RETRY_INTERVAL: Millis = 350;
/// A process was frozen, and received nothing in the meantime, if two of its ticks are at least
/// this far apart.
pub const FREEZE_THRESHOLD: Millis = 400;
/// A disk counts as failed while a sync takes at least this long plus twice its usual sync time.
/// Well above a slow sync (some 10 ms, or some 100 ms on a faulty disk).
pub const DISK_STALL_TIMEOUT: Millis = 1_000;
/// Upper limit of the sync times that are added to timeouts and compared between disks.
pub const MAX_COUNTED_SYNC_TIME: Millis = 2_000;
/// A member of the chain whose syncs take less than this never counts as slow.
pub const MIN_SLOW_SYNC_TIME: Millis = 50;
/// The disk of a chain member counts as slow only after its syncs have been slow for this long plus
/// the time of two of them.
pub const SLOW_DISK_GRACE: Millis = 500;
/// A slow disk counts as fast again when its syncs take less than this, regardless of the other
/// disks.
pub const MAX_FAST_SYNC_TIME: Millis = 25;
/// A slow disk is probed with a write after it has been idle for this long.
pub const DISK_PROBE_INTERVAL: Millis = 300;
/// After this long, the founders propose the first view without the founders from which no
/// heartbeat was received.
pub const BOOTSTRAP_TIMEOUT: Millis = 1_500;
