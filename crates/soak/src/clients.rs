//! Stand-in clients, most of them well-behaved.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{sleep, timeout};

use crate::http::{Head, Reader};
use crate::ledger::{End, Ledger, Request};
use crate::proxy::Proxy;
use crate::settings::Class;

/// Mean pause between the requests of a client.
const PAUSE: Duration = Duration::from_millis(250);
/// How long after its time an answer is still waited for, to see whether it comes at all.
const EXTRA_WAIT: Duration = Duration::from_millis(1500);
/// Bytes of a long body.
const LONG_BODY: usize = 200 << 10;

/// What clients do besides asking and waiting, each in so many of a hundred requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Habits {
    /// They leave before the answer.
    pub leave: u32,
    /// They send the next request at once, behind the first.
    pub pipeline: u32,
    /// They send long bodies.
    pub upload: u32,
    /// They ask for long answers and read them slowly.
    pub read_slowly: u32,
    /// They stop in the middle of a request and stay.
    pub stall: u32,
}

impl Habits {
    /// What clients do on a quiet day.
    pub const USUAL: Habits = Habits { leave: 4, pipeline: 2, upload: 2, read_slowly: 1, stall: 1 };
}

/// Gives each request an id of its own.
#[derive(Default)]
pub struct Ids(AtomicU64);

impl Ids {
    fn next(&self) -> String {
        format!("r-{:x}", self.0.fetch_add(1, SeqCst))
    }
}

/// A client of one proxy.
pub struct Client {
    /// Whom it asks.
    pub proxy: Arc<Proxy>,
    /// Where it notes what it sees.
    pub ledger: Arc<Ledger>,
    /// Where its ids come from.
    pub ids: Arc<Ids>,
    /// What it does at present.
    pub habits: Arc<std::sync::Mutex<Habits>>,
}

/// A connection of a client.
struct Connection {
    reader: Reader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    requests: u32,
}

/// A request about to be sent.
struct Draft {
    id: String,
    class: Class,
    timeout: Duration,
    body: usize,
    long_answer: bool,
}

/// What a client does with one request.
#[derive(Clone, Copy, PartialEq)]
enum Conduct {
    Wait,
    Leave,
    Pipeline,
    ReadSlowly,
    Stall,
}

impl Client {
    /// Asks for ever.
    pub async fn run(self) {
        let mut connection = None;
        loop {
            sleep(PAUSE.mul_f64(2.0 * fastrand::f64())).await;
            let usable = connection.take().filter(|connection: &Connection| !connection.has_ended());
            let ready = match usable {
                Some(ready) => Some(ready),
                None => self.connect().await.ok(),
            };
            let Some(ready) = ready else { continue };
            connection = self.ask(ready).await;
        }
    }

