//! A proxy process under test: its start, its admin calls, its signals and its resources.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use super::client::Client;
use super::discovery::Discovery;
use super::message::{Message, read_message};
use super::setup::{Setup, config, config_file};
use super::{LIMIT, wait_for};

/// A running proxy process, which is killed when dropped.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    pub log: Arc<Mutex<String>>,
    file: PathBuf,
}

/// The command that runs a proxy. If the test needs a descriptor limit or a passed socket, a shell sets it up, which is
/// the only way to do so without direct system calls.
fn serve_command(setup: &Setup) -> Command {
    let program = env!("CARGO_BIN_EXE_leadrelay");
    if let Some(platform) = &setup.platform {
        let mut command = Command::new("sh");
        // The platform passes the listening socket as descriptor 3, so the shell moves it there from standard input.
        command.args(["-c", "exec 3<&0 </dev/null; exec \"$0\" serve", program]);
        command.env("TMPDIR", &platform.folder).env("NODE_PASSED_SOCKET", "3");
        command.stdin(OwnedFd::from(platform.listener.try_clone().expect("the listener can be cloned")));
        return command;
    }
    if let Some(limit) = setup.descriptor_limit {
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {limit}; exec \"$0\" serve"), program]);
        return command;
    }
    let mut command = Command::new(program);
    command.arg("serve");
    command
}

/// The value that follows the first occurrence of `field` in a log; `field` includes the equals sign.
fn log_field(log: &str, field: &str) -> Option<String> {
    let (_, rest) = log.split_once(field)?;
    rest.split_whitespace().next().map(str::to_owned)
}

impl Proxy {
    /// Starts a proxy with this discovery, without waiting until it is ready.
    pub fn start(discovery: &Discovery, setup: &Setup) -> Self {
        Proxy::start_with_discovery_at(discovery.address, setup)
    }

    /// Starts a proxy that looks for its discovery at this address, where a discovery need not run.
    pub fn start_with_discovery_at(discovery: SocketAddr, setup: &Setup) -> Self {
        Proxy::start_with_config(&config(discovery, setup), setup)
    }

    /// Starts a proxy with this configuration; `setup` determines the command that runs it.
    pub fn start_with_config(text: &str, setup: &Setup) -> Self {
        let file = config_file(text);
        let mut command = serve_command(setup);
        let child = command.env("NODE_CONFIG", &file).stderr(Stdio::piped()).spawn();
        Proxy::from_child(child.expect("the proxy starts"), file)
    }

    /// Wraps a proxy process whose standard error is piped, and waits until its log shows that it listens.
    pub fn from_child(mut child: Child, file: PathBuf) -> Self {
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let log = Arc::new(Mutex::new(String::new()));
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            log.lock().expect("no panic").push_str(&format!("{line}\n"));
            log_field(&line, "listen=").map(|address| address.parse().expect("an address"))
        });
        let log_copy = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                eprintln!("{line}");
                log_copy.lock().expect("no panic").push_str(&(line + "\n"));
            }
        });
        Proxy { child, address: address.expect("the proxy listens"), log, file }
    }

    /// Starts a proxy and waits until it is ready.
    pub fn start_ready(discovery: &Discovery, setup: &Setup) -> Self {
        let proxy = Proxy::start(discovery, setup);
        wait_for("/up", || proxy.is_up());
        proxy
    }

    /// Opens a new client connection.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Whether the proxy's readiness path responds with status 200.
    pub fn is_up(&self) -> bool {
        let response = self.client().request("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
        response.is_some_and(|response| response.status() == 200)
    }

    fn log_field(&self, field: &str) -> Option<String> {
        log_field(&self.log.lock().expect("no panic"), field)
    }

    /// The admin address; waits until it is in the log.
    pub fn admin_address(&self) -> SocketAddr {
        let mut address = None;
        wait_for("the admin address", || {
            address = self.log_field("admin=");
            address.is_some()
        });
        address.and_then(|address| address.parse().ok()).expect("an address")
    }

    /// Opens a new connection to the admin address.
    pub fn admin_connection(&self) -> TcpStream {
        let stream = TcpStream::connect(self.admin_address()).expect("the admin address accepts");
        stream.set_read_timeout(Some(LIMIT)).expect("a read timeout");
        stream
    }

    /// Sends a request to the admin address, and asserts that the proxy closes the connection after the response.
    pub fn admin_call(&self, method_and_path: &str) -> Message {
        let mut connection = BufReader::new(self.admin_connection());
        write!(connection.get_mut(), "{method_and_path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            .expect("the proxy reads the request");
        let response = read_message(&mut connection).expect("a response");
        assert!(
            matches!(connection.read(&mut [0; 1]), Ok(0)),
            "the proxy closes the connection after one call"
        );
        response
    }

    /// A number in the statistics, by its JSON pointer.
    pub fn stat(&self, path: &str) -> u64 {
        let stats: serde_json::Value =
            serde_json::from_slice(&self.admin_call("GET /stats").body).expect("JSON");
        stats.pointer(path).and_then(|value| value.as_u64()).unwrap_or_else(|| panic!("no {path} in {stats}"))
    }

    /// The number of connections to backends that the proxy has begun to open.
    pub fn dials(&self) -> u64 {
        self.metric("leadrelay_backend_dials_total")
    }

    /// The number of requests in the proxy's queue.
    pub fn waiting(&self) -> u64 {
        self.metric("leadrelay_requests_waiting")
    }

    /// The value of a metric, by its name and labels as in the text format.
    pub fn metric(&self, name: &str) -> u64 {
        let text = self.admin_call("GET /metrics").text();
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.expect("a line").parse().expect("a number")
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Overwrites the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
        self.signal("-HUP");
    }

    /// Stops the process until [`Proxy::resume`]. Waits until all threads have stopped, because the signal takes effect
    /// only some time after it was sent.
    pub fn pause(&self) {
        self.signal("-STOP");
        wait_for("all threads to stop", || self.thread_states().iter().all(|state| *state == 'T'));
    }

    /// The states of the process's threads, as letters in `/proc/PID/task/TID/stat`; `T` is stopped.
    fn thread_states(&self) -> Vec<char> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the process runs");
        let state = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("stat")).ok()?;
            text.rsplit_once(") ")?.1.chars().next()
        };
        tasks.filter_map(|task| state(task.ok()?)).collect()
    }

    /// Lets a stopped process continue.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    /// The resident memory of the process, in KiB.
    pub fn resident_kib(&self) -> usize {
        self.status_kib("VmRSS:")
    }

    /// The resident memory that the process has for itself alone, without files, in KiB.
    pub fn anonymous_kib(&self) -> usize {
        self.status_kib("RssAnon:")
    }

    /// A figure in `/proc/PID/status`, in KiB.
    fn status_kib(&self, field: &str) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix(field)).expect("a line");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// The number of open file descriptors of the process.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the process runs").count()
    }

    /// Whether the log contains a text.
    pub fn log_contains(&self, text: &str) -> bool {
        self.log.lock().expect("no panic").contains(text)
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the proxy to exit", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.expect("the wait ends with a status")
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
