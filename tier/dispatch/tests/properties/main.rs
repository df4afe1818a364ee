//! Invariants for random requests and random results of their attempts.

#[path = "../common/mod.rs"]
mod common;
mod model;

use arbtest::arbtest;
use model::Model;

#[test]
fn every_request_has_one_outcome_and_no_forbidden_attempt() {
    arbtest(|u| {
        let mut model = Model::new();
        for _ in 0..60 {
            model.step(u)?;
        }
        model.finish();
        Ok(())
    })
    .size_min(400)
    .size_max(4_000)
    .budget_ms(4_000);
}
