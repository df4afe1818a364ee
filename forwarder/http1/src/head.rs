//! Finds and reads the head of a request or a response.

use std::fmt;

/// What about a message can't be read; it goes into the log and the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Looks for the end of a head; what was looked at before is not looked at again.
#[derive(Default)]
pub struct HeadSearch {
    seen: usize,
}

impl HeadSearch {
    /// The length of the head with its empty line, once all of it is there.
    pub fn end(&mut self, bytes: &[u8]) -> Option<usize> {
        let from = self.seen.saturating_sub(3);
        let found = bytes[from..]
            .windows(4)
            .position(|w| w == b"\r\n\r\n")
            .map(|at| from + at + 4);
        self.seen = bytes.len();
        found
    }
}

/// How many bytes of empty lines stand in front.
pub fn empty_lines(bytes: &[u8]) -> usize {
    2 * bytes
        .chunks_exact(2)
        .take_while(|pair| *pair == b"\r\n")
        .count()
}

/// Whether these bytes can be the beginning of a request, or nothing at all.
pub fn may_begin(bytes: &[u8]) -> bool {
    let mut words = bytes.splitn(2, |b| *b == b' ');
    let (method, rest) = (words.next().unwrap_or_default(), words.next());
    let longest = method.len() <= 16 && method.iter().all(u8::is_ascii_uppercase);
    longest && rest.is_none_or(|rest| rest.first().is_none_or(|b| matches!(b, b'/' | b'*' | b'h')))
}

/// How long the body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    Length(u64),
    Chunked,
    UntilClose,
}

#[derive(Debug)]
pub struct RequestHead<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub fields: Fields<'a>,
    pub body: Body,
    pub closes: bool,
    pub expects_continue: bool,
}

#[derive(Debug)]
pub struct ResponseHead<'a> {
    pub status: u16,
    pub fields: Fields<'a>,
    pub body: Body,
    pub closes: bool,
}

impl<'a> RequestHead<'a> {
    /// Reads a whole head, its empty line included.
    pub fn read(head: &'a [u8]) -> Result<Self, Malformed> {
        let (line, fields) = split(head, None)?;
        let mut words = line.split(' ');
        let (Some(method), Some(target), Some(version), None) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            return Err(Malformed("the request line is not three words"));
        };
        if method.is_empty() || !method.bytes().all(is_token) {
            return Err(Malformed("the method is not a word"));
        }
        if !target.starts_with('/') && !target.starts_with("http://") && target != "*" {
            return Err(Malformed("the request's target is not a path"));
        }
        let old = is_old(version)?;
        if !old && fields.all("host").count() != 1 {
            return Err(Malformed("one host field is required"));
        }
        let body = match fields.framing(old)? {
            Some(body) => body,
            None => Body::Length(0),
        };
        let expects_continue = !old && fields.has_word("expect", "100-continue");
        Ok(RequestHead {
            method,
            target,
            body,
            closes: fields.closes(old),
            expects_continue,
            fields,
        })
    }

    /// The path, without an address before it or a query behind it.
    pub fn path(&self) -> &'a str {
        let after = match self.target.strip_prefix("http://") {
            Some(rest) => rest.find('/').map_or("/", |at| &rest[at..]),
            None => self.target,
        };
        after.split(['?', '#']).next().unwrap_or_default()
    }
}

/// How every first line of an answer begins, up to the version's number.
const VERSION: &[u8] = b"HTTP/1.";

/// Whether no first line begins behind the beginning of another, which was broken off.
fn whole(line: &[u8]) -> Result<(), Malformed> {
    let begins = line
        .windows(VERSION.len())
        .skip(1)
        .any(|word| word == VERSION);
    (!begins)
        .then_some(())
        .ok_or(Malformed("a first line within another"))
}

/// Stands for the value of a field that can't be read. No length, coding or number reads so.
const UNREADABLE: &str = "?";

impl<'a> ResponseHead<'a> {
    /// Reads a whole head, its empty line included. A value that can't be read spoils only what needs it.
    pub fn read(head: &'a [u8]) -> Result<Self, Malformed> {
        let (line, fields) = split(head, Some(UNREADABLE))?;
        let status = status(line).and_then(|status| whole(line.as_bytes()).map(|()| status))?;
        let old = is_old(line.split(' ').next().unwrap_or_default())?;
        let body = match status {
            100..=199 | 204 | 304 => Body::Length(0),
            _ => fields.framing(old)?.unwrap_or(Body::UntilClose),
        };
        let closes = fields.closes(old) || body == Body::UntilClose;
        Ok(ResponseHead {
            status,
            body,
            closes,
            fields,
        })
    }

