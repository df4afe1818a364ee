//! Identity, settings and founders of this member.

use std::net::SocketAddr;

use crate::effect::Millis;
use crate::view::{Identity, Member};

use super::MemberConfig;

/// Identity and settings of this member.
#[derive(Clone, Debug)]
pub(super) struct LocalNode {
    member: Member,
    tolerated_faults: usize,
    seeds: Vec<SocketAddr>,
    /// Addresses of the founders, if this member is one of them.
    founders: Option<Vec<SocketAddr>>,
    started_at: Millis,
}

impl LocalNode {
    pub(super) fn new(
        config: MemberConfig,
        founders: Option<Vec<SocketAddr>>,
        now: Millis,
    ) -> Self {
        Self {
            member: config.member,
            tolerated_faults: config.tolerated_faults,
            seeds: config.seeds,
            founders,
            started_at: now,
        }
    }

    pub(super) fn member(&self) -> &Member {
        &self.member
    }

    pub(super) fn identity(&self) -> &Identity {
        &self.member.identity
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.member.address
    }

    /// Returns whether this is the identity of the member itself, including its disk incarnation.
    pub(super) fn is(&self, identity: &Identity) -> bool {
        self.member.identity == *identity
    }

    pub(super) fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    pub(super) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Addresses of the founders, if this member is one of them.
    pub(super) fn founders(&self) -> Option<&[SocketAddr]> {
        self.founders.as_deref()
    }

    /// Duration for which this process has run.
    pub(super) fn uptime(&self, now: Millis) -> Millis {
        now.saturating_sub(self.started_at)
    }

    /// Number of simultaneous member failures to tolerate (f).
    pub(super) fn tolerated_faults(&self) -> usize {
        self.tolerated_faults
    }

    /// Minimum length of a chain that may acknowledge operations: f+1, or the number of machines in
    /// a core that has fewer.
    pub(super) fn required_chain_len(&self, voters: usize) -> usize {
        let machines = voters.max(self.seeds.len());
        machines.min(self.tolerated_faults + 1)
    }
}
