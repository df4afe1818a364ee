//! The records of the log and their payloads. A payload begins with its record's tag; numbers are little-endian,
//! and a text or body is preceded by its length as a 32-bit number.
//!
//! A reader ignores bytes after the fields that it supports, and reads missing trailing fields as absent. A new field
//! is therefore added after all others, so that versions with and without it read each other's files.

use std::borrow::Cow;

use crate::frame::{read_frame, write_frame};
use crate::guarantee::DeliveryGuarantee;

const ACCEPTED_TAG: u8 = 1;
const ATTEMPT_TAG: u8 = 2;
const ATTEMPT_NOT_EXECUTED_TAG: u8 = 3;
const OUTCOME_TAG: u8 = 4;
const COMPLETED_TAG: u8 = 5;
const WARM_UP_TAG: u8 = 6;

/// An event as it was accepted.
#[derive(Clone, Debug, Default)]
pub struct AcceptedEvent<'a> {
    /// The id that the client gave the event.
    pub id: Cow<'a, str>,
    /// The number of the event's destination.
    pub destination: u64,
    /// The name of the event's traffic type.
    pub traffic_type: Cow<'a, str>,
    /// The event's deadline, in milliseconds since the Unix epoch.
    pub deadline: f64,
    /// The event's order key: events with the same key are delivered in the order of acceptance.
    pub key: Option<u64>,
    /// The fingerprint by which a destination recognizes a repeat of the event.
    pub fingerprint: Option<Cow<'a, str>>,
    /// The body as the client sent it; empty once only the event's outcome is still to be reported.
    pub body: Cow<'a, [u8]>,
    /// `None` in a record that an older version wrote.
    pub guarantee: Option<DeliveryGuarantee>,
}

impl AcceptedEvent<'_> {
    pub(crate) fn into_owned(self) -> AcceptedEvent<'static> {
        AcceptedEvent {
            id: Cow::Owned(self.id.into_owned()),
            destination: self.destination,
            traffic_type: Cow::Owned(self.traffic_type.into_owned()),
            deadline: self.deadline,
            key: self.key,
            fingerprint: self
                .fingerprint
                .map(|fingerprint| Cow::Owned(fingerprint.into_owned())),
            body: Cow::Owned(self.body.into_owned()),
            guarantee: self.guarantee,
        }
    }
}

/// The outcome of an event that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The event was certainly never executed.
    Rejected,
    /// An attempt may have executed the event.
    Abandoned,
}

/// A record of the log.
pub(crate) enum LogRecord<'a> {
    Accepted(AcceptedEvent<'a>),
    /// An attempt is about to be sent.
    Attempt {
        id: Cow<'a, str>,
        /// Milliseconds since the Unix epoch.
        started_at: f64,
        zone: Cow<'a, str>,
        /// Timeout of the call in milliseconds, recorded if another process may take over while the call is still in
        /// flight.
        timeout: Option<f64>,
    },
    /// The last attempt certainly did not execute the event.
    AttemptNotExecuted {
        id: Cow<'a, str>,
    },
    /// The event has its outcome, which its client has not acknowledged yet.
    Outcome {
        id: Cow<'a, str>,
        outcome: Outcome,
        /// Delay in milliseconds after which the client may submit the event again.
        retry_after: Option<f64>,
    },
    /// The event is completed: neither its delivery nor an acknowledgement is pending.
    Completed {
        id: Cow<'a, str>,
    },
    /// A target is warming up, or its warm-up is over.
    WarmUp {
        target: Cow<'a, str>,
        /// Start of the warm-up in milliseconds since the Unix epoch; NaN if the warm-up is over.
        since: f64,
        /// The target's usual rate, in events a second.
        usual_rate: f64,
    },
}

impl LogRecord<'_> {
    /// Appends the record in its frame.
    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        write_frame(out, |payload| self.write_payload(payload));
    }

    fn write_payload(&self, out: &mut Vec<u8>) {
        match self {
            LogRecord::Accepted(event) => write_accepted(out, event),
            LogRecord::Attempt {
                id,
                started_at,
                zone,
                timeout,
            } => {
                out.push(ATTEMPT_TAG);
                write_text(out, id);
                write_float(out, *started_at);
                write_text(out, zone);
                if let Some(timeout) = timeout {
                    write_float(out, *timeout);
                }
            }
            LogRecord::AttemptNotExecuted { id } => {
                out.push(ATTEMPT_NOT_EXECUTED_TAG);
                write_text(out, id);
            }
            LogRecord::Outcome {
                id,
                outcome,
                retry_after,
            } => {
                out.push(OUTCOME_TAG);
                write_text(out, id);
                out.push(match outcome {
                    Outcome::Rejected => 0,
                    Outcome::Abandoned => 1,
                });
                write_optional(out, retry_after.map(f64::to_bits));
            }
            LogRecord::Completed { id } => {
                out.push(COMPLETED_TAG);
                write_text(out, id);
            }
            LogRecord::WarmUp {
                target,
                since,
                usual_rate,
            } => {
                out.push(WARM_UP_TAG);
                write_text(out, target);
                write_float(out, *since);
                write_float(out, *usual_rate);
            }
        }
    }
}

