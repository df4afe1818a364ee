//! Pins the bytes of all keys and rows of a store. The expected bytes are in `stored_format/` and never
//! change; some of their labels are earlier names of the values.

mod pins;

use std::sync::Arc;

use pins::values::{member, next_turn_state, program, record, turn, view};
use pins::{all_values, Pins};
use plankhill_conversations::account::TurnState;
use plankhill_conversations::keys::{account_key, hint_key, turn_key, INCARNATION_KEY, VIEW_KEY};
use plankhill_conversations::rows::{
    decode_row, incarnation_row, view_row, AccountRow, RowChange, Table, TurnRow,
};
use plankhill_protocol::ids::Incarnation;
use plankhill_protocol::tables::StoreView;

fn turn_row() -> TurnRow {
    TurnRow {
        expires_ms: 1_790_000_000_123,
        record: Arc::new(record()),
    }
}

fn value(change: RowChange) -> Vec<u8> {
    change.value.expect("a row that is set")
}

#[test]
fn keys_keep_their_bytes() {
    let mut pins = Pins::parse(include_str!("stored_format/keys.txt"));
    for table in Table::ALL {
        match table {
            Table::Turns => pins.check_bytes("Turns", &turn_key(&turn())),
            Table::Accounts => pins.check_bytes("Accounts", &account_key(&program(), &turn())),
            Table::Hints => {
                pins.check_bytes("Hints", &hint_key(&member(3).node, &program(), &turn()))
            }
            Table::Extensions => pins.check_bytes("Extensions", &turn_key(&turn())),
            Table::Metadata => {
                pins.check_bytes("Own.Incarnation", INCARNATION_KEY);
                pins.check_bytes("Own.View", VIEW_KEY);
            }
        }
    }
    pins.finish();
}

#[test]
fn rows_keep_their_bytes() {
    let mut pins = Pins::parse(include_str!("stored_format/rows.txt"));
    for table in Table::ALL {
        match table {
            Table::Turns => pins.check("Turns", &turn_row()),
            Table::Accounts => {
                for state in all_values(next_turn_state) {
                    let name = match state {
                        TurnState::Reserved { .. } => "Accounts.Reserved",
                        TurnState::Rejected => "Accounts.Refused",
                        TurnState::Committed { .. } => "Accounts.Settled",
                    };
                    pins.check(
                        name,
                        &AccountRow {
                            state,
                            used_ms: 1_790_000_000_456,
                        },
                    );
                }
            }
            Table::Hints => pins.check("Hints", &()),
            Table::Extensions => pins.check("Extensions", &1_790_000_000_789_u64),
            Table::Metadata => {
                pins.check("Own.Incarnation", &member(1).incarnation);
                pins.check("Own.View", &view());
            }
        }
    }
    pins.finish();
}

#[test]
fn row_changes_contain_the_pinned_bytes() {
    let mut pins = Pins::parse(include_str!("stored_format/rows.txt"));
    let incarnation = incarnation_row(member(1).incarnation);
    assert_eq!(
        (incarnation.table, incarnation.key.as_slice()),
        (Table::Metadata, INCARNATION_KEY)
    );
    let pinned = pins.take("Own.Incarnation");
    assert_eq!(
        decode_row::<Incarnation>(&pinned),
        Some(member(1).incarnation)
    );
    assert_eq!(value(incarnation), pinned);
    let row = view_row(&view());
    assert_eq!((row.table, row.key.as_slice()), (Table::Metadata, VIEW_KEY));
    let pinned = pins.take("Own.View");
    assert_eq!(decode_row::<StoreView>(&pinned), Some(view()));
    assert_eq!(value(row), pinned);
    let row = RowChange::set(Table::Turns, turn_key(&turn()), &turn_row());
    let pinned = pins.take("Turns");
    assert_eq!(decode_row::<TurnRow>(&pinned), Some(turn_row()));
    assert_eq!(value(row), pinned);
}
