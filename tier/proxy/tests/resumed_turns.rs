//! Tests of retained turns whose streams are resumed by their clients: the record of a turn has exactly the
//! events that its client has, whichever attempts and proxies delivered them.

mod support;

use std::rc::Rc;

use plankhill_protocol::ids::RequestId;
use support::fixture::{chunk, event, stream_head, turn, ProxyFixture, LAST_CHUNK};
use support::on_one_thread;
use support::peer::{Peer, ScriptedTarget};
use support::stores::Stores;

/// Time for which the property test draws new cases.
const PROPERTY_BUDGET_MS: u64 = 3_000;

/// A budget that no case exhausts.
const BUDGET: &str = "Budget: 100000";

/// Two proxies with the same stores and the same target.
struct Deployment {
    target: ScriptedTarget,
    stores: Rc<Stores>,
    proxies: [ProxyFixture; 2],
}

/// A client's attempt whose request has arrived at the target.
struct RunningAttempt {
    client: Peer,
    target: Peer,
    /// The `Last-Event-Id` that the target received.
    resumed_after: Option<u64>,
}

impl Deployment {
    async fn start() -> Deployment {
        let target = ScriptedTarget::start().await;
        let stores: Rc<Stores> = Rc::default();
        let first = ProxyFixture::with_stores(&[&target], stores.clone()).await;
        let second = ProxyFixture::with_stores(&[&target], stores.clone()).await;
        Deployment {
            target,
            stores,
            proxies: [first, second],
        }
    }

    /// Sends an attempt to a proxy.
    ///
    /// # Errors
    /// The status of the response if the target gets no request.
    async fn send(
        &self,
        proxy: usize,
        id: &str,
        last_event_id: Option<u64>,
    ) -> Result<RunningAttempt, u16> {
        let mut client = self.proxies[proxy].client().await;
        let header = match last_event_id {
            Some(id) => format!("Last-Event-Id: {id}\r\n"),
            None => String::new(),
        };
        let request = turn("kept-resume", id, &header, "in");
        client.send(&request.replace("Budget: 100", BUDGET)).await;
        tokio::select! {
            response = client.receive() => Err(response.expect("a response").status()),
            (target, request) = self.target.accept_request() => {
                let resumed_after = request.header("last-event-id");
                let resumed_after = resumed_after.map(|id| id.parse().expect("a number"));
                Ok(RunningAttempt { client, target, resumed_after })
            }
        }
    }

    /// The output in the record of a turn.
    fn output(&self, turn: &str) -> String {
        let record = self.stores.record(&RequestId::from(turn));
        let record = record.expect("the turn is stored");
        String::from_utf8(record.output.to_vec()).expect("text")
    }
}

impl RunningAttempt {
    /// Sends events in one piece, and waits until the client has them.
    async fn deliver(&mut self, id: &str, events: &[String]) {
        let events = events.concat();
        self.target.send(&stream_head(id, "s")).await;
        if events.is_empty() {
            return;
        }
        self.target.send(&chunk(&events)).await;
        self.client.read_head().await.expect("a head");
        let delivered = self.client.read_chunk().await;
        assert_eq!(delivered, Some(Some(events.into_bytes())));
    }

    /// Ends the stream, and waits until the client has its end.
    async fn end(mut self) {
        self.target.send(LAST_CHUNK).await;
        assert_eq!(self.client.read_chunk().await, Some(None));
    }
}

/// Guards against a conversation with missing words: a client that resumed a stream at another proxy had its turn
/// stored with the later events only.
#[test]
fn a_turn_resumed_at_another_proxy_is_stored_with_its_earlier_events() {
    on_one_thread(async {
        let deployment = Deployment::start().await;
        let mut first = deployment.send(0, "r1", None).await.expect("it runs");
        first.deliver("r1", &[event(1, "a"), event(2, "b")]).await;
        drop(first);
        let mut second = deployment.send(1, "r2", Some(2)).await.expect("it runs");
        assert_eq!(second.resumed_after, Some(2));
        second.deliver("r2", &[event(3, "c")]).await;
        second.end().await;
        assert_eq!(deployment.output("r2"), "a\nb\nc\n");
        let ended = deployment.stores.ended.borrow();
        let end = ended.iter().find(|end| end.turn.as_str() == "r2");
        assert_eq!(
            end.expect("an end").tokens,
            Some(3),
            "the tokens of this attempt alone"
        );
    });
}

/// Guards against words that the client never got: of the events in one piece it may have read some only.
#[test]
fn events_after_the_one_that_the_client_has_are_not_stored() {
    on_one_thread(async {
        let deployment = Deployment::start().await;
        let mut first = deployment.send(0, "r1", None).await.expect("it runs");
        let piece = [event(1, "a"), event(2, "b"), event(3, "c")];
        first.deliver("r1", &piece).await;
        drop(first);
        let mut second = deployment.send(1, "r2", Some(1)).await.expect("it runs");
        second.deliver("r2", &[event(2, "x")]).await;
        drop(second);
        let mut third = deployment.send(0, "r3", Some(1)).await.expect("it runs");
        third.deliver("r3", &[event(2, "y")]).await;
        third.end().await;
        assert_eq!(deployment.output("r3"), "a\ny\n");
    });
}

