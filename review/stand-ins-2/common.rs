//! Stand-ins for the clients, backends, discovery and platform of one deployment, for the cases of this review.
//! Standard library only. Every address is a loopback address with a free port.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, unused: u64, unused_too: u64, unused_as_well: u64) -> i32;
}

/// The option of `prctl` by which a process is sent a signal when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

/// One run of a case: its folders, its record, and the processes that it has started.
pub struct Run {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub trouble: bool,
    record: Mutex<File>,
    started: Instant,
    processes: Mutex<Vec<u32>>,
}

/// Runs a case within the time limit, ends all its processes and exits with its result.
pub fn run_case(limit: Duration, case: impl FnOnce(&Arc<Run>) -> Verdict + Send + 'static) -> ! {
    let mut arguments = std::env::args().skip(1);
    let root = PathBuf::from(arguments.next().expect("the repository's root"));
    let case_folder = PathBuf::from(arguments.next().expect("the case's folder"));
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let run = Arc::new(Run {
        root,
        folder: folder.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: Mutex::new(File::create(case_folder.join("record.txt")).expect("record.txt")),
        started: Instant::now(),
        processes: Mutex::default(),
    });
    run.note(&format!("trouble={}", run.trouble));
    let (sender, receiver) = std::sync::mpsc::channel();
    let in_thread = run.clone();
    thread::spawn(move || {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&in_thread)));
        let _ = sender.send(result.unwrap_or(Verdict::CannotRun));
    });
    let verdict = receiver.recv_timeout(limit).unwrap_or_else(|_| {
        run.note("time limit of the script reached");
        Verdict::CannotRun
    });
    for pid in run.processes.lock().unwrap().iter() {
        unsafe { kill(*pid as i32, SIGKILL) };
    }
    thread::sleep(Duration::from_millis(100));
    let _ = std::fs::remove_dir_all(folder);
    let (text, code) = match verdict {
        Verdict::Held => ("held", 0),
        Verdict::Broken => ("BROKEN", 1),
        Verdict::CannotRun => ("could not run", 2),
    };
    run.note(&format!("result: {text}"));
    println!("{text}");
    std::process::exit(code)
}

impl Run {
    /// Milliseconds since the start of the run.
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line to record.txt.
    pub fn note(&self, text: &str) {
        let mut file = self.record.lock().unwrap();
        let _ = writeln!(file, "{:>7.3} {text}", self.started.elapsed().as_secs_f64());
        let _ = file.flush();
    }

    /// The command `run` of the deploy file.
    pub fn deploy_run(&self) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = text.lines().find(|line| line.starts_with("run =")).expect("run in the deploy file");
        line.split('"').nth(1).expect("a command").to_owned()
    }
}

/// A loopback address of this run alone, so that runs side by side don't take each other's ports.
pub fn any_port() -> SocketAddr {
    let pid = std::process::id();
    let byte = |shift: u32| (pid >> shift) as u8;
    SocketAddr::from(([127, 64 | (byte(16) & 31), byte(8), byte(0).clamp(1, 254)], 0))
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind(any_port()).unwrap().local_addr().unwrap()
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until the condition holds; returns whether it did in time.
pub fn wait_until(limit_ms: u64, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep_ms(5);
    }
    condition()
}

/// A small generator of numbers that look random, from a seed.
pub struct Numbers(pub u64);

impl Numbers {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Message { first: first.trim_end().to_owned(), headers, body: Vec::new() }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a message with its body. A body without a length is that of a response, and lasts to the end of the connection.
pub fn read_message(reader: &mut impl BufRead, is_request: bool) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(std::io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    match message.headers.get("content-length") {
        Some(length) => {
            message.body = vec![0; length.parse().map_err(std::io::Error::other)?];
            reader.read_exact(&mut message.body)?;
        }
        None if is_request => {}
        None => {
            reader.read_to_end(&mut message.body)?;
        }
    }
    Ok(Some(message))
}

// ---------------------------------------------------------------- discovery

/// Discovery, with the whole list and the watches of PROTOCOL.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
}

#[derive(Default)]
struct ListState {
    seq: u64,
    hosts: Vec<(String, String)>,
    /// The changes: the version that each made, and its entry.
    changes: Vec<(u64, String)>,
}

pub fn host(name: &str, address: SocketAddr, zone: &str, block: u32, health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"{zone}","class":"gen3","block":{block},"health":"{health}","share":1.0,"born_ms":{born_ms}}}"#
    )
}

