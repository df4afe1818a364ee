//! Pins the bytes of all messages on a connection to a store, between a proxy and a store and between
//! two stores. The expected bytes are in `wire_format/` and never change; some of their labels are
//! earlier names of the values.

mod pins;

use std::sync::Arc;

use pins::values::{
    account, location, member, previous, program, record, retained_turn, turn, turn_update, view,
};
use pins::{all_values, Pins};
use plankhill_conversations::peer::{
    PeerCall, PeerReply, PeerRequest, PeerResponse, ProgramDigest, ProgramOutline, StoreSet,
};
use plankhill_conversations::turn_index::{TurnEntry, TurnIndex};
use plankhill_conversations::wire::{StoreRequest, StoreResponse};
use plankhill_protocol::ids::{ProgramId, StoreEpoch};
use plankhill_protocol::store_calls::{Reservation, StoreCall, StoreReply, TurnLifetime};

fn next_store_set(last: Option<&StoreSet>) -> Option<StoreSet> {
    match last {
        None => Some(StoreSet::Serving),
        Some(StoreSet::Serving) => Some(StoreSet::Next),
        Some(StoreSet::Next) => None,
    }
}

fn next_peer_request(last: Option<&PeerRequest>) -> Option<PeerRequest> {
    match last {
        None => Some(PeerRequest::Reserve {
            program: program(),
            turn: turn(),
            max_tokens: 70_000,
            previous: Some(previous()),
        }),
        Some(PeerRequest::Reserve { .. }) => Some(PeerRequest::EndTurn(turn_update())),
        Some(PeerRequest::EndTurn(_)) => Some(read_chain(Some(600_000))),
        Some(PeerRequest::ReadChain { .. }) => Some(PeerRequest::LocateTurn { turn: turn() }),
        Some(PeerRequest::LocateTurn { .. }) => Some(PeerRequest::ExtendRetention {
            turn: turn(),
            retention_ms: 60_000,
        }),
        Some(PeerRequest::ExtendRetention { .. }) => {
            Some(PeerRequest::Repair(vec![turn_update(), turn_update()]))
        }
        Some(PeerRequest::Repair(_)) => Some(PeerRequest::StoreHint {
            node: member(3).node,
            program: program(),
            turn: turn(),
        }),
        Some(PeerRequest::StoreHint { .. }) => Some(PeerRequest::ListPrograms {
            set: StoreSet::Next,
            store: member(3),
            after: Some(program()),
        }),
        Some(PeerRequest::ListPrograms { .. }) => Some(PeerRequest::OutlinePrograms {
            programs: vec![program(), ProgramId::from("program-2")],
        }),
        Some(PeerRequest::OutlinePrograms { .. }) => Some(PeerRequest::FetchTurns {
            turns: vec![previous(), turn()],
        }),
        Some(PeerRequest::FetchTurns { .. }) => Some(PeerRequest::InstallView(view())),
        Some(PeerRequest::InstallView(_)) => None,
    }
}

fn read_chain(max_bytes: Option<u64>) -> PeerRequest {
    PeerRequest::ReadChain {
        turn: turn(),
        max_bytes,
    }
}

fn peer_request_name(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Reserve { .. } => "Reserve",
        PeerRequest::EndTurn(_) => "End",
        PeerRequest::ReadChain { .. } => "Chain",
        PeerRequest::LocateTurn { .. } => "Locate",
        PeerRequest::ExtendRetention { .. } => "Extend",
        PeerRequest::Repair(_) => "Repair",
        PeerRequest::StoreHint { .. } => "KeepHint",
        PeerRequest::ListPrograms { .. } => "ListPrograms",
        PeerRequest::OutlinePrograms { .. } => "OutlinePrograms",
        PeerRequest::FetchTurns { .. } => "FetchTurns",
        PeerRequest::InstallView(_) => "TakeView",
    }
}

