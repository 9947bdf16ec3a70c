//! The subset of HTTP/1.1 that the test clients, backends and discovery need.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt as _};

/// Maximum length of a message head, in bytes.
const MAX_HEAD_LENGTH: usize = 64 << 10;
/// Buffer space reserved for each read, in bytes.
const READ_SIZE: usize = 64 << 10;

/// The head of a message: its first line and its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn parse(text: &str) -> Self {
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
        Head { first_line, headers }
    }

    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// Returns the announced length of the body in bytes; 0 if there is none or it can't be parsed.
    pub fn content_length(&self) -> usize {
        self.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Returns the status of a response; 0 if it can't be parsed.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads messages from one side of a connection.
pub struct MessageReader<R> {
    stream: R,
    /// Bytes that were received but not consumed.
    unread: Vec<u8>,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Creates a reader with an empty buffer.
    pub fn new(stream: R) -> Self {
        MessageReader { stream, unread: Vec::new() }
    }

    /// Waits for data; returns false if the connection ends first.
    ///
    /// # Errors
    /// If reading fails.
    pub async fn wait_for_data(&mut self) -> io::Result<bool> {
        Ok(!self.unread.is_empty() || self.fill().await? > 0)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    ///
    /// # Errors
    /// If reading fails, or if the head is too long or cut short.
    pub async fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.unread, b"\r\n\r\n") {
                let head = Head::parse(&String::from_utf8_lossy(&self.unread[..end]));
                self.unread.drain(..end + 4);
                return Ok(Some(head));
            }
            if self.unread.len() > MAX_HEAD_LENGTH {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.unread.is_empty() {
                if self.fill().await? == 0 {
                    return Ok(None);
                }
            } else {
                self.fill_or_fail().await?;
            }
        }
    }

    /// Reads and discards the body that belongs to a head; returns its length.
    ///
    /// # Errors
    /// If reading fails, or if the body is malformed or cut short.
    pub async fn skip_body(&mut self, head: &Head) -> io::Result<usize> {
        if head.header("transfer-encoding").is_some() {
            return self.skip_chunked_body().await;
        }
        let length = head.content_length();
        self.skip(length).await?;
        Ok(length)
    }

    async fn skip_chunked_body(&mut self) -> io::Result<usize> {
        let mut total = 0;
        loop {
            let line = self.read_line().await?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            self.skip(size + 2).await?;
            total += size;
            if size == 0 {
                return Ok(total);
            }
        }
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.unread, b"\r\n") {
                let line = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 2);
                return Ok(line);
            }
            self.fill_or_fail().await?;
        }
    }

    async fn skip(&mut self, mut length: usize) -> io::Result<()> {
        while length > 0 {
            if self.unread.is_empty() {
                self.fill_or_fail().await?;
            }
            let taken = length.min(self.unread.len());
            self.unread.drain(..taken);
            length -= taken;
        }
        Ok(())
    }

    async fn fill_or_fail(&mut self) -> io::Result<()> {
        match self.fill().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.unread.reserve(READ_SIZE);
        self.stream.read_buf(&mut self.unread).await
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
