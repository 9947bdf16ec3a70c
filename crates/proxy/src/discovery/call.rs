//! One call to discovery: a watch of the endpoint list, from opening its connection to the end of the call. A call
//! applies no timeouts; the balancer's subscription decides when to cancel it, for example because it takes too long.

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

/// The request target of a watch. `Call::request` appends `&after=VERSION` to get only the changes after a version.
const WATCH_TARGET: &str = "/discovery/hosts?watch=1";

/// A report of what happened on a call.
#[derive(Debug)]
pub enum CallReport {
    /// The connection of the call is established.
    Connected(CallId),
    /// The call delivered the endpoint list, or changes to it.
    Update {
        /// The call that delivered the update.
        call: CallId,
        /// When the update was read from the connection.
        read_at: Instant,
        /// The parsed list.
        list: EndpointList,
    },
    /// The call delivered a heartbeat, which says that nothing has changed.
    Heartbeat {
        /// The call that delivered the heartbeat.
        call: CallId,
        /// When the heartbeat was read from the connection.
        read_at: Instant,
    },
    /// The call has ended.
    Ended {
        /// The call that ended.
        call: CallId,
        /// When the call ended. For a call whose connection was refused, when it started.
        at: Instant,
        /// Why the call ended.
        error: CallError,
    },
}

/// Why a call ended.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection was not established.
    #[error("connection failed: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke, or the response is not valid HTTP.
    #[error("broken connection or invalid response: {0}")]
    Http(#[from] hyper::Error),
    /// Discovery responded with a status other than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// Discovery ended the response between two objects, or before the first one.
    #[error("the watch was closed by discovery")]
    Closed,
    /// The response ended inside an object.
    #[error("the watch ended inside an object")]
    Truncated,
    /// The response body does not have the format of a watch.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A received list is malformed.
    #[error(transparent)]
    List(#[from] ListError),
}

impl CallError {
    /// The kind of end that the balancer's subscription distinguishes.
    pub fn call_end(&self) -> CallEnd {
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

/// A call to discovery that is about to be made.
pub struct Call {
    /// The call's id.
    pub id: CallId,
    /// The address of discovery.
    pub address: SocketAddr,
    /// Requests the changes after this version of the list; `None` requests the complete list.
    pub after: Option<u64>,
}

impl Call {
    /// Makes the call and passes each event on it to `report`, including its end.
    pub async fn run(self, report: impl Fn(CallReport)) {
        let call = self.id;
        let started_at = Instant::now();
        let error = match self.watch(&report).await {
            Ok(()) => CallError::Closed,
            Err(error) => error,
        };
        let at = if error.call_end() == CallEnd::Unreachable { started_at } else { Instant::now() };
        report(CallReport::Ended { call, at, error });
    }

    /// Connects to discovery, requests the watch and reads it until it ends.
    async fn watch(&self, report: &impl Fn(CallReport)) -> Result<(), CallError> {
        let stream = TcpStream::connect(self.address).await.map_err(CallError::Connect)?;
        report(CallReport::Connected(self.id));
        let (mut sender, connection) = http1::handshake(TokioIo::new(Uninterrupted(stream))).await?;
        let mut connections = JoinSet::new(); // aborts the connection's task when it is dropped
        connections.spawn_local(async move {
            let _ = connection.await; // `read_body` sees the end of the connection, too
        });
        let response = sender.send_request(self.request()).await?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        self.read_body(response.into_body(), report).await
    }

    /// Reads the response body and reports each update and heartbeat in it.
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
        *request.uri_mut() = target.parse().expect("the request target consists of valid characters");
        let host = self.address.to_string().parse().expect("an address is a valid header value");
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
