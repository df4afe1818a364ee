//! Connections: opened, reused, returned, closed, and dropped by a target without notice.

use plankhill_decisions::interface::{AttemptOutcome, EndpointState, Ms};
use plankhill_invariants::Observation;

use super::state::IdleConnection;
use super::{CallKey, Step, World};

/// A forwarder closes a connection that has been idle for this long.
const IDLE_TIMEOUT: Ms = 13_500.0;

impl World<'_> {
    /// Reuses an idle connection or opens one. If the group does not model connections, a connection
    /// to a target that is up is always open.
    pub(super) fn connect(&mut self, key: CallKey) {
        let forwarder = self.calls[key].forwarder;
        let target = self.calls[key].target;
        let from = self.forwarders[forwarder as usize].zone;
        let (to, destination) = {
            let target_state = &self.targets[target as usize];
            (target_state.zone as usize, target_state.destination)
        };
        let tracked = self.tracked(destination);
        if let Some(dropped) = self.take_idle(forwarder, target).filter(|_| tracked) {
            self.calls[key].reused = true;
            self.calls[key].dropped = dropped;
            return self.write(key);
        }
        let fault_effects = self.fault_effects(target);
        let group = self.group_of(destination);
        let full = group.connections > 0
            && self.targets[target as usize].connections as usize >= group.connections;
        let set_up = group.set_up;
        if !fault_effects.down && !full && !tracked {
            return self.write(key);
        }
        let outbound = self.travel(from, to);
        let back = self.travel(to, from);
        let (Some(outbound), Some(back)) = (outbound, back) else {
            // No response arrives: the connection counts as failed after its timeout.
            self.calls[key].outcome = AttemptOutcome::ConnectFailed;
            self.queue.put(
                self.now + self.scenario.network.connect_time_out,
                Step::Answered(key),
            );
            return;
        };
        if fault_effects.down || full {
            let outage = self.lanes[self.targets[target as usize].lane as usize].outage;
            let call = &mut self.calls[key];
            (call.outcome, call.in_outage) = (AttemptOutcome::ConnectFailed, outage);
            self.queue
                .put(self.now + outbound + back, Step::Answered(key));
            return;
        }
        self.targets[target as usize].connections += 1;
        self.queue
            .put(self.now + outbound + back + set_up, Step::Connected(key));
    }

    pub(super) fn tracked(&self, destination: u32) -> bool {
        let group = self.group_of(destination);
        self.tracks_connections
            || group.connections > 0
            || group.set_up > 0.0
            || group.idle_timeout > 0.0
    }

    pub(super) fn on_connected(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        if call.abandoned_by_sender {
            let target = call.target;
            self.close_connections(target, 1);
            self.calls.remove(key);
            return;
        }
        let forwarder = &self.forwarders[call.forwarder as usize];
        if forwarder.stalled_until > self.now {
            // The forwarder no longer waits for the call, so that it is never written.
            let later = forwarder.stalled_until;
            return self.queue.put(later, Step::Connected(key));
        }
        self.write(key);
    }

    /// Writes the call's first byte: from now on the call may run.
    pub(super) fn write(&mut self, key: CallKey) {
        let call = &mut self.calls[key];
        call.written = true;
        let forwarder = call.forwarder;
        let target = call.target;
        let lane = call.lane;
        let is_health_check = call.is_health_check;
        let members = std::mem::take(&mut call.members);
        let dropped = call.dropped;
        let from = self.forwarders[forwarder as usize].zone;
        let to = self.targets[target as usize].zone as usize;
        if is_health_check {
            self.observe(Observation::HealthCheckSent {
                forwarder,
                target,
                lane,
            });
        }
        for member in &members {
            self.observe(Observation::AttemptSent {
                forwarder,
                event: member.number,
                target,
                group: to as u32,
                lane,
            });
        }
        self.calls[key].members = members;
        let Some(travel) = self.travel(from, to) else {
            return;
        };
        if dropped {
            self.calls[key].outcome = AttemptOutcome::Reset;
            self.queue.put(self.now + 2.0 * travel, Step::Answered(key));
        } else {
            self.queue.put(self.now + travel, Step::Arrives(key));
        }
    }

    /// Takes the idle connection to the target that was used last. Returns whether the
    /// target has dropped that connection, which is not visible to the forwarder.
    pub(super) fn take_idle(&mut self, forwarder: u32, target: u32) -> Option<bool> {
        let now = self.now;
        let idle = &mut self.forwarders[forwarder as usize].idle;
        let open = idle.get_mut(&target)?;
        let closed = open
            .iter()
            .filter(|idle| idle.since + IDLE_TIMEOUT <= now && !idle.dropped)
            .count();
        open.retain(|idle| idle.since + IDLE_TIMEOUT > now);
        let taken = open.pop();
        if open.is_empty() {
            idle.remove(&target);
        }
        self.close_connections(target, closed);
        taken.map(|idle| idle.dropped)
    }

    pub(super) fn close_connections(&mut self, target: u32, closed: usize) {
        let target_state = &mut self.targets[target as usize];
        target_state.connections = target_state.connections.saturating_sub(closed as u32);
    }

    pub(super) fn put_back(&mut self, forwarder: u32, target: u32, kept: bool) {
        if !kept || self.targets[target as usize].listing == EndpointState::Removed {
            return self.close_connections(target, 1);
        }
        let idle = IdleConnection {
            since: self.now,
            dropped: false,
        };
        self.forwarders[forwarder as usize]
            .idle
            .entry(target)
            .or_default()
            .push(idle);
        let reaped_after = self
            .group_of(self.targets[target as usize].destination)
            .idle_timeout;
        if reaped_after > 0.0 {
            self.queue.put(
                self.now + reaped_after,
                Step::IdleConnectionDropped(forwarder, target, self.now),
            );
        }
    }

    /// The target drops a connection that has been idle since `since`, without notice: the next call
    /// on that connection is reset.
    pub(super) fn drop_idle_connection(&mut self, forwarder: u32, target: u32, since: Ms) {
        let Some(open) = self.forwarders[forwarder as usize].idle.get_mut(&target) else {
            return;
        };
        let idle_connection = open
            .iter_mut()
            .find(|idle| idle.since == since && !idle.dropped);
        if let Some(idle) = idle_connection {
            idle.dropped = true;
            self.close_connections(target, 1);
        }
    }

    pub(super) fn close_idle(&mut self, forwarder: u32, target: u32) {
        let open = self.forwarders[forwarder as usize]
            .idle
            .remove(&target)
            .unwrap_or_default();
        self.close_connections(target, open.iter().filter(|idle| !idle.dropped).count());
    }
}
