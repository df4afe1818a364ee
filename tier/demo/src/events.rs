//! Encoding and decoding of the server-sent events of a stream.

/// Encodes one event.
pub fn encode(id: u32, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// Returns the data of each event of a complete stream.
pub fn event_data(stream: &str) -> Vec<&str> {
    stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}
