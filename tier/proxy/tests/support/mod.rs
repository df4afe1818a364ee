//! A proxy inside the test's process, before scripted targets and clients on the loopback address.
#![allow(dead_code)]

pub mod drain_orders;
pub mod peer;
pub mod round_robin;
pub mod stores;
pub mod world;

use std::future::Future;

/// Runs a test on one thread, as the proxy runs.
pub fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let bounded = async {
        let limit = std::time::Duration::from_secs(60);
        tokio::time::timeout(limit, test)
            .await
            .expect("the test comes to its end");
    };
    tokio::task::LocalSet::new().block_on(&runtime, bounded);
}
