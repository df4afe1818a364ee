//! A story's world: instances, targets and discovery, and a relay in every link between them.

mod faults;

use std::net::SocketAddr;

use crate::book::{Book, Effect, Seen};
use crate::clients::{self, Answer, Handed};
use crate::load::Load;
use crate::place::Place;
use crate::process::Process;
use crate::{breaches, until, Discovery, Relay, Target, Told};

/// All of one instance: its process and its links.
pub struct Instance {
    pub process: Process,
    /// From clients to it.
    pub clients: Relay,
    pub discovery: Relay,
    /// From it to each target.
    pub targets: Vec<Relay>,
    /// From it to each other instance, in their order; none where each is for itself.
    pub peers: Vec<Relay>,
    hindered: bool,
    /// Where it listens for clients, and for other instances.
    pub places: [Place; 2],
}

pub struct World {
    pub book: Book,
    // Processes end before their peers do.
    pub instances: Vec<Instance>,
    pub discovery: Discovery,
    pub targets: Vec<Target>,
    /// With copies on: how long after a forwarder was hindered its events may end late, in milliseconds.
    pub heir_within: Option<f64>,
}

/// An heir has what a lost forwarder owed by then, on a busy machine, in milliseconds.
const HEIR_WITHIN: f64 = 20_000.0;

fn name(instance: usize) -> String {
    format!("n{instance}")
}

/// The fleet's file as that instance is told it: itself as it listens, the others by relays.
fn fleet(process: &mut Process, told: &Told, number: usize, among: &[SocketAddr]) -> Vec<Relay> {
    let (mut peers, mut addresses) = (Vec::new(), Vec::new());
    for (other, address) in among.iter().enumerate() {
        if other == number {
            addresses.push(*address);
        } else {
            peers.push(Relay::to(*address));
            addresses.extend(peers.last().map(Relay::address));
        }
    }
    process.write("fleet.toml", &told.fleet(&addresses));
    if let Some(policy) = &told.pools {
        process.write("pools.policy", policy);
        if number == 0 {
            process.set("PROXY_FLEET_FOUND", "yes".into());
        }
    }
    process.set(
        "PROXY_FLEET",
        process.folder().join("fleet.toml").display().to_string(),
    );
    if !told.fanout.is_empty() && number == 0 {
        process.set("PROXY_FLEET_FOUND", "yes".into());
    }
    peers
}

impl Instance {
    /// All its links but those to other instances.
    pub fn links(&self) -> impl Iterator<Item = &Relay> {
        self.targets.iter().chain([&self.clients, &self.discovery])
    }
}

impl World {
    /// So many instances, not started, and two targets that both serve the one destination.
    pub fn new(instances: usize, told: &Told) -> World {
        let book = Book::default();
        let targets: Vec<Target> = (0..2)
            .map(|number| Target::new(number, instances, &book))
            .collect();
        let links = |instance| {
            targets
                .iter()
                .map(|target| Relay::to(target.address_for(instance)))
                .collect()
        };
        let links: Vec<Vec<Relay>> = (0..instances).map(links).collect();
        let reached = |target: usize| links.iter().map(|links| links[target].address()).collect();
        // Lists name a destination for each target.
        let of = |target: usize| {
            if told.fanout.is_empty() {
                1
            } else {
                1 + target as u64
            }
        };
        let listed = (0..targets.len())
            .map(|target| (of(target), reached(target)))
            .collect();
        let discovery = Discovery::new(instances, listed, &book);
        let places: Vec<[Place; 2]> = (0..instances)
            .map(|_| [Place::held(), Place::held()])
            .collect();
        let among: Vec<SocketAddr> = places.iter().map(|[_, among]| among.address).collect();
        let all = links.into_iter().zip(places).enumerate();
        let instances = all.map(|(number, (targets, places))| {
            let clients = Relay::to(places[0].address);
            let to_discovery = Relay::to(discovery.address_for(number));
            let mut process = Process::new(&name(number));
            let known = discovery.list_for(number);
            let config = told.config(
                &process.name,
                places[0].address,
                to_discovery.address(),
                known,
            );
            process.write("config.json", &config.to_string());
            process.set(
                "PROXY_CONFIG",
                process.folder().join("config.json").display().to_string(),
            );
            let peers = if told.is_fleet() {
                fleet(&mut process, told, number, &among)
            } else {
                Vec::new()
            };
            Instance {
                process,
                clients,
                discovery: to_discovery,
                targets,
                peers,
                hindered: false,
                places,
            }
        });
        let heir_within = told.copies.then_some(HEIR_WITHIN);
        World {
            book,
            instances: instances.collect(),
            discovery,
            targets,
            heir_within,
        }
    }