fn next_peer_response(last: Option<&PeerResponse>) -> Option<PeerResponse> {
    match last {
        None => Some(PeerResponse::Account(account())),
        Some(PeerResponse::Account(_)) => Some(PeerResponse::Done),
        Some(PeerResponse::Done) => Some(PeerResponse::Chain {
            turns: vec![Arc::new(record())],
            rest: Some(location()),
        }),
        Some(PeerResponse::Chain { .. }) => Some(PeerResponse::TurnPresent),
        Some(PeerResponse::TurnPresent) => Some(PeerResponse::TurnAbsent),
        Some(PeerResponse::TurnAbsent) => Some(PeerResponse::Programs(vec![ProgramDigest {
            program: program(),
            digest: 0xfedc_ba98_7654_3210,
        }])),
        Some(PeerResponse::Programs(_)) => Some(outlines(Some(vec![vec![9_000, 70_000]]))),
        Some(PeerResponse::Outlines { .. }) => {
            Some(PeerResponse::Turns(vec![retained_turn(), retained_turn()]))
        }
        Some(PeerResponse::Turns(_)) => Some(PeerResponse::StaleEpoch(view())),
        Some(PeerResponse::StaleEpoch(_)) => Some(PeerResponse::ReceiverStale),
        Some(PeerResponse::ReceiverStale) => Some(PeerResponse::Unavailable),
        Some(PeerResponse::Unavailable) => None,
    }
}

fn outlines(remaining_ms: Option<Vec<Vec<u64>>>) -> PeerResponse {
    let outline = ProgramOutline {
        program: program(),
        account: account(),
        turns: vec![previous(), turn()],
    };
    PeerResponse::Outlines {
        programs: vec![outline],
        remaining_ms,
    }
}

fn peer_response_name(response: &PeerResponse) -> &'static str {
    match response {
        PeerResponse::Account(_) => "Account",
        PeerResponse::Done => "Done",
        PeerResponse::Chain { .. } => "Chain",
        PeerResponse::TurnPresent => "Located",
        PeerResponse::TurnAbsent => "NotHere",
        PeerResponse::Programs(_) => "Programs",
        PeerResponse::Outlines { .. } => "Outlines",
        PeerResponse::Turns(_) => "Turns",
        PeerResponse::StaleEpoch(_) => "OldEpoch",
        PeerResponse::ReceiverStale => "Behind",
        PeerResponse::Unavailable => "Unable",
    }
}

fn next_store_call(last: Option<&StoreCall>) -> Option<StoreCall> {
    match last {
        None => Some(begin_turn(Some(TurnLifetime {
            timeout_ms: 5_000,
            retention_ms: 60_000,
        }))),
        Some(StoreCall::BeginTurn { .. }) => Some(StoreCall::EndTurn {
            epoch: StoreEpoch(300),
            program: program(),
            turn: turn(),
            tokens: Some(1_234),
            record: Some(record()),
        }),
        Some(StoreCall::EndTurn { .. }) => None,
    }
}

fn begin_turn(lifetime: Option<TurnLifetime>) -> StoreCall {
    StoreCall::BeginTurn {
        epoch: StoreEpoch(300),
        program: program(),
        turn: turn(),
        reservation: Some(Reservation {
            budget: 100_000,
            max_tokens: 70_000,
        }),
        previous: Some(previous()),
        lifetime,
    }
}

fn store_call_name(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::BeginTurn { .. } => "BeginTurn",
        StoreCall::EndTurn { .. } => "EndTurn",
    }
}

fn next_store_reply(last: Option<&StoreReply>) -> Option<StoreReply> {
    match last {
        None => Some(StoreReply::Begun {
            history: Arc::from(*b"a history"),
            previous: Some(location()),
        }),
        Some(StoreReply::Begun { .. }) => Some(StoreReply::BudgetExhausted),
        Some(StoreReply::BudgetExhausted) => Some(StoreReply::NoSuchTurn),
        Some(StoreReply::NoSuchTurn) => Some(StoreReply::Ended),
        Some(StoreReply::Ended) => Some(StoreReply::Unavailable),
        Some(StoreReply::Unavailable) => Some(StoreReply::StaleEpoch(StoreEpoch(301))),
        Some(StoreReply::StaleEpoch(_)) => None,
    }
}

fn store_reply_name(reply: &StoreReply) -> &'static str {
    match reply {
        StoreReply::Begun { .. } => "Begun",
        StoreReply::BudgetExhausted => "BudgetSpent",
        StoreReply::NoSuchTurn => "NoSuchTurn",
        StoreReply::Ended => "Ended",
        StoreReply::Unavailable => "Unsure",
        StoreReply::StaleEpoch(_) => "OldEpoch",
    }
}

/// All requests, with their labels in the fixture file.
fn requests() -> Vec<(String, StoreRequest)> {
    let from_proxies = all_values(next_store_call).into_iter().map(|call| {
        (
            format!("Proxy.{}", store_call_name(&call)),
            StoreRequest::Proxy(call),
        )
    });
    let from_peers = all_values(next_peer_request).into_iter().map(|body| {
        let name = format!("Peer.{}", peer_request_name(&body));
        (
            name,
            StoreRequest::Peer(PeerCall {
                epoch: StoreEpoch(300),
                body,
            }),
        )
    });
    from_proxies.chain(from_peers).collect()
}