impl Discovery {
    pub fn start(run: &Arc<Run>) -> Self {
        let listener = TcpListener::bind(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new(ListState { seq: 1, ..ListState::default() }), Condvar::new()));
        let discovery = Discovery { address, state: state.clone() };
        let run = run.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = state.clone();
                let run = run.clone();
                thread::spawn(move || serve_discovery(stream, &state, &run));
            }
        });
        discovery
    }

    /// Lists a host, or changes its entry.
    pub fn set(&self, name: &str, entry: String) {
        let mut state = self.state.0.lock().unwrap();
        state.seq += 1;
        let seq = state.seq;
        state.hosts.retain(|(other, _)| other != name);
        if !entry.contains(r#""health":"removed""#) {
            state.hosts.push((name.to_owned(), entry.clone()));
        }
        state.changes.push((seq, entry));
        self.state.1.notify_all();
    }

    /// The whole list, as the configuration remembers it.
    pub fn known(&self) -> String {
        whole_list(&self.state.0.lock().unwrap())
    }
}

fn whole_list(state: &ListState) -> String {
    let hosts: Vec<&str> = state.hosts.iter().map(|(_, entry)| entry.as_str()).collect();
    format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, state.seq, hosts.join(","))
}

fn serve_discovery(stream: TcpStream, state: &(Mutex<ListState>, Condvar), run: &Run) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Ok(Some(call)) = read_message(&mut reader, true) {
        run.note(&format!("discovery: {}", call.first));
        let mut stream = &stream;
        if !call.first.contains("watch=1") {
            let list = whole_list(&state.0.lock().unwrap());
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let after =
            call.first.split("after=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse().ok());
        let mut lines;
        let mut seen;
        {
            let state = state.0.lock().unwrap();
            lines = match after {
                Some(after) if after <= state.seq => changes_after(&state, after),
                _ => whole_list(&state),
            };
            seen = state.seq;
        }
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        loop {
            let chunk = format!("{:x}\r\n{lines}\n\r\n", lines.len() + 1);
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            let guard = state.0.lock().unwrap();
            let (guard, _) =
                state.1.wait_timeout_while(guard, Duration::from_secs(2), |state| state.seq == seen).unwrap();
            lines = if guard.seq == seen { String::new() } else { changes_after(&guard, seen) };
            seen = guard.seq;
        }
    }
}

fn changes_after(state: &ListState, after: u64) -> String {
    let changed = state.changes.iter().filter(|(seq, _)| *seq > after).map(|(_, entry)| entry.as_str());
    format!(r#"{{"seq":{},"whole":false,"hosts":[{}]}}"#, state.seq, changed.collect::<Vec<_>>().join(","))
}

// ---------------------------------------------------------------- backends

/// One request that a backend has begun.
#[derive(Clone, Debug)]
pub struct Begun {
    pub id: String,
    pub class: String,
    pub backend: String,
    pub at_ms: u64,
}

/// What a backend does with a request whose last byte has come. It writes the answer itself, and returns whether the
/// connection stays open.
pub type Handler = dyn Fn(&Message, &mut TcpStream, u64) -> bool + Send + Sync;

/// A backend. `begun` holds the requests that it has begun.
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub begun: Arc<Mutex<Vec<Begun>>>,
    pub connections: Arc<AtomicU64>,
}

impl Backend {
    pub fn start(run: &Arc<Run>, name: &str, handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let begun: Arc<Mutex<Vec<Begun>>> = Arc::default();
        let connections: Arc<AtomicU64> = Arc::default();
        let backend = Backend {
            name: name.to_owned(),
            address,
            begun: begun.clone(),
            connections: connections.clone(),
        };
        let name = name.to_owned();
        let run = run.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let number = connections.fetch_add(1, Ordering::SeqCst);
                let (handler, begun, name, run) = (handler.clone(), begun.clone(), name.clone(), run.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut writer = stream.try_clone().unwrap();
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(request)) = read_message(&mut reader, true) {
                        let id = request.header("x-request-id").to_owned();
                        let class = class_of(&request.first);
                        let at_ms = run.ms();
                        run.note(&format!("{name} runs {class} {id} on connection {number}"));
                        begun.lock().unwrap().push(Begun { id, class, backend: name.clone(), at_ms });
                        if !handler(&request, &mut writer, number) {
                            let _ = writer.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                });
            }
        });
        backend
    }
}

