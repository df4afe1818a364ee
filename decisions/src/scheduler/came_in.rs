//! What came in, handed over by the host: the list, events, and what an earlier process did.

use super::*;

/// Long enough to count a member's events at one forwarder of many, short against a flood of some seconds.
const SHARED: Ms = 10_000.0;

impl Scheduler {
    pub fn on_endpoint_list_replaced(&mut self) {
        for (&id, destination) in &mut self.destinations {
            let targets = destination
                .lanes
                .iter_mut()
                .flat_map(|lane| &mut lane.targets);
            targets.for_each(|target| target.listing = EndpointState::Removed);
            self.changed.insert(id);
        }
    }

    /// What the list, or the operators, say now of a target that was listed before.
    pub fn set_endpoint_state(&mut self, id: &TargetId, listing: EndpointState) {
        let Some(&of) = self.homes.get(id) else {
            return;
        };
        let target = self
            .destinations
            .get_mut(&of)
            .and_then(|home| home.target_mut(id));
        target.expect("at home").listing = listing;
        self.changed.insert(of);
    }

    pub fn on_endpoint_listed(
        &mut self,
        id: TargetId,
        of: DestinationId,
        kind: DestinationKindId,
        zone: ZoneId,
        listing: EndpointState,
    ) {
        self.homes.insert(id.clone(), of);
        self.changed.insert(of);
        let destination = self.destinations.entry(of).or_default();
        destination.kind = kind;
        if let Some(target) = destination.target_mut(&id) {
            return target.listing = listing;
        }
        if destination.lanes.is_empty()
            || self.here.terms.destination_kinds[kind.0].independent_routes
        {
            destination.lanes.push(Lane::default());
        }
        destination
            .lanes
            .last_mut()
            .expect("pushed")
            .targets
            .push(Target::new(id, zone, listing));
    }

    /// What the list says that the destination takes from all forwarders together, in calls a second.
    pub fn set_advertised_rate(&mut self, of: DestinationId, rate: f64) {
        self.destinations.entry(of).or_default().told_rate = rate.max(0.0);
    }

    /// The list names the destination, or did so lately: an event for any other could only wait for its end.
    pub fn knows_destination(&self, of: DestinationId) -> bool {
        self.destinations.contains_key(&of)
    }

    pub fn accept_event(
        &mut self,
        id: EventId,
        of: DestinationId,
        sort: TrafficTypeId,
        end: Ms,
        key: Option<OrderKey>,
    ) {
        let key = key.filter(|_| self.here.terms.traffic_types[sort.0].ordered);
        self.taken += 1;
        self.places.insert(id.clone(), (of, self.taken));
        key.into_iter().for_each(|key| {
            self.keys
                .entry(key)
                .or_default()
                .queue
                .push_back((self.taken, of))
        });
        let to = self.destinations.entry(of).or_default();
        to.offered.add(self.here.now, USUAL, 1.0);
        to.events.insert(
            self.taken,
            Event {
                id,
                traffic: sort,
                key,
                patience_ends: end,
                ..Event::default()
            },
        );
        self.changed.insert(of);
    }

    /// The member that asked for an event just taken, first or again. What it asks beyond its even part
    /// of the share is worth little; a Poisson spread is allowed for, as one of many sees few.
    pub fn charge_member(&mut self, id: &EventId, member: usize, again: bool) {
        let here = &mut self.here;
        let Some(share) = here.terms.member_quotas.get(member) else {
            return;
        };
        let part = share / here.terms.forwarder_count * SHARED / 1000.0;
        let over = here.asked[member].read(here.now, SHARED) >= part + part.sqrt() + 1.0;
        here.asked[member].add(here.now, SHARED, if over || again { 0.0 } else { 1.0 });
        self.settle(id, |event| event.over_share = over);
    }

    pub fn withdraw_event(&mut self, id: &EventId) {
        self.settle(id, |event| event.over = true);
    }

    /// The notice of the event's end was heard: only now may the next one of its key go.
    pub fn on_completion_acknowledged(&mut self, id: &EventId) {
        self.settle(id, |event| event.unheard = false);
    }

    /// The event ended in an earlier process, and its notice may not have been heard.
    pub fn restore_completed(&mut self, id: &EventId) {
        self.settle(id, |event| (event.over, event.unheard) = (true, true));
    }

    pub(super) fn settle(&mut self, id: &EventId, change: impl FnOnce(&mut Event)) {
        let Some(&(of, place)) = self.places.get(id) else {
            return;
        };
        let event = self
            .destinations
            .get_mut(&of)
            .and_then(|to| to.events.get_mut(&place))
            .expect("placed");
        self.unheard -= event.unheard as usize;
        change(event);
        self.unheard += event.unheard as usize;
        self.changed.insert(of);
        self.forget_if_over(of, place);
    }

    /// What an earlier process did for an event just taken again; a last send without outcome may have run.
    pub fn restore_attempts(
        &mut self,
        id: &EventId,
        sends: u32,
        ran: Option<(Ms, ZoneId)>,
        was_out: bool,
    ) {
        let mut key = None;
        self.settle(id, |e| {
            (e.sends, e.may_have_run, e.untried, key) = (sends, ran, sends == 0, e.key)
        });
        key.filter(|_| was_out)
            .into_iter()
            .for_each(|key| self.rest(key));
    }

    /// What an earlier process noted: its backlog must not push over a destination that comes back.
    pub fn restore_warm_up(&mut self, target: &TargetId, since: Ms, usual: f64) {
        let Some(to) = self
            .homes
            .get(target)
            .and_then(|of| self.destinations.get_mut(of))
        else {
            return;
        };
        let at = to.lane_of(target).expect("at home");
        to.lanes[at].chill(since);
        to.noted = (usual, self.here.now);
        // Many restart together: their first calls are spread as those after a ping's answer.
        let spread = to.rate(&self.here, at).map_or(0.0, |rate| 1000.0 / rate);
        let first = spread.min(to.ping_pause(&mut self.here, at)) * self.here.draw(6);
        to.lanes[at].next_slot = self.here.now + first;
    }

    /// It was restarted and serves again: what it did before says nothing, and what is new to it is cold.
    pub fn on_target_restarted(&mut self, id: &TargetId) {
        let Some(to) = self
            .homes
            .get(id)
            .and_then(|of| self.destinations.get_mut(of))
        else {
            return;
        };
        let at = to.lane_of(id).expect("at home");
        to.lanes[at].chill(self.here.now);
        let target = to.lanes[at].target_mut(id).expect("at home");
        (target.failures, target.shunned_until) = (0, 0.0);
    }

    /// The process ends then; a call still out may have run, so that none begins in the last moments.
    pub fn begin_shutdown(&mut self, ends: Ms) {
        self.sends_until = Moment(ends - LEAST_TIME);
    }
}
