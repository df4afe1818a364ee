//! The operator's configuration, and which ones were taken before.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::sync::Arc;

use plankhill_protocol::tables::ConfigurationText;
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};

use crate::operation::Outcome;

/// Configurations that are remembered as taken. A long day has hundreds of changes, and at most eight orders
/// are under way at once, so that a repeated order is far younger than this. One that is older is not refused: it may
/// have been taken.
pub const TAKEN_KEPT: usize = 1_024;

/// The current configuration and digests of those taken before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationHistory {
    current: Option<ConfigurationText>,
    /// In the order in which they were taken, the current one last.
    taken: VecDeque<Taken>,
}

/// A configuration that was in force once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Taken {
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

    /// Whether exactly this document was taken, now or before; then the version under which it was.
    pub fn taken_as(&self, document: &[u8]) -> Option<u64> {
        let digest = digest(document);
        self.taken
            .iter()
            .rev()
            .find(|taken| taken.digest == digest)
            .map(|taken| taken.version)
    }

    /// Whether a configuration with this version may have been taken and forgotten: versions only rise, so that all
    /// those forgotten lie below the oldest one remembered.
    pub fn may_have_forgotten(&self, version: u64) -> bool {
        let oldest = self
            .taken
            .front()
            .filter(|_| self.taken.len() >= TAKEN_KEPT);
        oldest.is_some_and(|oldest| version < oldest.version)
    }

    /// What [`ConfigurationHistory::put`] would answer.
    pub fn judge(&self, expected: u64, version: u64, document: &[u8]) -> Outcome {
        let current = self.current_version();
        if self.taken_as(document) == Some(version) {
            Outcome::Repeated
        } else if self.may_have_forgotten(version) {
            Outcome::Forgotten
        } else if expected != current {
            Outcome::Conflict { current }
        } else if version <= current {
            Outcome::NotAbove { current }
        } else {
            Outcome::Applied
        }
    }

    /// Takes a configuration if it builds on the current one.
    pub(crate) fn put(&mut self, expected: u64, version: u64, document: &Arc<[u8]>) -> Outcome {
        let outcome = self.judge(expected, version, document);
        if outcome.changed() {
            self.taken.push_back(Taken {
                version,
                digest: digest(document),
            });
            if self.taken.len() > TAKEN_KEPT {
                self.taken.pop_front();
            }
            self.current = Some(ConfigurationText {
                version,
                document: document.clone().into(),
            });
        }
        outcome
    }
}

/// Tells documents apart; the same on every controller and in every build.
fn digest(document: &[u8]) -> u128 {
    let mut hasher = SipHasher24::new();
    hasher.write(document);
    hasher.finish128().as_u128()
}