pub fn class_of(first: &str) -> String {
    let path = first.split(' ').nth(1).unwrap_or_default();
    path.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default().to_owned()
}

/// A complete 200 answer.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

// ---------------------------------------------------------------- the proxy

/// The classes of the settings: the site's own.
pub const CLASSES: &str = r#"
{"deadline":4000.0,"dedupScope":"all","effect":"idempotent","lateShare":0.0,"name":"readings","promise":1500.0,"streaming":false,"window":5000.0,"worth":2.0},
{"deadline":6000.0,"dedupScope":"all","effect":"idempotent","lateShare":0.0,"name":"profile","promise":2000.0,"streaming":false,"window":5000.0,"worth":2.0},
{"deadline":3000.0,"dedupScope":"all","effect":"at_most_once","lateShare":0.0,"name":"topup","promise":1500.0,"streaming":false,"window":5000.0,"worth":10.0},
{"deadline":5000.0,"dedupScope":"cell","effect":"deduplicated","lateShare":0.0,"name":"relay","promise":1000.0,"streaming":false,"window":10000.0,"worth":5.0}"#;

/// What a proxy is told.
pub struct Setup {
    pub name: String,
    pub listen: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub known: String,
    pub discovery_mode: String,
    pub classes: String,
    pub memory_mb: u64,
    pub sockets: u64,
    pub peers: Vec<SocketAddr>,
    pub number: usize,
    /// The listening socket that the platform holds.
    pub passed_socket: Option<Arc<TcpListener>>,
    /// `$TMPDIR` of the proxy.
    pub folder: PathBuf,
}

impl Setup {
    pub fn new(run: &Run, discovery: &Discovery) -> Self {
        let folder = run.folder.join("tmp-n0");
        std::fs::create_dir_all(&folder).unwrap();
        Setup {
            name: "n0".into(),
            listen: free_address(),
            admin: Some(free_address()),
            discovery: discovery.address,
            known: discovery.known(),
            discovery_mode: "on_request".into(),
            classes: CLASSES.into(),
            memory_mb: 64,
            sockets: 512,
            peers: Vec::new(),
            number: 0,
            passed_socket: None,
            folder,
        }
    }

