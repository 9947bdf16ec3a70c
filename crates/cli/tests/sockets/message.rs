//! HTTP/1.1 messages and a blocking reader for them.

use std::io::BufRead;

/// A request or response as read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header with this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The status code of a response, or 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The request id, or an empty text if there is none.
    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or("")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; `None` if the connection ends before the message is complete.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(stream)?;
    if message.header("transfer-encoding").is_some() {
        return read_chunks(stream, message);
    }
    let length = message.header("content-length").map_or(0, |value| value.parse().expect("a length"));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads the head of a message, without its body; `None` if the connection ends before the head is complete.
pub fn read_head(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else if line.is_empty() {
            return Some(message);
        } else {
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a chunked body up to its last chunk. Trailers are not supported.
fn read_chunks(stream: &mut impl BufRead, mut message: Message) -> Option<Message> {
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|length| *length > 0)?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).ok()?;
        message.body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Some(message);
        }
    }
}
