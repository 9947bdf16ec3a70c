//! One call to discovery: a watch, from its connection to its end. It has no bounds of its own: whoever wants nothing
//! more of it drops it.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use leadrelay_core::{CallEnd, CallId};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::framing::{Frame, FrameError, Framer};
use super::list::{ListError, ServerList};
use crate::socket::Uninterrupted;

/// What is seen of a call.
#[derive(Debug)]
pub enum Report {
    /// Its connection is up.
    Connected(CallId),
    /// News.
    Update {
        /// The call that it answers.
        call: CallId,
        /// When it was read.
        read_at: Instant,
        /// The whole list, or what has changed.
        list: ServerList,
    },
    /// Nothing has changed.
    Heartbeat {
        /// The call that it answers.
        call: CallId,
        /// When it was read.
        read_at: Instant,
    },
    /// It has ended.
    Ended {
        /// The call.
        call: CallId,
        /// When; for one that was never accepted, when it began.
        at: Instant,
        /// Why.
        error: CallError,
    },
}

/// Why a call ended.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Its connection did not come up.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke, or what came is no HTTP.
    #[error("the connection broke: {0}")]
    Http(#[from] hyper::Error),
    /// It was turned away.
    #[error("status {0}")]
    Status(StatusCode),
    /// It has ended properly.
    #[error("the watch has ended")]
    Closed,
    /// It broke inside an object.
    #[error("the watch has ended inside an object")]
    Truncated,
    /// What came is no watch.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A list can't be used.
    #[error(transparent)]
    List(#[from] ListError),
}

impl CallError {
    /// What it means for what is known of the list.
    pub fn end(&self) -> CallEnd {
        match self {
            CallError::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                CallEnd::Unreachable
            }
            CallError::Connect(_) | CallError::Http(_) | CallError::Status(_) | CallError::Closed => {
                CallEnd::Closed
            }
            CallError::Truncated | CallError::Frame(_) | CallError::List(_) => CallEnd::Malformed,
        }
    }
}

/// A call to be made.
pub struct Call {
    /// Its number.
    pub id: CallId,
    /// Where discovery is.
    pub address: SocketAddr,
    /// The version after which changes are wanted; `None` for the whole list.
    pub after: Option<u64>,
}

impl Call {
    /// Makes the call and reports all that is seen of it, its end included.
    pub async fn run(self, report: impl Fn(Report)) {
        let call = self.id;
        let begun_at = Instant::now();
        let error = match self.follow(&report).await {
            Ok(()) => CallError::Closed,
            Err(error) => error,
        };
        let at = if error.end() == CallEnd::Unreachable { begun_at } else { Instant::now() };
        report(Report::Ended { call, at, error });
    }

    async fn follow(&self, report: &impl Fn(Report)) -> Result<(), CallError> {
        let stream = TcpStream::connect(self.address).await.map_err(CallError::Connect)?;
        report(Report::Connected(self.id));
        let (mut sender, connection) = http1::handshake(TokioIo::new(Uninterrupted(stream))).await?;
        let mut connections = JoinSet::new();
        connections.spawn_local(async move {
            let _ = connection.await; // its end shows in the body
        });
        let answer = sender.send_request(self.request()).await?;
        if answer.status() != StatusCode::OK {
            return Err(CallError::Status(answer.status()));
        }
        let mut body = answer.into_body();
        let mut framer = Framer::default();
        let mut frames = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| match framer.is_partial() {
                true => CallError::Truncated,
                false => error.into(),
            })?;
            let Ok(data) = frame.into_data() else { continue };
            let read_at = Instant::now();
            let framed = framer.push(&data, &mut frames);
            for frame in frames.drain(..) {
                report(self.read(frame, read_at)?);
            }
            framed?;
        }
        if framer.is_partial() { Err(CallError::Truncated) } else { Ok(()) }
    }

    fn request(&self) -> Request<Empty<Bytes>> {
        let after = self.after.map_or(String::new(), |version| format!("&after={version}"));
        let mut request = Request::new(Empty::new());
        let target = format!("/discovery/hosts?watch=1{after}");
        *request.uri_mut() = target.parse().expect("digits and letters make a target");
        let host = self.address.to_string().parse().expect("an address makes a header");
        request.headers_mut().insert(hyper::header::HOST, host);
        request
    }

    fn read(&self, frame: Frame, read_at: Instant) -> Result<Report, CallError> {
        let call = self.id;
        Ok(match frame {
            Frame::Object(text) => Report::Update { call, read_at, list: ServerList::parse(&text)? },
            Frame::Heartbeat => Report::Heartbeat { call, read_at },
        })
    }
}
