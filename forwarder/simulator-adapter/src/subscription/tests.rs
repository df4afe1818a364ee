//! Backoffs of a subscription.

use super::Subscription;

#[test]
fn a_failing_list_is_asked_for_often_enough_and_an_answer_resets_the_backoff() {
    let mut subscription = Subscription::new(10_000.0, 7);
    let backoffs: Vec<f64> = (0..40).map(|_| subscription.on_failed()).collect();
    assert!(
        backoffs
            .iter()
            .all(|backoff| (300.0..5_000.0).contains(backoff)),
        "{backoffs:?}"
    );
    subscription.on_answered();
    assert!(
        subscription.on_failed() < 700.0,
        "a list that is back is near again"
    );
}
