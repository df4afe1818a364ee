//! The successor's side of a hot restart, controlled by the test.

use std::path::Path;

use async_io::block_on;
use plankhill_hot_restart::{connect, Message, MessageReceiver, MessageSender};

fn names() -> [Vec<String>; 3] {
    [&["job", "order", "charge"][..], &["k"], &["z"]]
        .map(|names| names.iter().map(|n| n.to_string()).collect())
}

/// Connects to the running process as its successor and sends `Hello`.
pub fn send_hello(folder: &Path, version: u32) -> (MessageSender, MessageReceiver) {
    let sender = block_on(connect(folder)).expect("the running process accepts");
    block_on(sender.send(
        &Message::Hello {
            version,
            names: names(),
        },
        None,
    ))
    .expect("message sent");
    let receiver = sender.receiver();
    (sender, receiver)
}
