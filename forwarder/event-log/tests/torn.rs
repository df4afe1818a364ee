//! The last frame torn at each of its bytes, whatever it says: what was before it holds, and nothing more.

use std::fs;

use plankhill_event_log::*;
use rstest::rstest;

fn event(id: &str) -> Taken<'static> {
    Taken {
        id: id.to_owned().into(),
        traffic: "t".into(),
        key: Some(3),
        fingerprint: Some("f".into()),
        body: b"body"[..].into(),
        promised: Some(Promise {
            repeats: Repeats::Forbidden,
            ordered: true,
        }),
        ..Taken::default()
    }
}

fn said(ledger: &Ledger) -> (Vec<String>, Vec<(String, f64, f64)>, usize) {
    let owed = ledger
        .owed()
        .iter()
        .map(|owed| format!("{owed:?}"))
        .collect();
    let cold = ledger
        .cold()
        .map(|(target, since, usual)| (target.to_owned(), since, usual))
        .collect();
    (owed, cold, ledger.live())
}

#[rstest]
#[case::taken(|record: &mut Record| record.taken(event("b")))]
#[case::sent(|record: &mut Record| record.sent("a", 7.0, "z"))]
#[case::sent_for(|record: &mut Record| record.sent_for("a", 7.0, "z", 1500.0))]
#[case::unrun(|record: &mut Record| record.unrun("a"))]
#[case::ended(|record: &mut Record| record.ended("a", Outcome::Dismissed, Some(500.0)))]
#[case::over(|record: &mut Record| record.over("a"))]
#[case::cold(|record: &mut Record| record.note_cold("t", 9.0, 2.0))]
fn a_frame_torn_at_any_byte_says_nothing(#[case] last: fn(&mut Record)) {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let open = || Ledger::open(folder.path(), 1_000_000).expect("opens").0;
    let file = folder.path().join("ledger");
    let mut ledger = open();
    ledger.taken(event("a"));
    ledger.sent("a", 5.0, "y");
    ledger.note_cold("t", 4.0, 1.0);
    ledger.commit().expect("writes");
    let (before, whole) = (said(&ledger), ledger.length() as usize);
    last(&mut ledger);
    ledger.commit().expect("writes");
    let after = said(&ledger);
    assert_ne!(before, after);
    drop(ledger);
    let bytes = fs::read(&file).expect("there");
    for cut in whole..bytes.len() {
        fs::write(&file, &bytes[..cut]).expect("written");
        assert_eq!(said(&open()), before, "cut at {cut}");
        assert_eq!(
            fs::read(&file).expect("there"),
            bytes[..whole],
            "what is torn is gone"
        );
        // The same for one whose byte is another.
        let mut other = bytes.clone();
        other[cut] ^= 0x40;
        fs::write(&file, other).expect("written");
        assert_eq!(said(&open()), before, "changed at {cut}");
    }
    fs::write(&file, &bytes).expect("written");
    assert_eq!(said(&open()), after);
}

/// Ended before its first line was whole: a ledger with nothing in it.
#[rstest]
fn a_first_line_torn_at_any_byte_is_an_empty_ledger() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let first = b"plankhill ledger 1\n";
    for cut in 0..=first.len() {
        fs::write(folder.path().join("ledger"), &first[..cut]).expect("written");
        let (mut ledger, owed) = Ledger::open(folder.path(), 1_000_000).expect("opens");
        assert!(owed.is_empty());
        ledger.taken(event("a"));
        ledger.commit().expect("writes");
        assert_eq!(
            Ledger::open(folder.path(), 1_000_000)
                .expect("opens")
                .1
                .len(),
            1,
            "cut at {cut}"
        );
    }
}
