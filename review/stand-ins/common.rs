//! Stand-ins for the platform, discovery, backends and clients, and the start of the program under test. Only the
//! standard library is used. Every address is a loopback address, every port is chosen by the operating system.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The settings of one run.
pub struct Case {
    /// The folder of the case, in which `record.txt` is written.
    pub folder: PathBuf,
    /// The root of the repository.
    pub root: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub record: Record,
    scratch: PathBuf,
}

impl Case {
    /// Reads the arguments: the root of the repository and the folder of the case.
    pub fn from_arguments() -> Self {
        let mut arguments = std::env::args().skip(1);
        let root = PathBuf::from(arguments.next().expect("the repository's root"));
        let folder = PathBuf::from(arguments.next().expect("the folder of the case"));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::new(&folder.join("record.txt"));
        let scratch = std::env::temp_dir().join(format!("leadrelay-review-{}", std::process::id()));
        PIDS_FILE.set(std::env::var_os("PIDS").map(PathBuf::from)).expect("set once");
        std::fs::create_dir_all(&scratch).expect("a temporary folder");
        record.line(&format!("TROUBLE={}", u8::from(trouble)));
        std::panic::set_hook(Box::new(|fault| {
            eprintln!("{fault}");
            kill_children();
            std::process::exit(COULD_NOT_RUN);
        }));
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(115));
            eprintln!("the case took too long");
            kill_children();
            std::process::exit(COULD_NOT_RUN);
        });
        Case { folder, root, trouble, record, scratch }
    }

    /// A new empty folder, removed at the end.
    pub fn new_folder(&self, name: &str) -> PathBuf {
        let folder = self.scratch.join(name);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        folder
    }

    /// Ends all processes that were started, writes the result, removes the temporary folder and ends this process.
    pub fn finish(&self, code: i32, text: &str) -> ! {
        kill_children();
        self.record.line(&format!("result: {text} (exit {code})"));
        println!("{text}");
        let _ = std::fs::remove_dir_all(&self.scratch);
        std::process::exit(code)
    }

    /// The command under `key` in the deploy file.
    fn deploy_command(&self, key: &str) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
        line.expect("the command").trim().trim_matches('"').to_owned()
    }
}

/// The processes that this case has started and not waited for yet.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The file in which `run.sh` finds their ids if this process ends without ending them.
static PIDS_FILE: std::sync::OnceLock<Option<PathBuf>> = std::sync::OnceLock::new();

/// Remembers a process that has to end with this one.
pub fn register_child(pid: u32) {
    CHILDREN.lock().unwrap().push(pid);
    write_pids();
}

/// Forgets a process that has ended.
pub fn forget_child(pid: u32) {
    CHILDREN.lock().unwrap().retain(|other| *other != pid);
    write_pids();
}

fn write_pids() {
    let Some(Some(file)) = PIDS_FILE.get() else { return };
    let ids: Vec<String> = CHILDREN.lock().unwrap().iter().map(u32::to_string).collect();
    let _ = std::fs::write(file, ids.join("\n") + "\n");
}

fn kill_children() {
    let children = CHILDREN.lock().map(|mut children| std::mem::take(&mut *children)).unwrap_or_default();
    for pid in children {
        send_signal("KILL", pid);
    }
    write_pids();
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    fn new(path: &Path) -> Self {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record.txt")))))
    }

    /// Writes one line with the time since the start of the case.
    pub fn line(&self, text: &str) {
        let at = self.0.0.elapsed().as_secs_f64();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:9.4} {text}");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small generator of numbers, so that runs with one seed send the same requests.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

// ---- messages ------------------------------------------------------------------------------------------------------

/// A head of HTTP/1.1: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        if !line.ends_with('\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        match line.split_once(':') {
            Some((name, value)) if !head.first.is_empty() => {
                head.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            _ => head.first = line.to_owned(),
        }
    }
}

/// Reads a body by its length or its chunks. The second value says whether it came to its end.
pub fn read_body(stream: &mut impl BufRead, head: &Head) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            if !matches!(stream.read_line(&mut line), Ok(1..)) || !line.ends_with('\n') {
                return (body, false);
            }
            let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16) else {
                return (body, false);
            };
            if size == 0 {
                let mut end = String::new();
                return (body, matches!(stream.read_line(&mut end), Ok(1..)));
            }
            let start = body.len();
            if !read_part(stream, &mut body, size) || body.len() - start < size {
                return (body, false);
            }
            let mut end = [0; 2];
            if stream.read_exact(&mut end).is_err() {
                return (body, false);
            }
        }
    }
    let length = head.length().unwrap_or(0);
    let complete = read_part(stream, &mut body, length);
    (body, complete)
}

