//! Checks whether a history of requests to the register is linearizable, for histories of any
//! length.
//!
//! Implements the search of Wing and Gong ("Testing and verifying concurrent objects", 1993) in
//! temporal order: only requests that overlap the earliest request without a place in the
//! linearization are candidates for the next place, so the search starts afresh wherever no request
//! is open. Two properties of the register keep the search short. A request that changes nothing is
//! placed as soon as possible, because its place does not affect other requests. Versions only
//! increase, so a put without a response, which may take effect at any later time or never, is a
//! candidate only while the version on which it is based is current.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::{Content, Request, Response};

/// A request with the times of its call and its response, which are positions in the history.
#[derive(Clone, Debug)]
pub struct TimedRequest {
    pub request: Request,
    pub called_at: usize,
    /// The time and the response; `None` if there was no definite response.
    pub response: Option<(usize, Response)>,
}

/// A history as observed by the clients.
#[derive(Clone, Debug, Default)]
pub struct ObservedHistory {
    requests: Vec<TimedRequest>,
    now: usize,
}

impl ObservedHistory {
    /// Records the call of a request and returns its number.
    pub fn record_call(&mut self, request: Request) -> usize {
        self.now += 1;
        self.requests.push(TimedRequest {
            request,
            called_at: self.now,
            response: None,
        });
        self.requests.len() - 1
    }

    /// Records a definite response.
    pub fn record_response(&mut self, number: usize, response: Response) {
        self.now += 1;
        self.requests[number].response = Some((self.now, response));
    }

    pub fn requests(&self) -> &[TimedRequest] {
        &self.requests
    }

    /// Returns whether the history is linearizable: some order of the requests, in which each takes
    /// effect between its call and its response, is consistent with all responses.
    pub fn is_linearizable(&self) -> bool {
        Search::new(&self.requests).finds_linearization()
    }
}

/// Identifies a state of the register: the sequence of all contents so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct StateId(usize);

/// The states reached so far, each with its predecessor.
struct States {
    known: Vec<(StateId, Content)>,
    ids: HashMap<(StateId, Content), StateId>,
}

impl States {
    const EMPTY: StateId = StateId(0);

    fn new() -> Self {
        Self {
            known: vec![(Self::EMPTY, (0, 0))],
            ids: HashMap::new(),
        }
    }

    fn current(&self, state: StateId) -> Content {
        self.known[state.0].1
    }

    fn after(&mut self, state: StateId, content: Content) -> StateId {
        let next = StateId(self.known.len());
        let id = *self.ids.entry((state, content)).or_insert(next);
        if id == next {
            self.known.push((state, content));
        }
        id
    }

    /// Returns whether `content` is the current or an earlier content.
    fn has_accepted(&self, state: StateId, content: Content) -> bool {
        let mut state = state;
        while self.current(state).0 > content.0 {
            state = self.known[state.0].0;
        }
        state != Self::EMPTY && self.current(state) == content
    }
}

/// The effect of a request in a state.
enum Effect {
    NoChange,
    Changes(Content),
    /// The response is not possible in this state.
    Impossible,
}

/// The progress of the search: all requests with a response before `first`, and those in `placed`,
/// have a place in the linearization.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Progress {
    first: usize,
    placed: BTreeSet<usize>,
    state: StateId,
}

struct Search<'a> {
    /// Requests with a response, in the order of their calls.
    with_response: Vec<&'a TimedRequest>,
    /// Puts without a response, by the version on which they are based.
    without_response: HashMap<u64, Vec<&'a TimedRequest>>,
    states: States,
}

impl<'a> Search<'a> {
    fn new(requests: &'a [TimedRequest]) -> Self {
        let mut with_response: Vec<_> = requests
            .iter()
            .filter(|request| request.response.is_some())
            .collect();
        with_response.sort_by_key(|request| request.called_at);
        let mut without_response: HashMap<u64, Vec<_>> = HashMap::new();
        for request in requests.iter().filter(|request| request.response.is_none()) {
            if let Request::Put { expected, .. } = request.request {
                without_response.entry(expected).or_default().push(request);
            }
        }
        Self {
            with_response,
            without_response,
            states: States::new(),
        }
    }

    fn finds_linearization(mut self) -> bool {
        let start = Progress {
            first: 0,
            placed: BTreeSet::new(),
            state: States::EMPTY,
        };
        let mut visited = HashSet::new();
        let mut stack = vec![start];
        while let Some(mut progress) = stack.pop() {
            self.place_requests_without_effect(&mut progress);
            if progress.first == self.with_response.len() {
                return true;
            }
            if visited.insert(progress.clone()) {
                self.add_successors(&progress, &mut stack);
            }
        }
        false
    }

    /// Returns the requests with a response that are candidates for the next place, and the time of
    /// the first response among the requests without a place.
    fn candidates(&self, progress: &Progress) -> (Vec<usize>, usize) {
        let mut candidates = Vec::new();
        let mut first_response_at = usize::MAX;
        for (number, request) in self.with_response.iter().enumerate().skip(progress.first) {
            if request.called_at > first_response_at {
                break;
            }
            if progress.placed.contains(&number) {
                continue;
            }
            if let Some((responded_at, _)) = request.response {
                first_response_at = first_response_at.min(responded_at);
            }
            candidates.push(number);
        }
        candidates.retain(|number| self.with_response[*number].called_at < first_response_at);
        (candidates, first_response_at)
    }

    fn place_requests_without_effect(&self, progress: &mut Progress) {
        loop {
            let (candidates, _) = self.candidates(progress);
            let found = candidates.into_iter().find(|number| {
                let request = self.with_response[*number];
                matches!(self.effect(request, progress.state), Effect::NoChange)
            });
            match found {
                Some(number) => progress.place(number),
                None => return,
            }
        }
    }

    fn add_successors(&mut self, progress: &Progress, stack: &mut Vec<Progress>) {
        let (candidates, first_response_at) = self.candidates(progress);
        let current = self.states.current(progress.state);
        let without_response = self.without_response.get(&current.0).into_iter().flatten();
        let mut possible_contents = Vec::new();
        for request in without_response.filter(|request| request.called_at < first_response_at) {
            if let Request::Put { content, .. } = request.request {
                if content.0 > current.0 {
                    possible_contents.push(content);
                }
            }
        }
        for content in possible_contents {
            let mut next = progress.clone();
            next.state = self.states.after(progress.state, content);
            stack.push(next);
        }
        for number in candidates {
            if let Effect::Changes(content) =
                self.effect(self.with_response[number], progress.state)
            {
                let mut next = progress.clone();
                next.state = self.states.after(progress.state, content);
                next.place(number);
                stack.push(next);
            }
        }
    }

    fn effect(&self, request: &TimedRequest, state: StateId) -> Effect {
        let current = self.states.current(state);
        let Some((_, response)) = &request.response else {
            return Effect::Impossible;
        };
        match (&request.request, response) {
            (Request::Read, Response::Read(content)) if *content == current => Effect::NoChange,
            (Request::Put { expected, content }, response) => {
                let was_accepted = self.states.has_accepted(state, *content);
                let would_change = *expected == current.0 && content.0 > current.0;
                match response {
                    Response::Accepted if was_accepted => Effect::NoChange,
                    Response::Accepted if would_change => Effect::Changes(*content),
                    Response::Rejected if !was_accepted && !would_change => Effect::NoChange,
                    _ => Effect::Impossible,
                }
            }
            _ => Effect::Impossible,
        }
    }
}

impl Progress {
    fn place(&mut self, number: usize) {
        self.placed.insert(number);
        while self.placed.remove(&self.first) {
            self.first += 1;
        }
    }
}
