//! Values whose bytes are pinned, with a non-default value in every field.

use std::net::SocketAddr;
use std::sync::Arc;

use plankhill_conversations::account::{Account, TurnState};
use plankhill_conversations::peer::{RetainedTurn, TurnUpdate};
use plankhill_protocol::ids::{Incarnation, NodeId, ProgramId, RequestId, StoreEpoch, ZoneName};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::all_values;

pub fn program() -> ProgramId {
    ProgramId::from("program-1")
}

pub fn turn() -> RequestId {
    RequestId::from("turn-2")
}

pub fn previous() -> RequestId {
    RequestId::from("turn-1")
}

pub fn location() -> TurnLocation {
    TurnLocation {
        turn: previous(),
        program: ProgramId::from("program-0"),
    }
}

pub fn record() -> TurnRecord {
    TurnRecord {
        turn: turn(),
        program: program(),
        previous: Some(location()),
        input: Arc::from(*b"the input\n"),
        output: Arc::from(*b"the output\n"),
        retention_ms: 86_400_000,
    }
}

pub fn retained_turn() -> RetainedTurn {
    RetainedTurn {
        record: Arc::new(record()),
        remaining_ms: 3_600_001,
    }
}

pub fn turn_update() -> TurnUpdate {
    TurnUpdate {
        program: program(),
        turn: turn(),
        state: Some(TurnState::Committed { tokens: 1_234 }),
        retained: Some(retained_turn()),
    }
}

pub fn member(number: u8) -> StoreMember {
    StoreMember {
        node: NodeId::from(format!("store-{number}").as_str()),
        incarnation: Incarnation(0x0123_4567_89ab_cdef + u64::from(number)),
        address: SocketAddr::from(([10, 0, 0, number], 7_000)),
        zone: ZoneName::from(format!("zone-{number}").as_str()),
    }
}

pub fn view() -> StoreView {
    StoreView {
        epoch: StoreEpoch(300),
        serving: vec![member(1), member(2)],
        next: Some(vec![member(2), member(3)]),
        tolerated_faults: 2,
    }
}

/// An account with a turn in each state.
pub fn account() -> Account {
    let mut account = Account::default();
    for (number, state) in all_values(next_turn_state).into_iter().enumerate() {
        account.merge(&RequestId::from(format!("turn-{number}").as_str()), state);
    }
    account
}

/// The turn state after `last`, for [`all_values`].
pub fn next_turn_state(last: Option<&TurnState>) -> Option<TurnState> {
    match last {
        None => Some(TurnState::Reserved { max_tokens: 70_000 }),
        Some(TurnState::Reserved { .. }) => Some(TurnState::Rejected),
        Some(TurnState::Rejected) => Some(TurnState::Committed { tokens: 1_234 }),
        Some(TurnState::Committed { .. }) => None,
    }
}
