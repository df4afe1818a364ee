//! The operator's configuration, and digests of the configurations accepted before.
//!
//! The history makes `PUT /-/config` idempotent: an operator that got no answer sends the same
//! document again, to any controller, and a document that was accepted once is never rejected
//! afterwards.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::sync::Arc;

use plankhill_protocol::tables::ConfigurationText;
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};

use crate::outcome::Outcome;

/// Most accepted configurations that are remembered.
///
/// A long day has hundreds of changes, and at most eight requests are in flight at once, so that a
/// repeated request is far younger than this. An older request is not rejected but gets
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

/// A configuration that was in force once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AcceptedConfiguration {
    version: u64,
    digest: u128,
}

impl ConfigurationHistory {
    /// The current configuration; `None` before the first.
    pub fn current(&self) -> Option<&ConfigurationText> {
        self.current.as_ref()
    }

    /// The current version; 0 before the first.
    pub fn current_version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// The version under which exactly this document was accepted, now or before; `None` if no such
    /// acceptance is remembered.
    pub fn accepted_version(&self, document: &[u8]) -> Option<u64> {
        let digest = digest(document);
        let newest_match = self
            .accepted
            .iter()
            .rev()
            .find(|accepted| accepted.digest == digest)?;
        Some(newest_match.version)
    }

    /// Whether a configuration with this version may have been accepted and dropped from the
    /// history.
    ///
    /// Accepted versions only rise, so that all those dropped lie below the oldest one remembered.
    pub fn may_have_been_trimmed(&self, version: u64) -> bool {
        if self.accepted.len() < MAX_ACCEPTED_REMEMBERED {
            return false;
        }
        self.accepted
            .front()
            .is_some_and(|oldest| version < oldest.version)
    }

    /// The outcome that [`ConfigurationHistory::put`] would have.
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

    /// Accepts a configuration if it builds on the current one and its version is higher.
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

/// A digest of a document: SipHash-2-4 with 128 bits and an all-zero key, the same on every
/// controller and in every build. The digests are stored, so that the function is format.
fn digest(document: &[u8]) -> u128 {
    let mut hasher = SipHasher24::new();
    hasher.write(document);
    hasher.finish128().as_u128()
}