fn read_part(stream: &mut impl BufRead, body: &mut Vec<u8>, length: usize) -> bool {
    let mut left = length;
    let mut buffer = [0; 16384];
    while left > 0 {
        let wanted = left.min(buffer.len());
        match stream.read(&mut buffer[..wanted]) {
            Ok(0) | Err(_) => return false,
            Ok(read) => {
                body.extend_from_slice(&buffer[..read]);
                left -= read;
            }
        }
    }
    true
}

// ---- discovery -----------------------------------------------------------------------------------------------------

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Host {
    pub host: String,
    pub dial: SocketAddr,
    pub zone: &'static str,
    pub class: &'static str,
    pub block: u32,
    pub health: &'static str,
    pub share: f64,
    pub born_ms: u64,
}

impl Host {
    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":{},"health":"{}","share":{:.2},"born_ms":{}}}"#,
            self.host, self.dial, self.zone, self.class, self.block, self.health, self.share, self.born_ms
        )
    }
}

struct DiscoveryState {
    seq: u64,
    hosts: Vec<Host>,
    /// Every change with its version.
    changes: Vec<(u64, Host)>,
}

/// A sound discovery: it answers calls and watches at once, with an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let state = DiscoveryState { seq: 40, hosts, changes: Vec::new() };
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        discovery
    }

    /// Changes an entry, and tells all watches.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Host)) {
        let mut state = self.state.0.lock().unwrap();
        state.seq += 1;
        let seq = state.seq;
        let host = state.hosts.iter_mut().find(|host| host.host == name).expect("a listed host");
        change(host);
        let host = host.clone();
        if host.health == "removed" {
            state.hosts.retain(|other| other.host != host.host);
        }
        state.changes.push((seq, host));
        self.state.1.notify_all();
    }

    pub fn whole_list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list(state.seq, true, &state.hosts)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(head) = read_head(&mut reader)? {
            let target = head.first.split(' ').nth(1).unwrap_or("").to_owned();
            if !target.contains("watch=1") {
                let body = self.whole_list() + "\n";
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
                continue;
            }
            let after = target.split(['?', '&']).find_map(|part| part.strip_prefix("after="));
            let after = after.and_then(|after| after.parse::<u64>().ok());
            write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            return self.watch(&mut stream, after);
        }
        Ok(())
    }

    fn watch(&self, stream: &mut TcpStream, after: Option<u64>) -> io::Result<()> {
        let (first, mut seen) = {
            let state = self.state.0.lock().unwrap();
            let first = match after {
                Some(after) if after >= 40 && after <= state.seq => {
                    list(state.seq, false, &changed_since(&state, after))
                }
                _ => list(state.seq, true, &state.hosts),
            };
            (first, state.seq)
        };
        write_chunk(stream, &(first + "\n"))?;
        loop {
            let (state, _) = self
                .state
                .1
                .wait_timeout_while(self.state.0.lock().unwrap(), Duration::from_secs(2), |state| {
                    state.seq == seen
                })
                .unwrap();
            let line = if state.seq == seen {
                "\n".to_owned()
            } else {
                list(state.seq, false, &changed_since(&state, seen)) + "\n"
            };
            seen = state.seq;
            drop(state);
            write_chunk(stream, &line)?;
        }
    }
}

fn changed_since(state: &DiscoveryState, after: u64) -> Vec<Host> {
    let mut changed: Vec<Host> = Vec::new();
    for (_, host) in state.changes.iter().filter(|(seq, _)| *seq > after) {
        changed.retain(|other| other.host != host.host);
        changed.push(host.clone());
    }
    changed
}