    pub fn config(&self) -> String {
        let admin = self.admin.map_or(String::new(), |admin| format!(r#""admin_addr":"{admin}","#));
        let instances = self.peers.len().max(1);
        let tell = !self.peers.is_empty();
        let peers: Vec<String> = self.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let peers = match self.peers.get(self.number) {
            Some(own) => {
                format!(r#""peer_listen":"{own}","peers":[{}],"peers_all":"{own}","#, peers.join(","))
            }
            None => String::new(),
        };
        format!(
            r#"{{"name":"{}","listen":"{}",{admin}"discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{peers}"known":{},
"settings":{{"accounts":[{{"allowancePerS":300.0,"name":"zapadna-distribucia","share":0.53}},{{"allowancePerS":150.0,"name":"tatra-siete","share":0.26}},{{"allowancePerS":120.0,"name":"dunaj-energia","share":0.21}}],
"callers":{{"marksRetry":true}},
"ceilings":{{"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeout":250.0,"idleClose":60000.0,"maxAttempts":5,"maxOpen":20000,"maxRetryAfter":2000.0,"mayTell":{tell},"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":1}},
"classes":[{}],
"discovery":"{}","domainType":"proxy","extra":{{"warmKeys":true}},"flavors":["gen3","gen2","gen1"],
"goal":{{"whole":0.25,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.45}},"myNumber":{},"nInstances":{instances},"overShareWorth":0.05,
"prices":{{"connection":0.0,"crossZone":0.0074,"discovery":0.0,"handshake":0.02,"lateFail":0.046,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.03,"waste":0.04}},
"rules":{{"answerSlack":20.0,"askWithin":10000.0,"cold":9000.0,"drainGrace":2000.0,"fall":3000.0,"fallMultiple":3.0,"startCapacity":0.31}},
"step":5.0,"telemetry":{{"fields":["failed_ps","busy_reqs","svc_ms"],"via":"pull"}},"tier":0,"tiers":["headend"],"weightSource":"rough","worthBy":"request",
"zone":"bratislava","zones":["bratislava","kosice"]}}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.known,
            self.classes,
            self.discovery_mode,
            self.number
        )
    }
}

/// A process of the proxy, started by `run` of the deploy file.
pub struct Proxy {
    pub pid: u32,
    pub listen: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub config_file: PathBuf,
    child: Mutex<Child>,
    run: Arc<Run>,
}

static STARTS: AtomicU64 = AtomicU64::new(0);

impl Proxy {
    pub fn start(run: &Arc<Run>, setup: &Setup) -> Arc<Self> {
        let number = STARTS.fetch_add(1, Ordering::SeqCst);
        let config_file = run.folder.join(format!("config-{number}.json"));
        std::fs::write(&config_file, setup.config()).unwrap();
        let log = File::create(run.folder.join(format!("log-{number}.txt"))).unwrap();
        let mut command = Command::new("/bin/sh");
        let deploy_run = run.deploy_run();
        match &setup.passed_socket {
            // The platform passes the socket as descriptor 3; the shell moves it there from standard input.
            Some(socket) => {
                command.args(["-c", &format!("exec 3<&0 </dev/null; {deploy_run}")]);
                command.env("NODE_PASSED_SOCKET", "3");
                command.stdin(OwnedFd::from(socket.try_clone().unwrap()));
            }
            None => {
                command.args(["-c", &deploy_run]).stdin(Stdio::null());
            }
        }
        command
            .current_dir(&run.root)
            .env("NODE_NAME", &setup.name)
            .env("NODE_LISTEN", setup.listen.to_string());
        command.env("NODE_DISCOVERY", setup.discovery.to_string()).env("NODE_CONFIG", &config_file);
        command.env("TMPDIR", &setup.folder);
        if let Some(admin) = setup.admin {
            command.env("NODE_ADMIN_ADDR", admin.to_string());
        }
        command.stdout(log.try_clone().unwrap()).stderr(log);
        // The proxy ends with this program also where this program is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().expect("the proxy starts");
        let pid = child.id();
        run.processes.lock().unwrap().push(pid);
        run.note(&format!("proxy process {number} started, pid {pid}"));
        Arc::new(Proxy {
            pid,
            listen: setup.listen,
            admin: setup.admin,
            config_file,
            child: Mutex::new(child),
            run: run.clone(),
        })
    }

    pub fn signal(&self, signal: i32) {
        self.run.note(&format!("signal {signal} to pid {}", self.pid));
        unsafe { kill(self.pid as i32, signal) };
    }

    /// How the process has ended, if it has.
    pub fn ended(&self) -> Option<std::process::ExitStatus> {
        self.child.lock().unwrap().try_wait().unwrap()
    }

    /// Waits until the front may take the proxy in.
    pub fn wait_ready(&self) -> bool {
        wait_until(20_000, || {
            let request = "GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let Ok(mut client) = Client::connect(self.listen) else { return false };
            client.send(request).is_ok() && client.response().is_ok_and(|answer| answer.status() == 200)
        })
    }

    /// A call at the second address; its status, or 0 without an answer.
    pub fn call(&self, method_and_path: &str) -> u16 {
        let Ok(mut client) = Client::connect(self.admin.unwrap()) else { return 0 };
        let sent =
            client.send(&format!("{method_and_path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"));
        let status = sent.and_then(|()| client.response()).map_or(0, |answer| answer.status());
        self.run.note(&format!("{method_and_path}: {status}"));
        status
    }

    /// The memory of the process, in kB, by a field of /proc/PID/status.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(field)).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

// ---------------------------------------------------------------- clients

/// A connection of a client.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        Ok(Client { reader: BufReader::new(stream) })
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    /// Reads an answer; an error if the connection ends without a whole one.
    pub fn response(&mut self) -> std::io::Result<Message> {
        read_message(&mut self.reader, false)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
    }
}

/// A request of a class of the site, in the form of PROTOCOL.
pub fn request(class: &str, id: &str, timeout_s: f64) -> String {
    let (method, key, body) = match class {
        "topup" => ("POST", String::new(), "amount=20"),
        "relay" => ("POST", format!("Idempotency-Key: k-{id}\r\n"), "switch=on"),
        _ => ("GET", String::new(), ""),
    };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class}?sid={id} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: zapadna-distribucia\r\nX-Timeout: {timeout_s:.3}\r\n{key}{length}\r\n{body}"
    )
}