fn write_accepted(out: &mut Vec<u8>, event: &AcceptedEvent) {
    out.push(ACCEPTED_TAG);
    write_text(out, &event.id);
    write_number(out, event.destination);
    write_text(out, &event.traffic_type);
    write_float(out, event.deadline);
    write_optional(out, event.key);
    out.push(u8::from(event.fingerprint.is_some()));
    write_text(out, event.fingerprint.as_deref().unwrap_or_default());
    write_bytes(out, &event.body);
    if let Some(guarantee) = event.guarantee {
        let (flags, window) = guarantee.to_wire();
        out.push(flags);
        write_float(out, window);
    }
}

fn write_number(out: &mut Vec<u8>, value: u64) {
    out.extend_from_slice(&value.to_le_bytes());
}

fn write_float(out: &mut Vec<u8>, value: f64) {
    write_number(out, value.to_bits());
}

fn write_optional(out: &mut Vec<u8>, value: Option<u64>) {
    out.push(u8::from(value.is_some()));
    write_number(out, value.unwrap_or(0));
}

fn write_text(out: &mut Vec<u8>, text: &str) {
    write_bytes(out, text.as_bytes());
}

fn write_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(bytes);
}

/// A record with the frame that it was read from.
pub(crate) struct FramedRecord<'a> {
    pub(crate) record: LogRecord<'a>,
    pub(crate) frame: &'a [u8],
}

/// Reads records up to the first whose frame is torn or whose payload is not a known record.
pub(crate) struct RecordReader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> RecordReader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        RecordReader { bytes, position: 0 }
    }

    /// The length of the records read so far, in bytes.
    pub(crate) fn position(&self) -> usize {
        self.position
    }
}

impl<'a> Iterator for RecordReader<'a> {
    type Item = FramedRecord<'a>;

    fn next(&mut self) -> Option<FramedRecord<'a>> {
        let frame = read_frame(&self.bytes[self.position..])?;
        let record = PayloadReader {
            rest: frame.payload,
        }
        .read_record()?;
        self.position += frame.bytes.len();
        Some(FramedRecord {
            record,
            frame: frame.bytes,
        })
    }
}

/// Iterates over the complete frames at the beginning of `bytes`, up to the first torn one. Frames that together are
/// too long for one command of a Raft group are split at these boundaries.
pub fn frames(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    RecordReader::new(bytes).map(|framed| framed.frame)
}

struct PayloadReader<'a> {
    rest: &'a [u8],
}

impl<'a> PayloadReader<'a> {
    fn read_record(mut self) -> Option<LogRecord<'a>> {
        match self.byte()? {
            ACCEPTED_TAG => self.accepted(),
            ATTEMPT_TAG => Some(LogRecord::Attempt {
                id: self.text()?,
                started_at: self.float()?,
                zone: self.text()?,
                timeout: self.float(),
            }),
            ATTEMPT_NOT_EXECUTED_TAG => Some(LogRecord::AttemptNotExecuted { id: self.text()? }),
            OUTCOME_TAG => Some(LogRecord::Outcome {
                id: self.text()?,
                outcome: match self.byte()? {
                    1 => Outcome::Abandoned,
                    _ => Outcome::Rejected,
                },
                retry_after: self.optional()?.map(f64::from_bits),
            }),
            COMPLETED_TAG => Some(LogRecord::Completed { id: self.text()? }),
            WARM_UP_TAG => Some(LogRecord::WarmUp {
                target: self.text()?,
                since: self.float()?,
                // Absent in records of older versions.
                usual_rate: self.float().unwrap_or(0.0),
            }),
            _ => None,
        }
    }

    fn accepted(&mut self) -> Option<LogRecord<'a>> {
        Some(LogRecord::Accepted(AcceptedEvent {
            id: self.text()?,
            destination: self.number()?,
            traffic_type: self.text()?,
            deadline: self.float()?,
            key: self.optional()?,
            fingerprint: self.optional_text()?,
            body: Cow::Borrowed(self.bytes()?),
            guarantee: self.guarantee(),
        }))
    }

    fn guarantee(&mut self) -> Option<DeliveryGuarantee> {
        let flags = self.byte()?;
        let window = self.float()?;
        Some(DeliveryGuarantee::from_wire(flags, window))
    }

    fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.rest.split_at_checked(length)?;
        self.rest = rest;
        Some(taken)
    }

    fn byte(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }

    fn number(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }

    fn float(&mut self) -> Option<f64> {
        Some(f64::from_bits(self.number()?))
    }

    fn optional(&mut self) -> Option<Option<u64>> {
        let is_present = self.byte()? == 1;
        let value = self.number()?;
        Some(is_present.then_some(value))
    }

    fn optional_text(&mut self) -> Option<Option<Cow<'a, str>>> {
        let is_present = self.byte()? == 1;
        let text = self.text()?;
        Some(is_present.then_some(text))
    }

    fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        self.take(length as usize)
    }

    fn text(&mut self) -> Option<Cow<'a, str>> {
        std::str::from_utf8(self.bytes()?).ok().map(Cow::Borrowed)
    }
}
