//! A small form of the scale run, whole: every figure comes.

use std::time::Duration;

use plankhill_scale::{run, ScaleOptions};

#[test]
fn a_change_reaches_all_hollow_forwarders_and_lost_ones_are_forgotten() {
    let options = ScaleOptions {
        program: env!("CARGO_BIN_EXE_plankhill-tier").into(),
        agents: 20,
        targets: 100,
        window: Duration::from_millis(500),
        changes: 3,
        lost: 5,
    };
    let report = run(&options).expect("the run comes to its end");
    println!("{report}");
    assert_eq!(report.in_force.0.len(), 3 * 20);
    assert_eq!((report.agents_lost.0.len(), report.targets_lost.0.len()), (15, 15));
    assert!(report.heartbeats_a_second > 0.0);
    assert_eq!(report.quiet.processes.len(), 3 + 2 * 3);
    assert!(report.quiet.processes.iter().all(|process| process.memory > 0), "{report}");
}
