//! Tests that this version reads all content of the state folder in `stored_format/state`, which an earlier
//! version has written: incarnation, view, turns, budgets, extensions and hints.

mod folders;

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use folders::copy_folder;
use plankhill_conversations::account::TurnState;
use plankhill_conversations::keys::{account_key, hint_key, turn_key, INCARNATION_KEY, VIEW_KEY};
use plankhill_conversations::peer::{PeerCall, PeerReply, PeerRequest, PeerResponse, RetainedTurn};
use plankhill_conversations::rows::{decode_row, AccountRow, Table, TurnRow};
use plankhill_conversations::wire::{StoreRequest, StoreResponse};
use plankhill_protocol::ids::{Incarnation, NodeId, ProgramId, RequestId, StoreEpoch, ZoneName};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};
use plankhill_protocol::tables::{StoreMember, StoreView};
use plankhill_protocol::transport::CallError;
use plankhill_store::clock::Clock;
use plankhill_store::limits::Limits;
use plankhill_store::node::{Node, NodeParts};
use plankhill_store::peers::Peers;
use plankhill_store::storage::{open_state_folder, FjallStorage, Storage};

/// The time of day at which the folder was written, in milliseconds.
const WRITTEN_MS: u64 = 1_790_000_000_000;
/// The incarnation in the folder.
const STORED: Incarnation = Incarnation(0x0123_4567_89ab_cdf0);
/// The incarnation that a store would have if the folder were treated as empty.
const FRESH: Incarnation = Incarnation(99);

/// A clock with a constant time.
struct FixedClock(u64);

impl Clock for FixedClock {
    fn now_ms(&self) -> u64 {
        self.0
    }
}

/// Peers that cannot be reached.
struct NoPeers;

impl Peers for NoPeers {
    fn call(
        &self,
        _: SocketAddr,
        _: PeerCall,
        _: Duration,
    ) -> impl Future<Output = Result<PeerReply, CallError>> + 'static {
        std::future::ready(Err(CallError::NotSent))
    }
}

type StoreNode = Node<NoPeers, FjallStorage, FixedClock>;

fn program(number: u8) -> ProgramId {
    ProgramId::from(format!("program-{number}").as_str())
}

fn turn(number: u8) -> RequestId {
    RequestId::from(format!("turn-{number}").as_str())
}

fn member(number: u8) -> StoreMember {
    StoreMember {
        node: NodeId::from(format!("store-{number}").as_str()),
        incarnation: Incarnation(0x0123_4567_89ab_cdef + u64::from(number)),
        address: SocketAddr::from(([127, 0, 0, number], 7_000)),
        zone: ZoneName::from(format!("zone-{number}").as_str()),
    }
}

fn view() -> StoreView {
    StoreView {
        epoch: StoreEpoch(7),
        serving: vec![member(1), member(2), member(3)],
        next: Some(vec![member(1), member(2), member(4)]),
        tolerated_faults: 1,
    }
}

/// The first turn of a chain.
fn first_record() -> Arc<TurnRecord> {
    Arc::new(TurnRecord {
        turn: turn(1),
        program: program(1),
        previous: None,
        input: Arc::from(*b"the first input\n"),
        output: Arc::from(*b"the first output\n"),
        retention_ms: 60_000,
    })
}

/// A turn of another program that continues the first one.
fn second_record() -> Arc<TurnRecord> {
    Arc::new(TurnRecord {
        turn: turn(2),
        program: program(2),
        previous: Some(TurnLocation {
            turn: turn(1),
            program: program(1),
        }),
        input: Arc::from(*b"the second input\n"),
        output: Arc::from([7; 3_000]),
        retention_ms: 90_000,
    })
}

/// Size of a journal of the database, which preallocates it when it creates the journal.
const JOURNAL_BYTES: u64 = 64 * 1024 * 1024;