#[test]
fn a_stream_resumed_after_unknown_events_is_rejected() {
    on_one_thread(async {
        let deployment = Deployment::start().await;
        let outcome = deployment.send(0, "r1", Some(7)).await;
        assert_eq!(outcome.err(), Some(503));
    });
}

/// Two attempts from the start have delivered different events, and the one that the client has is not known.
#[test]
fn a_stream_resumed_after_ambiguous_events_is_rejected() {
    on_one_thread(async {
        let deployment = Deployment::start().await;
        for (id, data) in [("r1", "a"), ("r2", "x")] {
            let mut attempt = deployment.send(0, id, None).await.expect("it runs");
            attempt.deliver(id, &[event(1, data)]).await;
        }
        let outcome = deployment.send(1, "r3", Some(1)).await;
        assert_eq!(outcome.err(), Some(503));
        // From the start it runs.
        assert!(deployment.send(1, "r4", None).await.is_ok());
    });
}

#[test]
fn an_event_that_cannot_be_stored_is_not_forwarded() {
    on_one_thread(async {
        let deployment = Deployment::start().await;
        let mut attempt = deployment.send(0, "r1", None).await.expect("it runs");
        deployment.stores.fail_ends.set(true);
        let stream = stream_head("r1", "s") + &chunk(&event(1, "a"));
        attempt.target.send(&stream).await;
        let response = attempt.client.receive().await.expect("a response");
        assert_eq!(response.status(), 502);
        assert_eq!(response.header("upstream-signature"), None);
    });
}

/// One attempt of a drawn case.
#[derive(Debug)]
struct DrawnAttempt {
    proxy: usize,
    /// Whether the client resumes its stream, if it has events.
    resumes: bool,
    /// Events that the proxy delivers.
    delivered: u64,
    /// How many of these events the client reads.
    read: u64,
    /// Attempts of the same variant generate the same events.
    variant: u64,
}

/// What one attempt has delivered, together with the attempts that it resumed: the data of each event.
type Delivered = Vec<String>;

/// Whether attempts disagree on the events up to one that all of them have.
fn is_ambiguous(attempts: &[Delivered], events: usize) -> bool {
    let mut known = attempts
        .iter()
        .filter_map(|events_of| events_of.get(..events));
    let Some(first) = known.next() else {
        return false;
    };
    known.any(|other| other != first)
}

/// Plays the attempts, and then one from the start that completes the turn if the last one could not.
async fn play(attempts: &[DrawnAttempt]) {
    let deployment = Deployment::start().await;
    let mut history: Vec<Delivered> = Vec::new();
    let mut known: Delivered = Vec::new();
    for (number, drawn) in attempts.iter().enumerate() {
        if !drawn.resumes {
            known.clear();
        }
        let id = format!("r{number}");
        let last_event_id = (!known.is_empty()).then_some(known.len() as u64);
        let is_last = number + 1 == attempts.len();
        let mut running = match deployment.send(drawn.proxy, &id, last_event_id).await {
            Ok(running) => running,
            Err(status) => {
                assert_eq!(status, 503);
                assert!(is_ambiguous(&history, known.len()), "{history:?} {known:?}");
                known.clear();
                continue;
            }
        };
        assert_eq!(running.resumed_after, last_event_id);
        let first = known.len() as u64 + 1;
        let data = |event_id| format!("{}-{event_id}", drawn.variant);
        let event_ids = first..first + drawn.delivered;
        let events: Vec<String> = event_ids.clone().map(|at| event(at, &data(at))).collect();
        running.deliver(&id, &events).await;
        let mut delivered = known.clone();
        delivered.extend(event_ids.map(data));
        known.clone_from(&delivered);
        history.push(delivered);
        if is_last {
            running.end().await;
            let expected: String = known.iter().map(|data| format!("{data}\n")).collect();
            assert_eq!(deployment.output(&id), expected);
        } else {
            known.truncate((first - 1 + drawn.read) as usize);
        }
    }
}

/// Draws clients that break off after any event, and resume or start anew at any proxy.
#[test]
fn a_record_has_exactly_the_events_of_the_client() {
    arbtest::arbtest(|source| {
        let count = source.int_in_range(1..=5)?;
        let mut attempts = Vec::new();
        for number in 0..count {
            let is_last = number + 1 == count;
            let delivered = source.int_in_range(1..=4)?;
            attempts.push(DrawnAttempt {
                proxy: source.int_in_range(0..=1)?,
                resumes: source.ratio(3, 4)?,
                delivered,
                read: if is_last {
                    delivered
                } else {
                    source.int_in_range(0..=delivered)?
                },
                variant: source.int_in_range(0..=1)?,
            });
        }
        on_one_thread(play(&attempts));
        Ok(())
    })
    .budget_ms(PROPERTY_BUDGET_MS);
}
