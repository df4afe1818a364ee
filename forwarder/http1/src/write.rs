//! Writing of heads. The caller sends the body after the head, unencoded.

use std::fmt::Display;
use std::io::{Result, Write};

/// Writes the head of a request with a body of `body` bytes.
///
/// # Errors
/// Errors of `out`.
pub fn write_request(
    out: &mut impl Write,
    method: &str,
    target: &str,
    fields: &[(&str, &dyn Display)],
    body: usize,
) -> Result<()> {
    write_head(
        out,
        format_args!("{method} {target} HTTP/1.1"),
        fields,
        Some(body),
    )
}

/// Writes the head of a response with a body of `body` bytes; a response with a status of 204 or below 200 has no body.
///
/// # Errors
/// Errors of `out`.
pub fn write_response(
    out: &mut impl Write,
    status: u16,
    fields: &[(&str, &dyn Display)],
    body: usize,
) -> Result<()> {
    let length = match status {
        ..200 | 204 => None,
        _ => Some(body),
    };
    write_head(
        out,
        format_args!("HTTP/1.1 {status} {}", reason(status)),
        fields,
        length,
    )
}

fn write_head(
    out: &mut impl Write,
    first_line: impl Display,
    fields: &[(&str, &dyn Display)],
    body: Option<usize>,
) -> Result<()> {
    write!(out, "{first_line}\r\n")?;
    for (name, value) in fields {
        write!(out, "{name}: {value}\r\n")?;
    }
    if let Some(length) = body {
        write!(out, "Content-Length: {length}\r\n")?;
    }
    out.write_all(b"\r\n")
}

/// The reason phrase of a status (RFC 9110, section 15), of those that the forwarder sends.
fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
