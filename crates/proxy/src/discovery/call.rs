//! One call to discovery: a watch of the endpoint list, from its connection to its end. It has no time-outs of its own:
//! the balancer's subscription cancels it.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use leadrelay_core::{CallEnd, CallId};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::endpoint_list::{EndpointList, ListError};
use super::framing::{Frame, FrameError, Framer};
use crate::socket::Uninterrupted;

/// The target of a watch, to which the version may be added.
const WATCH_TARGET: &str = "/discovery/hosts?watch=1";

/// What a call reports.
#[derive(Debug)]
pub enum CallReport {
    /// Its connection is established.
    Connected(CallId),
    /// The list, or changes of it.
    Update {
        /// The call that it answers.
        call: CallId,
        /// When it was read.
        read_at: Instant,
        /// What was read.
        list: EndpointList,
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
    /// Its connection was not established.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke, or the response is not HTTP.
    #[error("the connection broke: {0}")]
    Http(#[from] hyper::Error),
    /// It was rejected.
    #[error("status {0}")]
    Status(StatusCode),
    /// The response has ended properly.
    #[error("the watch has ended")]
    Closed,
    /// It ended within an object.
    #[error("the watch has ended inside an object")]
    Truncated,
    /// What was received does not have the form of a watch.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A list can't be used.
    #[error(transparent)]
    List(#[from] ListError),
}

impl CallError {
    /// What it means for the subscription.
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
    /// Its id.
    pub id: CallId,
    /// Where discovery is.
    pub address: SocketAddr,
    /// The version after which changes are wanted; `None` for the complete list.
    pub after: Option<u64>,
}

impl Call {
    /// Makes the call and reports everything about it, its end included.
    pub async fn run(self, report: impl Fn(CallReport)) {
        let call = self.id;
        let started_at = Instant::now();
        let error = match self.follow(&report).await {
            Ok(()) => CallError::Closed,
            Err(error) => error,
        };
        let at = if error.end() == CallEnd::Unreachable { started_at } else { Instant::now() };
        report(CallReport::Ended { call, at, error });
    }

    async fn follow(&self, report: &impl Fn(CallReport)) -> Result<(), CallError> {
        let stream = TcpStream::connect(self.address).await.map_err(CallError::Connect)?;
        report(CallReport::Connected(self.id));
        let (mut sender, connection) = http1::handshake(TokioIo::new(Uninterrupted(stream))).await?;
        let mut connections = JoinSet::new(); // aborts the connection's task when it is dropped
        connections.spawn_local(async move {
            let _ = connection.await; // its end is seen in the body
        });
        let response = sender.send_request(self.request()).await?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        self.read_body(response.into_body(), report).await
    }

    async fn read_body(&self, mut body: Incoming, report: &impl Fn(CallReport)) -> Result<(), CallError> {
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
                report(self.parse(frame, read_at)?);
            }
            framed?;
        }
        match framer.is_partial() {
            true => Err(CallError::Truncated),
            false => Ok(()),
        }
    }

    fn request(&self) -> Request<Empty<Bytes>> {
        let mut target = String::from(WATCH_TARGET);
        if let Some(version) = self.after {
            target.push_str(&format!("&after={version}"));
        }
        let mut request = Request::new(Empty::new());
        *request.uri_mut() = target.parse().expect("digits and letters make a target");
        let host = self.address.to_string().parse().expect("an address makes a header");
        request.headers_mut().insert(hyper::header::HOST, host);
        request
    }

    fn parse(&self, frame: Frame, read_at: Instant) -> Result<CallReport, CallError> {
        let call = self.id;
        Ok(match frame {
            Frame::Object(text) => CallReport::Update { call, read_at, list: EndpointList::parse(&text)? },
            Frame::Heartbeat => CallReport::Heartbeat { call, read_at },
        })
    }
}
