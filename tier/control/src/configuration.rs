//! The operator's configuration, and digests of the configurations accepted before.
//!
//! The history makes `PUT /-/config` idempotent: an operator that got no answer may resend the same
//! document to any controller, and a document that was accepted once is never rejected afterwards.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::sync::Arc;

use plankhill_protocol::tables::ConfigurationText;
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};

use crate::outcome::Outcome;

/// Maximum number of accepted configurations in the history.
///
/// A busy day has hundreds of changes, and at most eight requests are in flight at once, so that the
/// history covers any realistic retry. An older request is not rejected but gets
/// [`Outcome::HistoryTrimmed`]: its configuration may have been accepted.
pub const MAX_ACCEPTED_REMEMBERED: usize = 1_024;

/// The current configuration and digests of the accepted ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationHistory {
    current: Option<ConfigurationText>,
    /// In the order of acceptance, the current configuration last; at most
    /// [`MAX_ACCEPTED_REMEMBERED`].
    accepted: VecDeque<AcceptedConfiguration>,
}

/// The version and digest of an accepted configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AcceptedConfiguration {
    version: u64,
    digest: u128,
}

impl ConfigurationHistory {
    /// Returns the current configuration; `None` before the first.
    pub fn current(&self) -> Option<&ConfigurationText> {
        self.current.as_ref()
    }

    /// Returns the current version; 0 before the first configuration.
    pub fn current_version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// Returns the newest version in the history under which exactly this document was accepted, or
    /// `None` if the history contains no such document.
    pub fn accepted_version(&self, document: &[u8]) -> Option<u64> {
        let digest = digest(document);
        let newest_match = self
            .accepted
            .iter()
            .rev()
            .find(|accepted| accepted.digest == digest)?;
        Some(newest_match.version)
    }

    /// Returns whether a configuration with this version may have been accepted and trimmed from the
    /// history.
    ///
    /// Accepted versions only increase, so that all trimmed versions are below the oldest one in the
    /// history.
    pub fn may_have_been_trimmed(&self, version: u64) -> bool {
        if self.accepted.len() < MAX_ACCEPTED_REMEMBERED {
            return false;
        }
        self.accepted
            .front()
            .is_some_and(|oldest| version < oldest.version)
    }

    /// Returns the outcome that [`ConfigurationHistory::put`] would have, without changing the state.
    fn evaluate(&self, expected: u64, version: u64, document: &[u8]) -> Outcome {
        let current = self.current_version();
        if self.accepted_version(document) == Some(version) {
            Outcome::Duplicate
        } else if self.may_have_been_trimmed(version) {
            Outcome::HistoryTrimmed
        } else if expected != current {
            Outcome::Conflict { current }
        } else if version <= current {
            Outcome::VersionNotIncreasing { current }
        } else {
            Outcome::Applied
        }
    }

    /// Accepts a configuration if `expected` is the current version and its own version is higher.
    pub(crate) fn put(&mut self, expected: u64, version: u64, document: &Arc<[u8]>) -> Outcome {
        let outcome = self.evaluate(expected, version, document);
        if outcome.is_applied() {
            self.accepted.push_back(AcceptedConfiguration {
                version,
                digest: digest(document),
            });
            if self.accepted.len() > MAX_ACCEPTED_REMEMBERED {
                self.accepted.pop_front();
            }
            self.current = Some(ConfigurationText {
                version,
                document: document.clone().into(),
            });
        }
        outcome
    }
}

/// Returns the digest of a document: 128-bit SipHash-2-4 with an all-zero key, the same on every
/// controller and in every build. Digests are stored, so that the function is part of the stored
/// format.
fn digest(document: &[u8]) -> u128 {
    let mut hasher = SipHasher24::new();
    hasher.write(document);
    hasher.finish128().as_u128()
}
