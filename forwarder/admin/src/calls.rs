//! A call at the operators' address: its method and path, read into what is asked.

use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

/// What operators tell a forwarder to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Leave the target out.
    Disable(Box<str>),
    /// The target may serve again.
    Enable(Box<str>),
    Drain,
    Resume,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// Whether this process is ready to serve.
    Ready,
    Order(Order),
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    Done,
    NeverListed,
    NotRecorded,
}

/// Why a call asks for nothing that there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    NoSuchPath,
    /// The one method that the path takes.
    OnlyMethod(&'static str),
    /// The id is empty, too long or no text.
    Id,
}

/// No target has a longer id than a line of the list may hold.
const LONGEST_ID: usize = 128;

pub fn asked(method: &str, path: &str) -> Result<Asked, Refused> {
    let parts: Vec<&str> = path.split('/').collect();
    let (takes, what) = match parts[..] {
        ["", "-", "ready"] => ("GET", Ok(Asked::Ready)),
        ["", "-", "drain"] => ("POST", Ok(Asked::Order(Order::Drain))),
        ["", "-", "resume"] => ("POST", Ok(Asked::Order(Order::Resume))),
        ["", "-", "targets", id, "disable"] => {
            ("POST", target(id).map(Order::Disable).map(Asked::Order))
        }
        ["", "-", "targets", id, "enable"] => {
            ("POST", target(id).map(Order::Enable).map(Asked::Order))
        }
        _ => return Err(Refused::NoSuchPath),
    };
    if method != takes {
        return Err(Refused::OnlyMethod(takes));
    }
    what
}

fn target(part: &str) -> Result<Box<str>, Refused> {
    let id = percent_decode_str(part)
        .decode_utf8()
        .map_err(|_| Refused::Id)?;
    let fits = (1..=LONGEST_ID).contains(&id.len()) && !id.chars().any(char::is_control);
    fits.then(|| id.into()).ok_or(Refused::Id)
}
