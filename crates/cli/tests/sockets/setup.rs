//! The settings of a proxy under test, and the configuration that is made from them.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The settings of a proxy under test.
pub struct Setup {
    /// The cached endpoint list in the configuration, as JSON; `null` for none.
    pub cached_list: String,
    /// The `sockets` limit in the configuration.
    pub max_descriptors: usize,
    /// The `memory_mb` limit in the configuration.
    pub memory_mb: usize,
    /// The time after which idle connections are closed, in milliseconds.
    pub idle_timeout_ms: u32,
    /// The timeout for connecting to a backend, in milliseconds.
    pub connect_timeout_ms: u32,
    /// The deadline of every request class, in milliseconds. The latency objective is four fifths of it.
    pub deadline_ms: u32,
    /// The gossip addresses of this proxy and of its only peer; no gossip if `None`.
    pub gossip: Option<(SocketAddr, SocketAddr)>,
    /// Whether the proxy has an admin address.
    pub has_admin: bool,
    /// The platform that passes a listening socket to the proxy; `None` if the proxy opens its own.
    pub platform: Option<Platform>,
    /// The operating system's limit on the file descriptors of the process (`ulimit -n`).
    pub descriptor_limit: Option<u32>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            cached_list: "null".into(),
            max_descriptors: 256,
            memory_mb: 192,
            idle_timeout_ms: 30_000,
            connect_timeout_ms: 400,
            deadline_ms: 5000,
            gossip: None,
            has_admin: false,
            platform: None,
            descriptor_limit: None,
        }
    }
}

/// The default settings, with an admin address.
pub fn setup_with_admin() -> Setup {
    Setup { has_admin: true, ..Setup::default() }
}

/// The default settings, with an admin address and a platform. The second value is the folder that the platform's
/// processes share.
pub fn setup_with_platform(name: &str) -> (Setup, PathBuf) {
    let platform = Platform::new(name);
    let folder = platform.folder.clone();
    (Setup { platform: Some(platform), ..setup_with_admin() }, folder)
}

/// The mock platform of a proxy, which passes a listening socket to it.
pub struct Platform {
    pub listener: TcpListener,
    /// The folder that successive processes of the proxy share.
    pub folder: PathBuf,
}

impl Platform {
    /// Creates a platform with a listener and a new folder, whose name contains `name`.
    pub fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("platform-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Platform { listener: TcpListener::bind("127.0.0.1:0").expect("a port"), folder }
    }
}

/// The configuration for these settings, in the operators' JSON format.
pub fn config(discovery: SocketAddr, setup: &Setup) -> String {
    let gossip_enabled = setup.gossip.is_some();
    let deadline = setup.deadline_ms;
    let latency_objective = deadline / 5 * 4;
    let peers = setup.gossip.map_or(String::new(), |(own, peer)| {
        format!(r#""peer_listen":"{own}","peers":["{own}","{peer}"],"peers_all":"{peer}","#)
    });
    let admin = if setup.has_admin { r#""admin_addr":"127.0.0.1:0","# } else { "" };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0",{admin}"discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{peers}"known":{},
        "settings":{{"zone":"a","zones":["a"],"flavors":["k"],"nInstances":{},"myNumber":0,"discovery":"pushed",
        "weightSource":"nominal","accounts":[{{"name":"acme","allowancePerS":1000}}],"callers":{{"marksRetry":true}},
        "classes":[{{"name":"page","effect":"idempotent","promise":{latency_objective},"deadline":{deadline},"worth":1}},
        {{"name":"submit","effect":"at_most_once","promise":{latency_objective},"deadline":{deadline},"worth":1}},
        {{"name":"booking","effect":"deduplicated","dedupScope":"cell","window":2500,"promise":{latency_objective},"deadline":{deadline},"worth":1}}],
        "ceilings":{{"maxAttempts":6,"dialTimeout":{},"idleClose":{},"mayTell":{gossip_enabled}}},
        "rules":{{"startCapacity":0.3,"cold":8700,"fall":1500,"fallMultiple":2.5,"drainGrace":500}}}}}}"#,
        setup.memory_mb,
        setup.max_descriptors,
        setup.cached_list,
        if gossip_enabled { 2 } else { 1 },
        setup.connect_timeout_ms,
        setup.idle_timeout_ms,
    )
}

/// The number of configuration files that this process has written, which makes their names unique.
static FILES: AtomicUsize = AtomicUsize::new(0);

/// Writes a configuration to a new temporary file and returns its path.
pub fn config_file(text: &str) -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::SeqCst);
    let file = std::env::temp_dir().join(format!("leadrelay-{}-{number}.json", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    file
}
