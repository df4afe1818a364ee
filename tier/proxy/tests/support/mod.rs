//! Runs a proxy in the test process, with scripted targets and clients on the loopback address.
#![allow(dead_code)]

pub mod drain_orders;
pub mod fixture;
pub mod peer;
pub mod round_robin;
pub mod stores;

use std::future::Future;

/// Runs a test on one thread, like the proxy.
pub fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let bounded = async {
        let limit = std::time::Duration::from_secs(60);
        tokio::time::timeout(limit, test)
            .await
            .expect("the test finishes in time");
    };
    tokio::task::LocalSet::new().block_on(&runtime, bounded);
}
