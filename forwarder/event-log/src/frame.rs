//! One frame: length, checksum, and a mark. Numbers are little-endian; a text or body has its length before it.

use std::borrow::Cow;

use crate::promise::DeliveryGuarantee;

#[derive(Clone, Debug, Default)]
pub struct AcceptedEvent<'a> {
    pub id: Cow<'a, str>,
    pub destination: u64,
    pub traffic_type: Cow<'a, str>,
    pub deadline: f64,
    pub key: Option<u64>,
    pub fingerprint: Option<Cow<'a, str>>,
    pub body: Cow<'a, [u8]>,
    /// None in what an older text wrote.
    pub guarantee: Option<DeliveryGuarantee>,
}

impl AcceptedEvent<'_> {
    pub(crate) fn into_owned(self) -> AcceptedEvent<'static> {
        AcceptedEvent {
            id: self.id.into_owned().into(),
            destination: self.destination,
            traffic_type: self.traffic_type.into_owned().into(),
            deadline: self.deadline,
            key: self.key,
            fingerprint: self.fingerprint.map(|f| f.into_owned().into()),
            body: self.body.into_owned().into(),
            guarantee: self.guarantee,
        }
    }
}

/// How an event ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Rejected,
    Abandoned,
}

pub(crate) enum Mark<'a> {
    Taken(AcceptedEvent<'a>),
    /// `time_out` is noted where another process may go on with the record while the call is still out.
    Sent {
        id: Cow<'a, str>,
        at: f64,
        zone: Cow<'a, str>,
        time_out: Option<f64>,
    },
    Unrun {
        id: Cow<'a, str>,
    },
    Ended {
        id: Cow<'a, str>,
        outcome: Outcome,
        come_back_after: Option<f64>,
    },
    Over {
        id: Cow<'a, str>,
    },
    Cold {
        target: Cow<'a, str>,
        since: f64,
        usual: f64,
    },
}

const HEAD: usize = 8;

impl Mark<'_> {
    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        let from = out.len();
        out.extend_from_slice(&[0; HEAD]);
        match self {
            Mark::Taken(event) => {
                out.push(1);
                text(out, event.id.as_bytes());
                number(out, event.destination);
                text(out, event.traffic_type.as_bytes());
                number(out, event.deadline.to_bits());
                optional(out, event.key);
                out.push(event.fingerprint.is_some() as u8);
                text(
                    out,
                    event.fingerprint.as_deref().unwrap_or_default().as_bytes(),
                );
                text(out, &event.body);
                // Behind what an older text reads, which passes over the rest of a frame.
                if let Some((word, window)) = event.guarantee.map(|promise| promise.word()) {
                    out.push(word);
                    number(out, window.to_bits());
                }
            }
            Mark::Sent {
                id,
                at,
                zone,
                time_out,
            } => {
                out.push(2);
                text(out, id.as_bytes());
                number(out, at.to_bits());
                text(out, zone.as_bytes());
                // As above.
                time_out.iter().for_each(|span| number(out, span.to_bits()));
            }
            Mark::Unrun { id } => {
                out.push(3);
                text(out, id.as_bytes());
            }
            Mark::Ended {
                id,
                outcome,
                come_back_after,
            } => {
                out.push(4);
                text(out, id.as_bytes());
                out.push((*outcome == Outcome::Abandoned) as u8);
                optional(out, come_back_after.map(f64::to_bits));
            }
            Mark::Over { id } => {
                out.push(5);
                text(out, id.as_bytes());
            }
            Mark::Cold {
                target,
                since,
                usual,
            } => {
                out.push(6);
                text(out, target.as_bytes());
                number(out, since.to_bits());
                number(out, usual.to_bits());
            }
        }
        let length = (out.len() - from - HEAD) as u32;
        let sum = crc32fast::hash(&out[from + HEAD..]);
        out[from..from + 4].copy_from_slice(&length.to_le_bytes());
        out[from + 4..from + HEAD].copy_from_slice(&sum.to_le_bytes());
    }
}

fn number(out: &mut Vec<u8>, value: u64) {
    out.extend_from_slice(&value.to_le_bytes());
}

fn optional(out: &mut Vec<u8>, value: Option<u64>) {
    out.push(value.is_some() as u8);
    number(out, value.unwrap_or(0));
}

fn text(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(bytes);
}

/// Reads frames up to the first that is torn.
pub(crate) struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes, at: 0 }
    }

    /// The length of the whole frames read so far.
    pub(crate) fn read(&self) -> usize {
        self.at
    }

    pub(crate) fn next(&mut self) -> Option<(Mark<'a>, &'a [u8])> {
        let rest = &self.bytes[self.at..];
        let length = u32::from_le_bytes(rest.get(..4)?.try_into().ok()?) as usize;
        let sum = u32::from_le_bytes(rest.get(4..HEAD)?.try_into().ok()?);
        let payload = rest.get(HEAD..HEAD.checked_add(length)?)?;
        let mark = (crc32fast::hash(payload) == sum)
            .then(|| Payload(payload).mark())
            .flatten()?;
        self.at += HEAD + length;
        Some((mark, &rest[..HEAD + length]))
    }
}

struct Payload<'a>(&'a [u8]);

impl<'a> Payload<'a> {
    fn mark(mut self) -> Option<Mark<'a>> {
        Some(match self.byte()? {
            1 => Mark::Taken(AcceptedEvent {
                id: self.text()?,
                destination: self.number()?,
                traffic_type: self.text()?,
                deadline: f64::from_bits(self.number()?),
                key: self.optional()?,
                fingerprint: {
                    let there = self.byte()? == 1;
                    Some(self.text()?).filter(|_| there)
                },
                body: self.bytes()?.into(),
                guarantee: self
                    .byte()
                    .zip(self.number())
                    .map(|(w, at)| DeliveryGuarantee::read((w, f64::from_bits(at)))),
            }),
            2 => Mark::Sent {
                id: self.text()?,
                at: f64::from_bits(self.number()?),
                zone: self.text()?,
                time_out: self.number().map(f64::from_bits),
            },
            3 => Mark::Unrun { id: self.text()? },
            4 => Mark::Ended {
                id: self.text()?,
                outcome: if self.byte()? == 1 {
                    Outcome::Abandoned
                } else {
                    Outcome::Rejected
                },
                come_back_after: self.optional()?.map(f64::from_bits),
            },
            5 => Mark::Over { id: self.text()? },
            6 => Mark::Cold {
                target: self.text()?,
                since: f64::from_bits(self.number()?),
                // Not there in what an older text wrote.
                usual: self.number().map_or(0.0, f64::from_bits),
            },
            _ => return None,
        })
    }

    fn split(&mut self, at: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(at)?;
        self.0 = rest;
        Some(head)
    }
    fn byte(&mut self) -> Option<u8> {
        Some(self.split(1)?[0])
    }
    fn number(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.split(8)?.try_into().ok()?))
    }
    fn optional(&mut self) -> Option<Option<u64>> {
        let there = self.byte()? == 1;
        Some(Some(self.number()?).filter(|_| there))
    }
    fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = u32::from_le_bytes(self.split(4)?.try_into().ok()?);
        self.split(length as usize)
    }
    fn text(&mut self) -> Option<Cow<'a, str>> {
        std::str::from_utf8(self.bytes()?).ok().map(Cow::from)
    }
}

/// The frames of a command, each whole, up to the first that is torn: to cut one into several commands.
pub fn frames(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let (_, frame) = Reader::new(bytes).next()?;
        bytes = &bytes[frame.len()..];
        Some(frame)
    })
}
