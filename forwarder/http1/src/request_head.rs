//! The head of a request.

use crate::fields::{is_token_byte, split_head, Version};
use crate::{Body, Fields, Malformed};

/// The head of a request.
#[derive(Debug)]
pub struct RequestHead<'a> {
    /// The method, such as `POST`.
    pub method: &'a str,
    /// The path with its query, possibly preceded by `http://` and an address; or `*`.
    pub target: &'a str,
    /// The header fields.
    pub fields: Fields<'a>,
    /// The length of the body.
    pub body: Body,
    /// Whether the connection is to be closed after the response.
    pub closes: bool,
    /// Whether the client waits for a response with status 100 before it sends the body.
    pub expects_continue: bool,
}

impl<'a> RequestHead<'a> {
    /// Parses a complete head, including its empty line.
    ///
    /// # Errors
    /// The head is not HTTP/1.x, or two parsers could read it differently.
    pub fn read(head: &'a [u8]) -> Result<Self, Malformed> {
        let (line, fields) = split_head(head, None)?;
        let mut words = line.split(' ');
        let (Some(method), Some(target), Some(version), None) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            return Err(Malformed("the request line is not three words"));
        };
        if method.is_empty() || !method.bytes().all(is_token_byte) {
            return Err(Malformed("the method is not a word"));
        }
        if !target.starts_with('/') && !target.starts_with("http://") && target != "*" {
            return Err(Malformed("the request's target is not a path"));
        }
        let version = Version::read(version)?;
        if version == Version::Http11 && fields.all("host").count() != 1 {
            return Err(Malformed("one host field is required"));
        }
        let body = fields.framing(version)?.unwrap_or(Body::Length(0));
        let expects_continue =
            version == Version::Http11 && fields.has_token("expect", "100-continue");
        let closes = fields.closes(version);
        Ok(RequestHead {
            method,
            target,
            fields,
            body,
            closes,
            expects_continue,
        })
    }

    /// The path, without an address before it and without a query or fragment after it.
    pub fn path(&self) -> &'a str {
        let path_and_query = match self.target.strip_prefix("http://") {
            Some(address) => address.find('/').map_or("/", |at| &address[at..]),
            None => self.target,
        };
        path_and_query.split(['?', '#']).next().unwrap_or_default()
    }
}
