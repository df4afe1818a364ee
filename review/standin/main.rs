//! Stand-ins and runner of the review's scripts: starts the programs of the deploy file on loopback
//! addresses, plays targets, operator and clients, and writes `record.txt`.
//!
//! Usage: `standin CASE FOLDER ROOT`; the environment's `TROUBLE=0` leaves the disruption out.

mod case_budget;
mod case_chain;
mod case_successor;
mod conversation;
mod http;
mod record;
mod targets;
mod tier;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, root] = arguments.as_slice() else {
        eprintln!("standin CASE FOLDER ROOT");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let root = PathBuf::from(root);
    let outcome = match case.as_str() {
        "chain" => case_chain::run(&root, &folder, trouble),
        "successor" => case_successor::run(&root, &folder, trouble),
        "budget" => case_budget::run(&root, &folder, trouble),
        _ => Err(format!("no case is called {case}")),
    };
    match outcome {
        Ok(true) => std::process::exit(0),
        Ok(false) => std::process::exit(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(2);
        }
    }
}