/// Copies the stored folder, because opening a folder writes to it. Restores in the copy the parts that the
/// repository cannot contain or that are left out of it: an empty folder, and the zeros after the last entry
/// of the journal.
fn copied_state() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let state = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/stored_format/state");
    copy_folder(&state, folder.path());
    let database = folder.path().join("rows");
    fs::create_dir_all(database.join("keyspaces/1/tables")).expect("a folder");
    let journal = fs::File::options()
        .write(true)
        .open(database.join("0.jnl"))
        .expect("a journal");
    journal.set_len(JOURNAL_BYTES).expect("zeros");
    folder
}

fn run<T>(scenario: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), scenario)
}

async fn load(folder: &Path) -> Rc<StoreNode> {
    let opened = open_state_folder(folder, FRESH).await;
    let parts = NodeParts {
        identity: StoreMember {
            incarnation: opened.incarnation,
            ..member(1)
        },
        limits: Limits {
            retention_slack_ms: 10_000,
            max_index_bytes: 50_000_000,
            chain_memory_bytes: 10_000_000,
            peer_chain_memory_bytes: 10_000_000,
        },
        peers: NoPeers,
        storage: opened.storage,
        clock: FixedClock(WRITTEN_MS + 1_000),
    };
    Node::load(parts).expect("a readable folder")
}

/// Calls the node as another store of the stored view.
async fn call_as_peer(node: &Rc<StoreNode>, body: PeerRequest) -> PeerResponse {
    let call = PeerCall {
        epoch: view().epoch,
        body,
    };
    match node
        .clone()
        .handle_call(StoreRequest::Peer(call))
        .await
        .body
    {
        StoreResponse::Peer(reply) => {
            assert_eq!(reply.incarnation, STORED);
            reply.body
        }
        StoreResponse::Proxy(reply) => panic!("{reply:?}"),
    }
}

fn rows(disk: &impl Storage, table: Table) -> Vec<(Vec<u8>, Vec<u8>)> {
    let mut rows = Vec::new();
    disk.scan(table, &mut |key, value| {
        rows.push((key.to_vec(), value.to_vec()))
    })
    .expect("a readable disk");
    rows
}

fn read<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    decode_row(bytes).expect("a row of this table")
}

#[test]
fn a_store_loads_all_state_in_the_folder() {
    run(async {
        let folder = copied_state();
        let node = load(folder.path()).await;
        assert_eq!(node.identity().incarnation, STORED);
        assert_eq!(node.view(), view());
        assert_eq!(node.pending_hints(), 2);

        let programs = vec![program(1), program(2), program(3)];
        let PeerResponse::Outlines {
            programs: outlines, ..
        } = call_as_peer(&node, PeerRequest::OutlinePrograms { programs }).await
        else {
            panic!("no outlines")
        };
        assert_eq!(outlines.len(), 2, "the third program is unknown");
        let states: Vec<_> = outlines[0]
            .account
            .turns()
            .map(|(name, state)| (name.clone(), state))
            .collect();
        let expected = [
            (turn(1), TurnState::Committed { tokens: 321 }),
            (turn(3), TurnState::Reserved { max_tokens: 600 }),
            (turn(4), TurnState::Rejected),
        ];
        assert_eq!(states, expected);
        assert_eq!(outlines[0].turns, [turn(1)]);
        let states: Vec<_> = outlines[1]
            .account
            .turns()
            .map(|(name, state)| (name.clone(), state))
            .collect();
        assert_eq!(states, [(turn(2), TurnState::Committed { tokens: 0 })]);
        assert_eq!(outlines[1].turns, [turn(2)]);

        let turns = vec![turn(1), turn(2), turn(3)];
        let PeerResponse::Turns(found) =
            call_as_peer(&node, PeerRequest::FetchTurns { turns }).await
        else {
            panic!("no turns")
        };
        // The first turn is retained as long as the second one; an extension retains both even longer.
        let expected = [
            RetainedTurn {
                record: first_record(),
                remaining_ms: 499_000,
            },
            RetainedTurn {
                record: second_record(),
                remaining_ms: 499_000,
            },
        ];
        assert_eq!(found, expected);

        let expected = PeerResponse::Chain {
            turns: vec![second_record(), first_record()],
            rest: None,
        };
        assert_eq!(
            call_as_peer(
                &node,
                PeerRequest::ReadChain {
                    turn: turn(2),
                    max_bytes: None
                }
            )
            .await,
            expected
        );
    });
}

