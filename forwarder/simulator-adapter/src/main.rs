//! An adapter of the decision module to the bench's simulator: reads batches of events on standard input, one JSON
//! value a line, and replies to each with the decisions of the simulated forwarders on standard output.
//!
//! [`host`] owns the simulated forwarders, [`inputs`] decodes events and applies them to a scheduler,
//! [`decision_writer`] encodes decisions, [`subscription`] schedules requests for the endpoint list.

mod decision_writer;
mod error;
mod host;
mod inputs;
mod subscription;

use std::io::{stdin, stdout, BufRead, BufWriter, Write};

use crate::error::{AdapterError, BatchError};
use crate::host::Host;

fn main() {
    if let Err(error) = serve(stdin().lock(), BufWriter::new(stdout().lock())) {
        eprintln!("plankhill-simulator-adapter: {error}");
        std::process::exit(1);
    }
}

/// Replies to batches until the input ends.
fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    for (index, line) in input.lines().enumerate() {
        let at = |error: BatchError| AdapterError {
            line: index + 1,
            error,
        };
        let line = line.map_err(|error| at(BatchError::Read(error)))?;
        let reply = host.run_batch(&line).map_err(at)?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|error| at(BatchError::Write(error)))?;
    }
    Ok(())
}