fn list(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---- the program under test ----------------------------------------------------------------------------------------

/// What a proxy's configuration says.
pub struct ProxySettings {
    pub name: String,
    pub index: usize,
    pub proxies: usize,
    pub zone: &'static str,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
}

/// The configuration of a proxy of a small deployment, whose classes, limits and rules are like those of the site file.
pub fn config(settings: &ProxySettings, listen: SocketAddr) -> String {
    let ProxySettings { name, index, proxies, zone, discovery, memory_mb, sockets } = settings;
    let class = |name: &str, effect: &str, worth: f64, promise: u32, deadline: u32| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","dedupScope":"cell","window":10000,"worth":{worth},"promise":{promise},"deadline":{deadline},"lateShare":0.0,"streaming":false}}"#
        )
    };
    let classes = [
        class("readings", "idempotent", 2.0, 1500, 4000),
        class("profile", "idempotent", 2.0, 2000, 6000),
        class("topup", "at_most_once", 10.0, 1500, 3000),
        class("relay", "deduplicated", 5.0, 1000, 5000),
    ];
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":null,
"settings":{{"domainType":"proxy","tier":0,"tiers":["headend"],"step":5.0,"nInstances":{proxies},"myNumber":{index},
"zone":"{zone}","zones":["bratislava","kosice"],"flavors":["gen1","gen2","gen3"],
"discovery":"on_request","weightSource":"rough","worthBy":"request","overShareWorth":0.05,
"accounts":[{{"name":"zapadna-distribucia","allowancePerS":400,"share":0.5}},{{"name":"tatra-siete","allowancePerS":400,"share":0.5}}],
"callers":{{"marksRetry":true}},"extra":{{"warmKeys":false}},
"classes":[{}],
"ceilings":{{"cancel":true,"probes":true,"mayTell":false,"retryAfter":true,"secondCopies":false,"maxAttempts":5,"maxOpen":20000,"maxRetryAfter":2000,"dialTimeout":250,"idleClose":60000,"streamsPerConn":1,"cpuUsPerRequest":0,"cpuUsPerS":400000}},
"prices":{{"crossZone":0.0074,"handshake":0.02,"lateFail":0.046,"probe":0.03,"waste":0.04}},
"telemetry":{{"via":"pull","fields":["failed_ps","busy_reqs","svc_ms"]}},
"rules":{{"answerSlack":20,"askWithin":10000,"cold":9000,"drainGrace":2000,"fall":3000,"fallMultiple":3.0,"startCapacity":0.31}}}}}}"#,
        unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ *index as u64,
        classes.join(",")
    )
}

/// A running proxy. It is killed when dropped.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    pub log: PathBuf,
}

impl Proxy {
    /// Starts a proxy with the deploy file's command and waits until `/up` says yes.
    pub fn start(case: &Case, settings: &ProxySettings) -> Self {
        let listen = free_address();
        let folder = case.new_folder(&settings.name);
        let temporary = folder.join("tmp");
        std::fs::create_dir_all(&temporary).expect("a folder");
        let config_file = folder.join("config.json");
        std::fs::write(&config_file, config(settings, listen)).expect("a file");
        let log = folder.join("log");
        let output = File::create(&log).expect("a file");
        let child = Command::new("/bin/sh")
            .args(["-c", &case.deploy_command("run")])
            .current_dir(&case.root)
            .env("NODE_NAME", &settings.name)
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_DISCOVERY", settings.discovery.to_string())
            .env("NODE_CONFIG", &config_file)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a file"))
            .stderr(output)
            .spawn();
        let Ok(child) = child else { case.finish(COULD_NOT_RUN, "the proxy did not start") };
        register_child(child.id());
        let proxy = Proxy { child, address: listen, log };
        let end = Instant::now() + Duration::from_secs(30);
        while !proxy.is_up() {
            if Instant::now() > end {
                drop(proxy);
                case.finish(COULD_NOT_RUN, "the proxy did not become ready");
            }
            thread::sleep(Duration::from_millis(20));
        }
        case.record.line(&format!("proxy {} ready at {listen}, process {}", settings.name, proxy.child.id()));
        proxy
    }

    fn is_up(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut reader = BufReader::new(stream);
        if write!(reader.get_mut(), "GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n").is_err() {
            return false;
        }
        matches!(read_head(&mut reader), Ok(Some(head)) if head.status() == 200)
    }

    pub fn signal(&self, signal: &str) {
        send_signal(signal, self.child.id());
    }

    /// When the process has ended: its exit status.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget_child(self.child.id());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a signal to a process that this case started.
pub fn send_signal(signal: &str, pid: u32) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
}

/// A loopback address with a port that was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|listener| listener.local_addr()).expect("a port")
}

// ---- clients -------------------------------------------------------------------------------------------------------

