//! Writes heads; a body follows as it is.

use std::fmt::Display;
use std::io::Write;

/// Appends the head of a request with a body of that length.
pub fn request(out: &mut Vec<u8>, method: &str, target: &str, fields: &[(&str, &dyn Display)], body: usize) {
    fields_after(out, format_args!("{method} {target} HTTP/1.1"), fields, Some(body));
}

/// Appends the head of a response with a body of that length; a 204 and any under 200 have none.
pub fn response(out: &mut Vec<u8>, status: u16, fields: &[(&str, &dyn Display)], body: usize) {
    let length = (status >= 200 && status != 204).then_some(body);
    fields_after(out, format_args!("HTTP/1.1 {status} {}", reason(status)), fields, length);
}

fn fields_after(
    out: &mut Vec<u8>,
    first: impl Display,
    fields: &[(&str, &dyn Display)],
    body: Option<usize>,
) {
    let fits = "memory takes every write";
    write!(out, "{first}\r\n").expect(fits);
    for (name, value) in fields {
        write!(out, "{name}: {value}\r\n").expect(fits);
    }
    if let Some(length) = body {
        write!(out, "Content-Length: {length}\r\n").expect(fits);
    }
    out.extend_from_slice(b"\r\n");
}

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
