//! The configuration of a proxy: our own TOML or the operators' JSON, both parsed into one typed [`Config`].
//!
//! `file` is the TOML file, `platform` the JSON; `check` finds faults by the schema, `fault` reports them with their
//! places, `values` are durations, sizes and the like, `explain` writes the reference of all keys.

mod check;
mod explain;
mod fault;
mod file;
mod platform;
mod values;

use std::net::SocketAddr;
use std::path::Path;

use leadrelay_core::Settings;
use leadrelay_core::names::Names;
use leadrelay_core::settings::json::ConnectionTimeouts;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::listed_endpoint::ListedEndpoint;

pub use explain::{explain, markdown};
pub use fault::{Fault, Faults};

/// Numerator and denominator of the fraction of the sockets that open requests may have. The balancer sheds requests a
/// little before clients have used up their sockets, so that better requests can still arrive.
const OPEN_REQUEST_FRACTION: (usize, usize) = (5, 16);

fn max_open_requests(max_sockets: usize) -> usize {
    let (numerator, denominator) = OPEN_REQUEST_FRACTION;
    max_sockets * numerator / denominator
}

/// A file that shows every key, as `leadrelay config example` prints it.
pub const EXAMPLE: &str = include_str!("example.toml");

/// The addresses of gossip between proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddresses {
    /// This proxy's.
    pub listen: SocketAddr,
    /// The address of each proxy, in the order of their indices.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all others, if the network has one.
    pub all: Option<SocketAddr>,
}

/// Where the endpoint list comes from.
#[derive(Clone, Debug)]
pub enum Source {
    /// A discovery service.
    Discovery(SocketAddr),
    /// The configuration.
    Fixed(Vec<ListedEndpoint>),
}

/// A rule that assigns requests to a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The class.
    pub class: String,
    /// The beginning of the paths, whole segments.
    pub path: String,
    /// The methods; all if empty.
    pub methods: Vec<String>,
}

/// How requests are read that don't follow the operators' protocol.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plain {
    /// Which class a request belongs to.
    pub routes: Vec<Route>,
    /// The path at which load balancers ask for this proxy.
    pub up_path: Option<String>,
    /// The header that names a tenant.
    pub tenant_header: String,
}

/// The protocol of clients: what a request's head must have, and what counts as served.
#[derive(Clone, Debug, PartialEq)]
pub enum Dialect {
    /// The operators' protocol: the class is the path's first segment, headers have id, tenant and time-out, and only
    /// status 200 is served.
    Platform,
    /// Any HTTP/1.1.
    Plain(Plain),
}

/// How an event is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// A line of text.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

/// What is logged.
#[derive(Clone, Debug, PartialEq)]
pub struct Logging {
    /// Levels by target.
    pub filter: String,
    /// The form of a line.
    pub format: Format,
    /// The fraction of requests that leave an access event.
    pub access: f64,
}

impl Default for Logging {
    fn default() -> Self {
        Logging { filter: "info".into(), format: Format::Text, access: 0.01 }
    }
}

/// Which file a configuration was read from.
#[derive(Clone, Debug)]
pub enum Origin {
    /// The operators' JSON, without the cached list.
    Platform(Value),
    /// Our own.
    File,
}

/// The configuration of a proxy.
#[derive(Clone, Debug)]
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The second address, for operators.
    pub admin: Option<SocketAddr>,
    /// Where the endpoint list comes from.
    pub source: Source,
    /// The seed of random choices.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_sockets: usize,
    /// Memory that the process may take, in bytes.
    pub max_memory: usize,
    /// The other proxies, if gossip is enabled.
    pub peers: Option<PeerAddresses>,
    /// The cached endpoint list in discovery's form; may be out of date, or null.
    pub cached_list: Value,
    /// The settings of the balancer.
    pub settings: Settings,
    /// The names that the balancer knows by numbers.
    pub names: Names,
    /// Time-outs of connections.
    pub connections: ConnectionTimeouts,
    /// How requests are read.
    pub dialect: Dialect,
    /// What is logged.
    pub logging: Logging,
    /// The file behind it.
    pub origin: Origin,
}

/// Whether a text is the operators' JSON: our own format can't begin with a brace.
fn is_platform(text: &str) -> bool {
    text.trim_start().starts_with('{')
}

fn load(path: &Path) -> Result<String, Faults> {
    let file = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|error| Faults::whole(&file, error.to_string()))?;
    String::from_utf8(bytes).map_err(|error| {
        let message = format!("byte {} is no UTF-8", error.utf8_error().valid_up_to());
        Faults::whole(&file, message)
    })
}

/// Reads a configuration file of either form.
pub fn read(path: &Path) -> Result<Config, Faults> {
    parse(&load(path)?, &path.display().to_string())
}

/// Reads the text of a configuration of either form; `file` is what errors call it.
pub fn parse(text: &str, file: &str) -> Result<Config, Faults> {
    if is_platform(text) {
        return platform::parse(text).map_err(|fault| Faults { file: file.to_owned(), faults: vec![fault] });
    }
    file::parse(text).map_err(|faults| Faults { file: file.to_owned(), faults })
}

/// Reads a configuration file of either form, and reports all its faults, those included that a process tolerates at
/// its start.
pub fn check(path: &Path) -> Result<Config, Faults> {
    let text = load(path)?;
    let file = path.display().to_string();
    if is_platform(&text) {
        return platform::check(&text).map_err(|faults| Faults { file, faults });
    }
    parse(&text, &file)
}

/// Reads a file again for a process that runs by the file `running`: nothing may be missing or malformed.
pub fn reread(path: &Path, running: &Origin) -> Result<Config, Faults> {
    let text = load(path)?;
    let file = path.display().to_string();
    match running {
        Origin::Platform(running) => {
            platform::reparse(&text, running).map_err(|faults| Faults { file, faults })
        }
        Origin::File if is_platform(&text) => {
            Err(Faults::whole(&file, "this is the operators' JSON, and the process runs by a TOML file"))
        }
        Origin::File => parse(&text, &file),
    }
}

/// The JSON schema of our own configuration format.
pub fn schema() -> &'static Value {
    &file::SCHEMA
}

#[cfg(test)]
mod tests;
