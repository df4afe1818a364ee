//! Backoffs of a subscription.

use super::Subscription;

#[test]
fn the_backoff_is_bounded_and_an_answer_resets_it() {
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
        "the backoff is short again after an answer"
    );
}