    /// The status, once the first line is there, whatever stands behind the number or follows the line. A line in
    /// which another begins is none: the first half was no answer to this request, and the second can't be told.
    pub fn status_in(bytes: &[u8]) -> Option<u16> {
        let line = &bytes[..bytes.iter().position(|b| *b == b'\n')?];
        whole(line).ok()?;
        let (start, rest) = line.split_at_checked("HTTP/1.1 200".len())?;
        let ends = rest.first().is_none_or(|b| matches!(b, b' ' | b'\r'));
        status(std::str::from_utf8(start).ok().filter(|_| ends)?).ok()
    }
}

/// The fields of a head, in their order.
#[derive(Debug)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn all<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'a str> + 's {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| *value)
    }

    /// The value, if the field stands there once.
    pub fn one(&self, name: &str) -> Result<Option<&'a str>, Malformed> {
        let mut values = self.all(name);
        match (values.next(), values.next()) {
            (value, None) => Ok(value),
            _ => Err(Malformed("a field that may stand once is there twice")),
        }
    }

    /// The value of a cookie.
    pub fn cookie(&self, name: &str) -> Option<&'a str> {
        let pairs = self.all("cookie").flat_map(|value| value.split(';'));
        pairs
            .filter_map(|pair| pair.trim().split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    fn has_word(&self, name: &str, word: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    fn closes(&self, old: bool) -> bool {
        self.has_word("connection", "close") || old && !self.has_word("connection", "keep-alive")
    }

    fn framing(&self, old: bool) -> Result<Option<Body>, Malformed> {
        let length = self.one("content-length")?;
        if let Some(coding) = self.one("transfer-encoding")? {
            if length.is_some() {
                return Err(Malformed("both a length and a transfer coding"));
            }
            if old || !coding.eq_ignore_ascii_case("chunked") {
                return Err(Malformed("a transfer coding other than chunked"));
            }
            return Ok(Some(Body::Chunked));
        }
        let Some(length) = length else {
            return Ok(None);
        };
        if length.is_empty() || length.len() > 18 || !length.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Malformed("the length is not a number"));
        }
        Ok(Some(Body::Length(length.parse().expect("up to 18 digits"))))
    }
}

/// The first line and the fields; `unreadable` stands in for values that can't be read, if they may be there.
fn split<'a>(
    head: &'a [u8],
    unreadable: Option<&'a str>,
) -> Result<(&'a str, Fields<'a>), Malformed> {
    let head = head
        .strip_suffix(b"\r\n\r\n")
        .ok_or(Malformed("the head has no end"))?;
    let mut lines =
        std::iter::successors(Some(line(head)), |(_, rest)| rest.map(line)).map(|(line, _)| line);
    let first = std::str::from_utf8(lines.next().unwrap_or_default());
    let first = first.map_err(|_| Malformed("the first line is not UTF-8"))?;
    if first.bytes().any(|b| b < b' ' || b == 127) {
        return Err(Malformed("a control character in the first line"));
    }
    let mut fields = Vec::new();
    for line in lines {
        let colon = line
            .iter()
            .position(|b| *b == b':')
            .ok_or(Malformed("a field without a colon"))?;
        let name = std::str::from_utf8(&line[..colon]).unwrap_or_default();
        if name.is_empty() || !name.bytes().all(is_token) {
            return Err(Malformed("a field's name is not a word"));
        }
        let value = std::str::from_utf8(&line[colon + 1..])
            .ok()
            .map(|value| value.trim_matches([' ', '\t']));
        let value =
            value.filter(|value| !value.bytes().any(|b| b < b' ' && b != b'\t' || b == 127));
        fields.push((
            name,
            value
                .or(unreadable)
                .ok_or(Malformed("a field's value cannot be read"))?,
        ));
    }
    Ok((first, Fields(fields)))
}

/// The first line of several, and what follows it.
fn line(text: &[u8]) -> (&[u8], Option<&[u8]>) {
    match text.windows(2).position(|w| w == b"\r\n") {
        Some(end) => (&text[..end], Some(&text[end + 2..])),
        None => (text, None),
    }
}

fn status(line: &str) -> Result<u16, Malformed> {
    let mut words = line.splitn(3, ' ');
    is_old(words.next().unwrap_or_default())?;
    let digits = words
        .next()
        .filter(|d| d.len() == 3 && d.bytes().all(|b| b.is_ascii_digit()));
    digits
        .and_then(|d| d.parse().ok())
        .filter(|status| *status >= 100)
        .ok_or(Malformed("the status is not a number"))
}

fn is_old(version: &str) -> Result<bool, Malformed> {
    match version {
        "HTTP/1.1" => Ok(false),
        "HTTP/1.0" => Ok(true),
        _ => Err(Malformed("the version is not HTTP/1.1")),
    }
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