#[test]
fn the_folder_contains_the_rows_of_each_table() {
    run(async {
        let folder = copied_state();
        let opened = open_state_folder(folder.path(), FRESH).await;
        assert_eq!(opened.incarnation, STORED);
        for table in Table::ALL {
            let rows = rows(&opened.storage, table);
            let keys: Vec<&[u8]> = rows.iter().map(|(key, _)| key.as_slice()).collect();
            match table {
                Table::Turns => {
                    assert_eq!(keys, [turn_key(&turn(1)), turn_key(&turn(2))]);
                    let expires_ms = WRITTEN_MS + 70_000;
                    assert_eq!(
                        read::<TurnRow>(&rows[0].1),
                        TurnRow {
                            expires_ms,
                            record: first_record()
                        }
                    );
                    let expires_ms = WRITTEN_MS + 100_000;
                    assert_eq!(
                        read::<TurnRow>(&rows[1].1),
                        TurnRow {
                            expires_ms,
                            record: second_record()
                        }
                    );
                }
                Table::Accounts => {
                    let expected = [
                        (
                            account_key(&program(1), &turn(1)),
                            TurnState::Committed { tokens: 321 },
                        ),
                        (
                            account_key(&program(1), &turn(3)),
                            TurnState::Reserved { max_tokens: 600 },
                        ),
                        (account_key(&program(1), &turn(4)), TurnState::Rejected),
                        (
                            account_key(&program(2), &turn(2)),
                            TurnState::Committed { tokens: 0 },
                        ),
                    ];
                    assert_eq!(rows.len(), expected.len());
                    for ((key, row), (expected_key, state)) in rows.iter().zip(expected) {
                        assert_eq!(*key, expected_key);
                        assert_eq!(
                            read::<AccountRow>(row),
                            AccountRow {
                                state,
                                used_ms: WRITTEN_MS
                            }
                        );
                    }
                }
                Table::Hints => {
                    let expected = [
                        hint_key(&member(2).node, &program(2), &turn(2)),
                        hint_key(&member(3).node, &program(1), &turn(1)),
                    ];
                    assert_eq!(keys, expected);
                    assert!(rows.iter().all(|(_, row)| row.is_empty()));
                }
                Table::Extensions => {
                    assert_eq!(keys, [turn_key(&turn(2))]);
                    assert_eq!(read::<u64>(&rows[0].1), WRITTEN_MS + 500_000);
                }
                Table::Metadata => {
                    assert_eq!(keys, [INCARNATION_KEY, VIEW_KEY]);
                    assert_eq!(read::<Incarnation>(&rows[0].1), STORED);
                    assert_eq!(read::<StoreView>(&rows[1].1), view());
                }
            }
        }
    });
}

#[test]
fn a_new_folder_has_the_same_files_as_the_stored_one() {
    run(async {
        let fresh = tempfile::tempdir().expect("a folder");
        assert_eq!(
            open_state_folder(fresh.path(), FRESH).await.incarnation,
            FRESH
        );
        assert_eq!(entry_names(fresh.path()), ["ready", "rows"]);
        assert_eq!(entry_names(copied_state().path()), ["ready", "rows"]);
    });
}

fn entry_names(folder: &Path) -> Vec<String> {
    let entries = fs::read_dir(folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry"));
    let mut names: Vec<String> = entries
        .map(|entry| entry.file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    names
}