/// All replies, with their labels in the fixture file.
fn replies() -> Vec<(String, StoreResponse)> {
    let to_proxies = all_values(next_store_reply).into_iter().map(|reply| {
        (
            format!("Proxy.{}", store_reply_name(&reply)),
            StoreResponse::Proxy(reply),
        )
    });
    let to_peers = all_values(next_peer_response).into_iter().map(|body| {
        let name = format!("Peer.{}", peer_response_name(&body));
        (
            name,
            StoreResponse::Peer(PeerReply {
                incarnation: member(1).incarnation,
                body,
            }),
        )
    });
    to_proxies.chain(to_peers).collect()
}

#[test]
fn requests_to_stores_keep_their_bytes() {
    let mut pins = Pins::parse(include_str!("wire_format/requests.txt"));
    for (name, request) in requests() {
        match &request {
            StoreRequest::Proxy(_) | StoreRequest::Peer(_) => pins.check(&name, &request),
        }
    }
    for set in all_values(next_store_set) {
        let name = match set {
            StoreSet::Serving => "StoreSet.Serving",
            StoreSet::Next => "StoreSet.Next",
        };
        pins.check(name, &set);
    }
    pins.finish();
}

/// A proxy of a version without the field `lifetime` sends a frame that ends before it.
#[test]
fn a_request_to_begin_a_turn_without_lifetime_is_decoded() {
    let text = include_str!("wire_format/begin_turn_without_lifetime.txt");
    let earlier = Pins::parse(text).take("Proxy.BeginTurn");
    let decoded: StoreRequest = postcard::from_bytes(&earlier).expect("an earlier request");
    assert_eq!(decoded, StoreRequest::Proxy(begin_turn(None)));
}

/// A store of a version without the field `max_bytes` sends a frame that ends before it, and decodes a frame with
/// the field up to there.
#[test]
fn a_request_to_read_a_chain_without_maximum_is_decoded() {
    let text = include_str!("wire_format/read_chain_without_maximum.txt");
    let earlier = Pins::parse(text).take("Peer.Chain");
    let request = |max_bytes| {
        StoreRequest::Peer(PeerCall {
            epoch: StoreEpoch(300),
            body: read_chain(max_bytes),
        })
    };
    let decoded: StoreRequest = postcard::from_bytes(&earlier).expect("an earlier request");
    assert_eq!(decoded, request(None));
    let sent = postcard::to_stdvec(&request(Some(600_000))).expect("a request");
    assert!(sent.starts_with(&earlier));
}

/// A store of a version without the field `remaining_ms` sends a frame that ends before it, and decodes a frame
/// with the field up to there.
#[test]
fn outlines_without_retention_times_are_decoded() {
    let text = include_str!("wire_format/outlines_without_retention.txt");
    let earlier = Pins::parse(text).take("Peer.Outlines");
    let reply = |remaining_ms| {
        StoreResponse::Peer(PeerReply {
            incarnation: member(1).incarnation,
            body: outlines(remaining_ms),
        })
    };
    let decoded: StoreResponse = postcard::from_bytes(&earlier).expect("an earlier reply");
    assert_eq!(decoded, reply(None));
    let sent = postcard::to_stdvec(&reply(Some(Vec::new()))).expect("a reply");
    assert!(sent.starts_with(&earlier));
}

#[test]
fn replies_of_stores_keep_their_bytes() {
    let mut pins = Pins::parse(include_str!("wire_format/answers.txt"));
    for (name, reply) in replies() {
        match &reply {
            StoreResponse::Proxy(_) | StoreResponse::Peer(_) => pins.check(&name, &reply),
        }
    }
    pins.finish();
}

/// Two stores compare digests: both have to compute the same digest of the same turns, whichever
/// version they run.
#[test]
fn digests_of_programs_keep_their_values() {
    let mut pins = Pins::parse(include_str!("wire_format/digests.txt"));
    let mut index = TurnIndex::default();
    pins.check("NoAccountNoTurns", &index.digest(&program()));
    for (turn, state) in account().turns() {
        index.merge_state(&program(), turn, state, 1_000);
    }
    pins.check("AccountOfThreeStates", &index.digest(&program()));
    index.retain(&turn(), TurnEntry::new(&record(), 5_000));
    pins.check("AccountAndOneTurn", &index.digest(&program()));
    pins.finish();
}