    async fn connect(&self) -> io::Result<Connection> {
        if !self.proxy.accepts() {
            return Err(io::ErrorKind::NotConnected.into());
        }
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(self.proxy.place.listen)).await??;
        stream.set_nodelay(true)?;
        let (input, output) = stream.into_split();
        Ok(Connection { reader: Reader::new(input), output, requests: 0 })
    }

    fn draw(&self) -> (Conduct, Draft) {
        let habits = *self.habits.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut draw = fastrand::u32(0..100);
        let mut falls_in = |share: u32| {
            let falls = draw < share;
            draw = if falls { u32::MAX } else { draw - share };
            falls
        };
        let conduct = if falls_in(habits.leave) {
            Conduct::Leave
        } else if falls_in(habits.pipeline) {
            Conduct::Pipeline
        } else if falls_in(habits.read_slowly) {
            Conduct::ReadSlowly
        } else if falls_in(habits.stall) {
            Conduct::Stall
        } else {
            Conduct::Wait
        };
        let upload = conduct == Conduct::Wait && fastrand::u32(0..100) < habits.upload;
        let class = if upload { Class::Submit } else { Class::ALL[fastrand::usize(0..Class::ALL.len())] };
        let body = match class {
            Class::Read => 0,
            _ if upload => LONG_BODY,
            _ => fastrand::usize(1..2000),
        };
        let timeout = Duration::from_millis(fastrand::u64(400..2000));
        let draft =
            Draft { id: self.ids.next(), class, timeout, body, long_answer: conduct == Conduct::ReadSlowly };
        (conduct, draft)
    }

    /// Sends a request and does what it means to do; returns the connection if it can be used again.
    async fn ask(&self, mut connection: Connection) -> Option<Connection> {
        let (conduct, draft) = self.draw();
        let text = draft.text();
        self.note(&draft, connection.requests > 0);
        if conduct == Conduct::Stall {
            return self.stall(connection, &draft, &text).await;
        }
        let sent = connection.send(&text).await;
        self.sent(&draft, sent.is_ok());
        sent.ok()?;
        match conduct {
            Conduct::Leave => {
                sleep(Duration::from_millis(fastrand::u64(0..300))).await;
                self.ledger.update(&draft.id, |request| request.left_at = Some(Instant::now()));
                None
            }
            Conduct::Pipeline => {
                let (_, mut second) = self.draw();
                second.long_answer = false;
                let text = second.text();
                self.note(&second, true);
                let sent = connection.send(&text).await;
                self.sent(&second, sent.is_ok());
                let connection = self.wait(connection, &draft, conduct).await;
                let Some(connection) = connection else {
                    // What was behind it has not been read, or is given up with the connection.
                    self.ledger.update(&second.id, |request| request.left_at = Some(Instant::now()));
                    return None;
                };
                self.wait(connection, &second, Conduct::Wait).await
            }
            Conduct::Wait | Conduct::ReadSlowly | Conduct::Stall => {
                self.wait(connection, &draft, conduct).await
            }
        }
    }

    /// Waits for the answer.
    async fn wait(&self, mut connection: Connection, draft: &Draft, conduct: Conduct) -> Option<Connection> {
        let limit = draft.timeout + EXTRA_WAIT;
        let head = match timeout(limit, connection.reader.head()).await {
            Err(_) => {
                self.ledger.end(&draft.id, End::Unanswered);
                return None;
            }
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None) | Err(_)) => {
                self.ledger.end(&draft.id, End::Closed { at: Instant::now() });
                return None;
            }
        };
        if conduct == Conduct::ReadSlowly {
            sleep(Duration::from_millis(300)).await;
        }
        let body = timeout(Duration::from_secs(5), connection.reader.body(&head)).await;
        let at = Instant::now();
        let whole = matches!(body, Ok(Ok(_)));
        let end = if whole { End::Answered { status: head.status(), at } } else { End::Broken { at } };
        self.ledger.end(&draft.id, end);
        (whole && !head.closes()).then_some(connection)
    }

    /// Sends a part of a request and waits for what becomes of it.
    async fn stall(&self, mut connection: Connection, draft: &Draft, text: &[u8]) -> Option<Connection> {
        let part = fastrand::usize(1..text.len());
        connection.output.write_all(&text[..part]).await.ok()?;
        let end: Result<io::Result<Option<Head>>, _> =
            timeout(Duration::from_secs(4), connection.reader.head()).await;
        if end.is_err() {
            // It never was a request, but its client is owed an end.
            self.ledger.end(&draft.id, End::Unanswered);
        }
        None
    }

    fn note(&self, draft: &Draft, reused: bool) {
        let request = Request {
            proxy: self.proxy.place.number,
            class: draft.class,
            timeout: draft.timeout,
            begun_at: Instant::now(),
            sent_at: None,
            reused,
            reads_slowly: draft.long_answer,
            left_at: None,
            end: None,
        };
        self.ledger.seen().requests.insert(draft.id.clone(), request);
    }

    fn sent(&self, draft: &Draft, whole: bool) {
        if whole {
            self.ledger.update(&draft.id, |request| request.sent_at = Some(Instant::now()));
        }
    }
}

impl Draft {
    fn text(&self) -> Vec<u8> {
        let method = if self.class == Class::Read { "GET" } else { "POST" };
        let name = self.class.name();
        let long = if self.long_answer { "&long=1" } else { "" };
        let mut text = format!(
            "{method} /{name}?sid=7{long} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {}\r\nX-Tenant-Id: acme\r\nX-Timeout: {:.3}\r\n",
            self.id,
            self.timeout.as_secs_f64()
        );
        if self.class == Class::Booking {
            text += &format!("Idempotency-Key: {}\r\n", self.id);
        }
        if self.class != Class::Read {
            text += &format!("Content-Length: {}\r\n", self.body);
        }
        text += "\r\n";
        let mut text = text.into_bytes();
        text.resize(text.len() + self.body, b'y');
        text
    }
}

impl Connection {
    /// Writes a request; one that can't be written within the time of a class is given up.
    async fn send(&mut self, text: &[u8]) -> io::Result<()> {
        self.requests += 1;
        timeout(Duration::from_secs(5), self.output.write_all(text)).await?
    }

    /// Whether the proxy has closed it, as far as is known.
    fn has_ended(&self) -> bool {
        let mut byte = [0];
        match self.output.as_ref().try_read(&mut byte) {
            Ok(_) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
