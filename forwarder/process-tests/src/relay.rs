//! A link that can fail: every connection between two parties passes through one.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use crate::http::Door;

/// The two directions of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// From who opens connections.
    There = 0,
    Back = 1,
}

/// What a direction does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Passes,
    /// Each piece comes so much later.
    Late(Duration),
    /// Connections stay open, nothing comes, and what was held comes once the link is healed: as on a network
    /// that lost packets for a while. New connections come up and are as silent.
    Silent,
}

struct State {
    ways: [Way; 2],
    /// New connections are reset.
    refuses: bool,
    /// So many bytes of the next piece pass, then that happens.
    cuts: [Option<(usize, Then)>; 2],
    over: bool,
    open: Vec<[Weak<TcpStream>; 2]>,
}

#[derive(Clone, Copy)]
enum Then {
    Reset,
    Silent,
}

struct Link {
    to: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

pub struct Relay {
    link: Arc<Link>,
    door: Door,
}

impl Relay {
    pub fn to(to: SocketAddr) -> Relay {
        let state = State {
            ways: [Way::Passes; 2],
            refuses: false,
            cuts: [None; 2],
            over: false,
            open: Vec::new(),
        };
        let link = Arc::new(Link {
            to,
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let of = link.clone();
        let door = Door::open(move |stream| of.clone().carry(stream));
        Relay { link, door }
    }

    /// Where to connect in place of the other end.
    pub fn address(&self) -> SocketAddr {
        self.door.address
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.link.state());
        self.link.changed.notify_all();
    }

    pub fn set(&self, side: Side, way: Way) {
        self.change(|state| state.ways[side as usize] = way);
    }

    /// Both directions fall silent, with connections open.
    pub fn stall(&self) {
        self.change(|state| state.ways = [Way::Silent; 2]);
    }

    pub fn delay(&self, by: Duration) {
        self.change(|state| state.ways = [Way::Late(by); 2]);
    }

    /// Connections are reset, and so is each new one.
    pub fn drop_all(&self) {
        self.change(|state| state.refuses = true);
        self.reset();
    }

    /// Connections that are open are reset; new ones pass.
    pub fn reset(&self) {
        self.change(|state| {
            state
                .open
                .drain(..)
                .flatten()
                .filter_map(|s| s.upgrade())
                .for_each(|s| reset(&s))
        });
    }

    /// The next piece in that direction ends after so many bytes, with its connection.
    pub fn cut_next(&self, side: Side, after: usize) {
        self.change(|state| state.cuts[side as usize] = Some((after, Then::Reset)));
    }

    /// The direction falls silent after so many bytes of the next piece; the rest comes once it is healed.
    pub fn silent_after(&self, side: Side, after: usize) {
        self.change(|state| state.cuts[side as usize] = Some((after, Then::Silent)));
    }

    pub fn is_silent(&self) -> bool {
        self.link.state().ways.contains(&Way::Silent)
    }

    pub fn heal(&self) {
        self.change(|state| {
            (state.ways, state.refuses, state.cuts) = ([Way::Passes; 2], false, [None; 2]);
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.change(|state| (state.over, state.refuses) = (true, true));
        self.reset();
    }
}

fn reset(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

impl Link {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Returns once the direction passes, or `false` at the end.
    fn passes(&self, side: Side) -> bool {
        let silent = |state: &mut State| state.ways[side as usize] == Way::Silent && !state.over;
        let state = self
            .changed
            .wait_while(self.state(), silent)
            .unwrap_or_else(|broken| broken.into_inner());
        let (way, over) = (state.ways[side as usize], state.over);
        drop(state);
        if let Way::Late(by) = way {
            thread::sleep(by);
        }
        !over
    }

    fn carry(self: Arc<Self>, near: TcpStream) {
        if self.state().refuses {
            return reset(&near);
        }
        // A connection comes up once packets pass both ways.
        if !self.passes(Side::There) || !self.passes(Side::Back) {
            return;
        }
        let Ok(far) = TcpStream::connect_timeout(&self.to, Duration::from_secs(2)) else {
            return reset(&near);
        };
        let _ = far.set_nodelay(true);
        let (near, far) = (Arc::new(near), Arc::new(far));
        {
            let mut state = self.state();
            if state.refuses {
                return [&near, &far].into_iter().for_each(|stream| reset(stream));
            }
            state.open.retain(|[near, _]| near.strong_count() > 0);
            state
                .open
                .push([Arc::downgrade(&near), Arc::downgrade(&far)]);
        }
        let (link, back) = (self.clone(), [far.clone(), near.clone()]);
        let back = thread::spawn(move || link.pump(Side::Back, &back[0], &back[1]));
        self.pump(Side::There, &near, &far);
        let _ = back.join();
    }

    fn pump(&self, side: Side, mut from: &TcpStream, mut to: &TcpStream) {
        let mut bytes = vec![0; 64 << 10];
        loop {
            let read = from.read(&mut bytes);
            if !self.passes(side) {
                return;
            }
            let piece = match read {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(read) => &bytes[..read],
                Err(_) => return reset(to),
            };
            let cut = self.state().cuts[side as usize].take();
            let (first, rest) = piece.split_at(cut.map_or(0, |(after, _)| after.min(piece.len())));
            if to.write_all(first).is_err() {
                return reset(from);
            }
            match cut {
                Some((_, Then::Reset)) => return [from, to].into_iter().for_each(reset),
                Some((_, Then::Silent)) => {
                    self.state().ways[side as usize] = Way::Silent;
                    if !self.passes(side) {
                        return;
                    }
                }
                None => (),
            }
            if to.write_all(rest).is_err() {
                return reset(from);
            }
        }
    }
}
