//! Rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
//! 1998): every process selects the same members for a key, and a membership change moves few
//! keys.

use std::hash::Hasher;

use plankhill_protocol::ids::NodeId;
use siphasher::sip::SipHasher13;

/// Keys of the hash function. They must be the same in all processes of a deployment and in all
/// versions, because different keys would move all data.
const HASH_KEYS: (u64, u64) = (0x706c_616e_6b68_696c, 0x6c2d_7469_6572_2031);
/// Separates the key from the member in the hash input, so that different pairs have different
/// inputs: this byte does not occur in UTF-8 text.
const SEPARATOR: u8 = 0xff;

/// Returns the `count` members with the highest scores for `key`, in descending order; all members
/// if there are fewer.
pub fn top<'a>(
    key: &str,
    members: impl Iterator<Item = &'a NodeId>,
    count: usize,
) -> Vec<&'a NodeId> {
    let mut scored: Vec<(u64, &NodeId)> =
        members.map(|member| (score(key, member), member)).collect();
    scored.sort_unstable_by(|one, other| other.cmp(one));
    scored.truncate(count);
    scored.into_iter().map(|(_, member)| member).collect()
}

/// Returns the member with the highest score for `key`; `None` if there are no members.
pub fn first<'a>(key: &str, members: impl Iterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    members.max_by_key(|member| (score(key, member), *member))
}

/// Returns the score of a member for a key. Members with equal scores are ordered by name.
fn score(key: &str, member: &NodeId) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    hasher.write(key.as_bytes());
    hasher.write_u8(SEPARATOR);
    hasher.write(member.as_str().as_bytes());
    hasher.finish()
}
