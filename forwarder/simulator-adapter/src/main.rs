//! Speaks the bench's wire (one JSON value a line) and hands each field to the decision module.

mod arrivals;
mod subscription;
mod wire;
mod written;

use std::io::{stdin, stdout, BufWriter};

fn main() {
    if let Err(trouble) = wire::serve(stdin().lock(), BufWriter::new(stdout().lock())) {
        eprintln!("plankhill-simulator-adapter: {trouble}");
        std::process::exit(1);
    }
}