/// One request of a client.
#[derive(Clone)]
pub struct ClientRequest {
    pub id: String,
    pub class: &'static str,
    pub tenant: &'static str,
    pub timeout: Duration,
    /// The body; classes that are safe to repeat have none.
    pub body: Vec<u8>,
    pub key: Option<String>,
}

impl ClientRequest {
    pub fn head(&self) -> String {
        let method = if matches!(self.class, "readings" | "profile") { "GET" } else { "POST" };
        let mut head = format!(
            "{method} /{}?sid={} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {}\r\nX-Tenant-Id: {}\r\nX-Timeout: {:.3}\r\n",
            self.class, self.id, self.id, self.tenant, self.timeout.as_secs_f64()
        );
        if let Some(key) = &self.key {
            head += &format!("Idempotency-Key: {key}\r\n");
        }
        if method == "POST" {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head + "\r\n"
    }
}

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A whole answer: its status and its body.
    Whole { status: u16, body: Vec<u8>, after: Duration },
    /// The connection ended before the answer was whole; `status` is 0 if not even its head came.
    Broken { status: u16, bytes: usize, after: Duration },
    /// Nothing came until the client stopped waiting.
    Nothing { after: Duration },
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Whole { status, body, after } => {
                format!("status {status}, {} bytes, after {:.3} s", body.len(), after.as_secs_f64())
            }
            Answer::Broken { status, bytes, after } => {
                format!("broken: status {status}, {bytes} bytes, after {:.3} s", after.as_secs_f64())
            }
            Answer::Nothing { after } => format!("no answer within {:.3} s", after.as_secs_f64()),
        }
    }
}

/// A client's connection, kept open between its requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    /// Sends one request and waits for its whole answer until `wait` after its last byte.
    pub fn send(&mut self, request: &ClientRequest, wait: Duration) -> Answer {
        let mut bytes = request.head().into_bytes();
        bytes.extend_from_slice(&request.body);
        if self.reader.get_mut().write_all(&bytes).is_err() {
            return Answer::Broken { status: 0, bytes: 0, after: Duration::ZERO };
        }
        self.receive(wait)
    }

    pub fn stream(&mut self) -> &mut TcpStream {
        self.reader.get_mut()
    }

    /// Reads one answer within `wait`.
    pub fn receive(&mut self, wait: Duration) -> Answer {
        let sent_at = Instant::now();
        let end = sent_at + wait;
        let mut timed = Timed { inner: &mut self.reader, end, timed_out: false };
        let mut status = 0;
        let mut bytes = 0;
        let whole = loop {
            match read_head(&mut timed) {
                Ok(Some(head)) if (100..200).contains(&head.status()) => {}
                Ok(Some(head)) => {
                    status = head.status();
                    let (body, complete) = read_body(&mut timed, &head);
                    bytes = body.len();
                    break complete.then_some(body);
                }
                Ok(None) | Err(_) => break None,
            }
        };
        let timed_out = timed.timed_out;
        let after = sent_at.elapsed();
        match whole {
            Some(body) => Answer::Whole { status, body, after },
            None if timed_out && status == 0 => Answer::Nothing { after },
            None => Answer::Broken { status, bytes, after },
        }
    }
}

/// Reads until an instant.
struct Timed<'a> {
    inner: &'a mut BufReader<TcpStream>,
    end: Instant,
    timed_out: bool,
}

impl Timed<'_> {
    fn prepare(&mut self) -> io::Result<()> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            self.timed_out = true;
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.inner.get_ref().set_read_timeout(Some(left))
    }

    fn note<T>(&mut self, result: io::Result<T>) -> io::Result<T> {
        result.inspect_err(|error| {
            if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) {
                self.timed_out = true;
            }
        })
    }
}

impl Read for Timed<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.inner.buffer().is_empty() {
            self.prepare()?;
        }
        let result = self.inner.read(buffer);
        self.note(result)
    }
}

impl BufRead for Timed<'_> {
    fn fill_buf(&mut self) -> io::Result<&[u8]> {
        if self.inner.buffer().is_empty() {
            self.prepare()?;
            let result = self.inner.fill_buf().map(|_| ());
            self.note(result)?;
        }
        self.inner.fill_buf()
    }

    fn consume(&mut self, amount: usize) {
        self.inner.consume(amount);
    }
}

pub static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_id() -> String {
    format!("{:016x}", NUMBER.fetch_add(1, SeqCst).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}
