//! A new version that starts beside a running process, as far as the story lets it.

use std::path::Path;

use async_io::block_on;
use plankhill_hot_restart::{connect, Message, MessageReceiver, MessageSender};

fn names() -> [Vec<String>; 3] {
    [&["job", "order", "charge"][..], &["k"], &["z"]]
        .map(|names| names.iter().map(|n| n.to_string()).collect())
}

/// A new process that says hello.
pub fn hello(folder: &Path, version: u32) -> (MessageSender, MessageReceiver) {
    let sender = block_on(connect(folder)).expect("somebody hears");
    block_on(sender.send(
        &Message::Hello {
            version,
            names: names(),
        },
        None,
    ))
    .expect("told");
    let receiver = sender.receiver();
    (sender, receiver)
}
