//! The events of a stream, as targets write them and clients read them.

/// Writes one event.
pub fn write(id: u32, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// The data of each event of a complete stream.
pub fn data_of(stream: &str) -> Vec<&str> {
    stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}
