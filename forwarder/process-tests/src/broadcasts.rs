//! Broadcasts to the list `all`, which names a destination for each target.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::book::Seen;
use crate::{http, until, Answer, Told, World};

const LISTS: &str = "[fanout]\ncohorts = 2\nkeep_for_one = 200\n[fanout.lists]\nall = [1, 2]\n";

/// What became of one copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Copy {
    pub sends: usize,
    pub delivered: usize,
    pub noticed: usize,
}

impl World {
    /// So many instances that take broadcasts.
    pub fn broadcasting(instances: usize) -> World {
        let mut world = World::new(instances, &Told::with_lists(LISTS));
        world.start_all();
        (0..instances).for_each(|instance| world.until_broadcasts(instance));
        world
    }

    /// Returns once a broadcast that is handed in there is taken on.
    pub fn until_broadcasts(&self, instance: usize) {
        let mut number = 0;
        until(&format!("n{instance} takes broadcasts"), || {
            number += 1;
            let id = format!("probe-{instance}-{:.0}-{number}", self.book.now());
            self.broadcast(instance, "job", &id, None) == Answer::Taken
        });
    }

    pub fn broadcast(&self, instance: usize, traffic: &str, id: &str, key: Option<u64>) -> Answer {
        match self.ask(instance, &format!("all/{traffic}"), id, key) {
            Some(202) => Answer::Taken,
            Some(503) => Answer::Refused,
            Some(other) => Answer::Failed(other),
            None => Answer::Unheard,
        }
    }

    /// The status of a broadcast's request there.
    pub fn ask(&self, instance: usize, path: &str, id: &str, key: Option<u64>) -> Option<u16> {
        let key = key.map_or(String::new(), |key| format!("Cookie: about={key:x}\r\n"));
        let request = format!(
            "POST /broadcast/{path} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Deadline: 6\r\n\
             Idempotency-Key: f-{id}\r\n{key}Content-Length: 4\r\n\r\nbody"
        );
        let waits = Duration::from_secs(20);
        let mut stream = TcpStream::connect_timeout(&self.address(instance), waits).ok()?;
        stream.set_read_timeout(Some(waits)).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        http::read(&mut BufReader::new(stream))
            .ok()
            .map(|answer| answer.status())
    }

    /// What became of the broadcast's copies, by destination.
    pub fn copies(&self, id: &str) -> Vec<Copy> {
        // Names come before what is seen of them.
        let all = self.book.all();
        let ids = self.book.ids();
        let mut calls: BTreeMap<u64, u64> = BTreeMap::new();
        let mut copies: BTreeMap<String, Copy> = BTreeMap::new();
        for (_, seen) in &all {
            match seen {
                Seen::Began { call, event, .. } => {
                    calls.insert(*call, *event);
                    copies.entry(ids[event].clone()).or_default().sends += 1;
                }
                Seen::Replied { call, status: 200 } => {
                    copies
                        .entry(ids[&calls[call]].clone())
                        .or_default()
                        .delivered += 1;
                }
                Seen::Notice { event, .. } => {
                    copies.entry(ids[event].clone()).or_default().noticed += 1
                }
                _ => (),
            }
        }
        let of = |destination: usize| {
            copies
                .get(&format!("{id}~{destination}"))
                .copied()
                .unwrap_or_default()
        };
        (1..=self.targets.len()).map(of).collect()
    }

    /// Returns once each copy of it was delivered or told as not delivered.
    pub fn until_ended(&self, id: &str) {
        until(&format!("all copies of {id} have an end"), || {
            self.copies(id)
                .iter()
                .all(|copy| copy.delivered + copy.noticed > 0)
        });
    }
}
