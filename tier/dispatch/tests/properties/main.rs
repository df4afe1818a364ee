//! Invariants for any requests and any ends of their attempts.

#[path = "../common/mod.rs"]
mod common;
mod world;

use arbtest::arbtest;
use world::World;

#[test]
fn every_request_has_one_outcome_and_no_forbidden_attempt() {
    arbtest(|u| {
        let mut world = World::new();
        for _ in 0..60 {
            world.step(u)?;
        }
        world.finish();
        Ok(())
    })
    .size_min(400)
    .size_max(4_000)
    .budget_ms(4_000);
}