    /// All instances run and are ready.
    pub fn started(instances: usize) -> World {
        let mut world = World::new(instances, &Told::default());
        world.start_all();
        world
    }

    pub fn start_all(&mut self) {
        let all: Vec<usize> = (0..self.instances.len()).collect();
        self.start_again(&all);
    }

    /// All of them before any is up: one alone may lack keepers.
    pub fn start_again(&mut self, instances: &[usize]) {
        instances.iter().for_each(|instance| self.launch(*instance));
        instances
            .iter()
            .for_each(|instance| self.until_up(*instance));
    }

    pub fn launch(&mut self, instance: usize) {
        self.instances[instance].process.start();
    }

    /// Returns once it answers that it takes events.
    pub fn until_up(&mut self, instance: usize) {
        let to = self.instances[instance].clients.address();
        until(&format!("n{instance} is up"), || {
            self.revive(instance);
            clients::get(to, "/up") == Some(200)
        });
        self.free(instance, true);
    }

    /// Starts it again if the kernel ended it.
    pub fn revive(&mut self, instance: usize) {
        let Some(since) = self.instances[instance].process.ended_by_kernel() else {
            return;
        };
        if !std::mem::replace(&mut self.instances[instance].hindered, true) {
            self.book
                .note_at(self.book.at(since), Seen::Hindered { instance });
        }
        self.launch(instance);
    }

    pub fn start(&mut self, instance: usize) {
        self.launch(instance);
        self.until_up(instance);
    }

    pub fn process(&self, instance: usize) -> &Process {
        &self.instances[instance].process
    }

    pub fn address(&self, instance: usize) -> SocketAddr {
        self.instances[instance].clients.address()
    }

    pub fn hand_in(&self, instance: usize, handed: &Handed) -> Answer {
        clients::hand_in(&self.book, instance, self.address(instance), handed)
    }

    pub fn take(&self, instance: usize, handed: &Handed) {
        assert_eq!(
            self.hand_in(instance, handed),
            Answer::Taken,
            "{}",
            handed.id
        );
    }

    /// Returns once the target side has read so many whole calls with the event.
    pub fn until_sent(&self, id: &str, times: usize) {
        until(&format!("{id} is sent"), || self.book.sends(id) >= times);
    }

    pub fn until_noticed(&self, id: &str) {
        until(&format!("a notice of {id}"), || self.book.was_noticed(id));
    }

    /// Takes a binding event `b`, a fingerprinted one `f` and a retriable one `r`, and has a call of each out.
    pub fn takes_one_of_each_effect(&self, instance: usize) {
        for (effect, id) in [
            (Effect::Binding, "b"),
            (Effect::Fingerprinted, "f"),
            (Effect::Retriable, "r"),
        ] {
            self.take(instance, &Handed::new(id, effect));
            self.until_sent(id, 1);
        }
    }

    /// Those three may have run: the binding one has a notice and is not sent again, the others are.
    pub fn each_effect_goes_on_as_it_may(&mut self) {
        self.until_noticed("b");
        self.until_sent("f", 2);
        self.until_sent("r", 2);
        self.verdict();
        assert_eq!(self.book.sends("b"), 1);
    }

    /// Clients that hand in events one after another until they are told to stop.
    pub fn load(&self, seed: u64, clients: usize) -> Load {
        let all: Vec<SocketAddr> = (0..self.instances.len())
            .map(|instance| self.address(instance))
            .collect();
        Load::start(&self.book, &all, seed, clients)
    }

    /// Waits until all that was promised has its end, and fails the story if a rule is broken.
    pub fn verdict(&mut self) {
        until("all that was promised has its end", || {
            (0..self.instances.len()).for_each(|instance| self.revive(instance));
            self.book.open().is_empty()
        });
        let broken = breaches(&self.book, self.heir_within);
        assert!(
            broken.is_empty(),
            "{} times a rule was broken",
            broken.len()
        );
    }
}
