//! Traces with a planted fault: the check must report the fault and no other violation.

use plankhill_invariants::Invariant;
use plankhill_process_tests::*;
use rstest::rstest;

const REQUEST: TraceRecord = TraceRecord::RequestSent {
    instance: 0,
    event: 0,
    origin: 0,
    idempotency: Idempotency::NonIdempotent,
    key: None,
    time_to_deadline: 60_000.0,
};
const ACCEPTED: TraceRecord = TraceRecord::ResponseReceived {
    event: 0,
    status: 202,
};

fn call_started(call: u64, instance: usize) -> TraceRecord {
    TraceRecord::CallStarted {
        call,
        instance,
        event: 0,
        target: 0,
        timeout: 30_000.0,
    }
}

/// The records of a call that was answered with `status`.
fn answered_call(call: u64, instance: usize, status: u16) -> Vec<TraceRecord> {
    vec![
        call_started(call, instance),
        TraceRecord::CallReceived { call },
        TraceRecord::CallAnswered { call, status },
    ]
}

fn abandoned() -> Vec<TraceRecord> {
    vec![TraceRecord::NotificationReceived {
        event: 0,
        is_abandoned: true,
    }]
}

fn impaired() -> Vec<TraceRecord> {
    vec![TraceRecord::Impaired { instance: 0 }]
}

#[rstest]
#[case::delivered(vec![answered_call(1, 0, 200)], &[])]
#[case::lost(vec![], &[Invariant::NoAcceptedEventLost])]
#[case::completed_twice(vec![answered_call(1, 0, 200), abandoned()], &[Invariant::CompletedOnce])]
#[case::an_answer_that_was_never_read(vec![answered_call(1, 0, 200), impaired(), abandoned()], &[])]
#[case::abandoned_while_it_was_answered(vec![answered_call(1, 0, 200), vec![TraceRecord::ConnectionClosed { call: 1 }], abandoned()], &[])]
#[case::notified_twice(vec![answered_call(1, 0, 500), abandoned(), abandoned()], &[])]
#[case::repeated_by_the_successor(vec![answered_call(1, 0, 500), answered_call(2, 1, 200)], &[Invariant::NoDuplicateEffect, Invariant::NoDuplicateEffect])]
#[case::rejected_first(vec![answered_call(1, 0, 503), answered_call(2, 1, 200)], &[])]
#[case::sent_after_completion(vec![answered_call(1, 0, 500), abandoned(), answered_call(2, 1, 503)], &[Invariant::CompletedOnce, Invariant::CompletedOnce])]
#[case::sent_during_another_call(vec![vec![call_started(1, 0), TraceRecord::CallReceived { call: 1 }], answered_call(2, 1, 503)],
    &[Invariant::NoDuplicateEffect, Invariant::NoAcceptedEventLost])]
fn a_planted_fault_is_reported(
    #[case] after: Vec<Vec<TraceRecord>>,
    #[case] expected: &[Invariant],
) {
    let trace = Trace::default();
    let all = [REQUEST, ACCEPTED]
        .into_iter()
        .chain(after.into_iter().flatten());
    all.enumerate()
        .for_each(|(at, record)| trace.record_at(at as f64, record));
    let violated: Vec<Invariant> = find_violations(&trace, None)
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    assert_eq!(violated, expected);
}

/// A call may still be in flight when the trace is checked. The answer to an earlier call may never have been read, so
/// the event ends no earlier than its last call.
#[rstest]
#[case::still_in_flight(vec![call_started(2, 0), TraceRecord::CallReceived { call: 2 }], &[])]
#[case::delivered(answered_call(2, 0, 200), &[])]
#[case::failed(answered_call(2, 0, 500), &[Invariant::NoAcceptedEventLost])]
fn an_event_may_be_sent_again_if_its_answer_may_be_unread(
    #[case] after: Vec<TraceRecord>,
    #[case] expected: &[Invariant],
) {
    let trace = Trace::default();
    let request = TraceRecord::RequestSent {
        instance: 0,
        event: 0,
        origin: 0,
        idempotency: Idempotency::Idempotent,
        key: None,
        time_to_deadline: 60_000.0,
    };
    let before = [request, ACCEPTED]
        .into_iter()
        .chain(answered_call(1, 0, 200))
        .chain(impaired());
    before
        .chain(after)
        .enumerate()
        .for_each(|(at, record)| trace.record_at(at as f64, record));
    let violated: Vec<Invariant> = find_violations(&trace, None)
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    assert_eq!(violated, expected);
}

/// Without replication, the loss of a disk loses accepted events; the check of a trace of real processes must
/// report it.
#[rstest]
fn a_loss_of_state_without_replication_is_reported() {
    let mut cluster = Cluster::started(1);
    cluster.set_target_behavior(TargetBehavior::Hang);
    cluster.submit_accepted(0, &EventRequest::new("a", Idempotency::Idempotent));
    cluster.wait_for_calls("a", 1);
    cluster.kill(0);
    cluster.instances[0].process.delete_state();
    cluster.start(0);
    let violated = find_violations(&cluster.trace, None);
    assert_eq!(
        violated
            .iter()
            .map(|violation| violation.invariant)
            .collect::<Vec<_>>(),
        [Invariant::NoAcceptedEventLost]
    );
}

#[rstest]
#[case::within_the_grace_period(200.0, &[])]
#[case::long_after(2_000.0, &[Invariant::DrainsRespected])]
fn a_call_to_a_draining_target_is_reported(#[case] at: f64, #[case] expected: &[Invariant]) {
    let trace = Trace::default();
    let listed = TraceRecord::TargetListed {
        instance: 0,
        target: 0,
        is_draining: true,
    };
    [(0.0, listed), (0.0, REQUEST), (0.0, ACCEPTED)]
        .into_iter()
        .for_each(|(at, record)| trace.record_at(at, record));
    answered_call(1, 0, 200)
        .into_iter()
        .for_each(|record| trace.record_at(at, record));
    let violated: Vec<Invariant> = find_violations(&trace, None)
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    assert_eq!(violated, expected);
}
