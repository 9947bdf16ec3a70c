//! The configuration of a proxy: leadrelay's own TOML format or the operators' JSON, both parsed into one typed
//! [`Config`].
//!
//! `file` reads TOML and `platform` reads JSON. `check` validates TOML against the schema, `fault` holds the errors
//! found in a file with their positions, `values` defines durations, sizes and other values that are written as text,
//! and `explain` generates the reference of all keys.

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

/// Limit on open requests as a fraction (numerator and denominator) of the file descriptors. With this value the
/// balancer sheds requests shortly before clients have used up their sockets, so that requests of higher priority can
/// still arrive.
const OPEN_REQUEST_FRACTION: (usize, usize) = (5, 16);

/// The limit on open requests of a process that may use `max_sockets` file descriptors.
fn max_open_requests(max_sockets: usize) -> usize {
    let (numerator, denominator) = OPEN_REQUEST_FRACTION;
    max_sockets * numerator / denominator
}

/// An example file with every key, which `leadrelay config example` prints.
pub const EXAMPLE: &str = include_str!("example.toml");

/// The addresses for gossip between proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddresses {
    /// The address at which this proxy receives gossip.
    pub listen: SocketAddr,
    /// The address of each proxy, this one included, in the order of the proxies' indices.
    pub peers: Vec<SocketAddr>,
    /// An address that delivers a datagram to all other proxies, if the network provides one.
    pub broadcast: Option<SocketAddr>,
}

/// The source of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointSource {
    /// A discovery service at this address.
    Discovery(SocketAddr),
    /// A fixed list in the configuration file.
    Fixed(Vec<ListedEndpoint>),
}

/// A rule that assigns requests to a class by path and method.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the class.
    pub class: String,
    /// The path prefix, in whole segments.
    pub path: String,
    /// The methods; empty for all methods.
    pub methods: Vec<String>,
}

/// The rules for reading requests that don't follow the operators' protocol.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpRules {
    /// The rules that assign requests to classes.
    pub routes: Vec<Route>,
    /// The path of the readiness check for load balancers in front of the proxy.
    pub readiness_path: Option<String>,
    /// The name of the request header that carries the tenant's name.
    pub tenant_header: String,
}

/// The protocol of the clients. It decides how request heads are read and which responses count as served.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientProtocol {
    /// The operators' protocol: the first path segment is the class, headers carry the request's id, tenant and
    /// time-out, and only status 200 counts as served.
    Platform,
    /// Any HTTP/1.1 client. Configured routes assign requests to classes, and any response except a server error counts
    /// as served.
    Plain(HttpRules),
}

/// The format of a log event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// The settings of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Logging {
    /// The log levels, overall and by target.
    pub filter: String,
    /// The format of each event.
    pub format: Format,
    /// The fraction of requests for which an access event is logged.
    pub access: f64,
}

impl Default for Logging {
    fn default() -> Self {
        Logging { filter: "info".into(), format: Format::Text, access: 0.01 }
    }
}

/// The format of the file that a configuration was read from.
#[derive(Clone, Debug)]
pub enum Origin {
    /// The operators' JSON. The value is the file's content without the cached endpoint list, for comparison at a
    /// reload.
    Platform(Value),
    /// leadrelay's own TOML format.
    File,
}

/// The configuration of a proxy.
#[derive(Clone, Debug)]
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// The address at which the proxy accepts client connections.
    pub listen: SocketAddr,
    /// The address of the admin interface, if there is one.
    pub admin: Option<SocketAddr>,
    /// The source of the endpoint list.
    pub source: EndpointSource,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The number of file descriptors that the process may use.
    pub max_sockets: usize,
    /// The memory that the process may use, in bytes.
    pub max_memory: usize,
    /// The addresses for gossip with the other proxies, if gossip is enabled.
    pub peers: Option<PeerAddresses>,
    /// The cached endpoint list in the format of the discovery service; null if there is none. It may be out of date.
    pub cached_list: Value,
    /// The settings of the balancer.
    pub settings: Settings,
    /// The names of classes, tenants and zones, which the balancer refers to by index.
    pub names: Names,
    /// The time-outs of connections to backends.
    pub connections: ConnectionTimeouts,
    /// The protocol of the clients.
    pub client_protocol: ClientProtocol,
    /// The settings of the log.
    pub logging: Logging,
    /// The format of the file that the configuration was read from.
    pub origin: Origin,
}

/// Whether a text is the operators' JSON. TOML can't begin with a brace.
fn is_platform_json(text: &str) -> bool {
    text.trim_start().starts_with('{')
}

fn read_text(path: &Path) -> Result<String, Faults> {
    let file = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|error| Faults::without_position(&file, error.to_string()))?;
    String::from_utf8(bytes).map_err(|error| {
        let message = format!("not valid UTF-8 at byte {}", error.utf8_error().valid_up_to());
        Faults::without_position(&file, message)
    })
}

/// Reads a configuration file of either format.
pub fn read(path: &Path) -> Result<Config, Faults> {
    parse(&read_text(path)?, &path.display().to_string())
}

/// Parses the text of a configuration of either format. Errors refer to it by the name `file`.
pub fn parse(text: &str, file: &str) -> Result<Config, Faults> {
    if is_platform_json(text) {
        return platform::parse(text).map_err(|fault| Faults { file: file.to_owned(), faults: vec![fault] });
    }
    file::parse(text).map_err(|faults| Faults { file: file.to_owned(), faults })
}

/// Reads a configuration file of either format and reports all its faults, including those that a starting process
/// tolerates.
pub fn check(path: &Path) -> Result<Config, Faults> {
    let text = read_text(path)?;
    let file = path.display().to_string();
    if is_platform_json(&text) {
        return platform::check(&text).map_err(|faults| Faults { file, faults });
    }
    parse(&text, &file)
}

/// Reads the configuration file for a reload of a process whose current configuration came from `running`. Unlike at a
/// start, missing or malformed settings are errors.
pub fn reread(path: &Path, running: &Origin) -> Result<Config, Faults> {
    let text = read_text(path)?;
    let file = path.display().to_string();
    match running {
        Origin::Platform(running) => {
            platform::reparse(&text, running).map_err(|faults| Faults { file, faults })
        }
        Origin::File if is_platform_json(&text) => Err(Faults::without_position(
            &file,
            "the file is JSON, and the process was started with a TOML file",
        )),
        Origin::File => parse(&text, &file),
    }
}

/// The JSON schema of the TOML configuration format.
pub fn schema() -> &'static Value {
    &file::SCHEMA
}

#[cfg(test)]
mod tests;
