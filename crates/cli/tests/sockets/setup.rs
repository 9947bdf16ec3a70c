//! The settings of a proxy under test.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The settings of a proxy under test.
pub struct Setup {
    /// The cached list, as JSON.
    pub cached_list: String,
    pub max_descriptors: usize,
    pub idle_timeout_ms: u32,
    pub connect_timeout_ms: u32,
    /// Of every class; its latency objective is four fifths of it.
    pub deadline_ms: u32,
    /// Its own and its peer's gossip address.
    pub gossip: Option<(SocketAddr, SocketAddr)>,
    /// Whether it has an admin address.
    pub has_admin: bool,
    /// The platform, if it passes a listening socket.
    pub platform: Option<Platform>,
    /// Descriptors that the system allows the process.
    pub descriptor_limit: Option<u32>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            cached_list: "null".into(),
            max_descriptors: 256,
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

/// The defaults, with an admin address.
pub fn setup_with_admin() -> Setup {
    Setup { has_admin: true, ..Setup::default() }
}

/// The defaults, with an admin address and a platform; and the folder that the platform's processes share.
pub fn setup_with_platform(name: &str) -> (Setup, PathBuf) {
    let platform = Platform::new(name);
    let folder = platform.folder.clone();
    (Setup { platform: Some(platform), ..setup_with_admin() }, folder)
}

/// The platform of a proxy that passes it a listening socket.
pub struct Platform {
    pub listener: TcpListener,
    /// The folder that the processes of the proxy share.
    pub folder: PathBuf,
}

impl Platform {
    /// A platform with a folder of its own.
    pub fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("platform-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Platform { listener: TcpListener::bind("127.0.0.1:0").expect("a port"), folder }
    }
}

/// A configuration, as the operators' JSON.
pub fn config(discovery: SocketAddr, setup: &Setup) -> String {
    let gossip_enabled = setup.gossip.is_some();
    let deadline = setup.deadline_ms;
    let latency_objective = deadline / 5 * 4;
    let peers = setup.gossip.map_or(String::new(), |(own, other)| {
        format!(r#""peer_listen":"{own}","peers":["{own}","{other}"],"peers_all":"{other}","#)
    });
    let admin = if setup.has_admin { r#""admin_addr":"127.0.0.1:0","# } else { "" };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0",{admin}"discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},{peers}"known":{},
        "settings":{{"zone":"a","zones":["a"],"flavors":["k"],"nInstances":{},"myNumber":0,"discovery":"pushed",
        "weightSource":"nominal","accounts":[{{"name":"acme","allowancePerS":1000}}],"callers":{{"marksRetry":true}},
        "classes":[{{"name":"page","effect":"idempotent","promise":{latency_objective},"deadline":{deadline},"worth":1}},
        {{"name":"submit","effect":"at_most_once","promise":{latency_objective},"deadline":{deadline},"worth":1}},
        {{"name":"booking","effect":"deduplicated","dedupScope":"cell","window":2500,"promise":{latency_objective},"deadline":{deadline},"worth":1}}],
        "ceilings":{{"maxAttempts":6,"dialTimeout":{},"idleClose":{},"mayTell":{gossip_enabled}}},
        "rules":{{"startCapacity":0.3,"cold":8700,"fall":1500,"fallMultiple":2.5,"drainGrace":500}}}}}}"#,
        setup.max_descriptors,
        setup.cached_list,
        if gossip_enabled { 2 } else { 1 },
        setup.connect_timeout_ms,
        setup.idle_timeout_ms,
    )
}

/// Files written by this process, for unique names.
static FILES: AtomicUsize = AtomicUsize::new(0);

/// Writes a configuration where the process finds it.
pub fn config_file(text: &str) -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::SeqCst);
    let file = std::env::temp_dir().join(format!("leadrelay-{}-{number}.json", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    file
}
