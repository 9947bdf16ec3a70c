//! What a proxy is told: our own TOML or the operators' JSON, both read into one typed [`Config`].

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
use leadrelay_core::settings::json::Connections;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::listed_endpoint::ListedEndpoint;

pub use explain::{explain, markdown};
pub use fault::{Fault, Faults};

/// Part of the descriptors that requests may hold. Clients use a third at most; what the module gives up a
/// little before that leaves room to hear of better requests.
const HELD: (usize, usize) = (5, 16);

fn max_open_requests(sockets: usize) -> usize {
    sockets * HELD.0 / HELD.1
}

/// A file that shows every key, as `leadrelay config example` prints it.
pub const EXAMPLE: &str = include_str!("example.toml");

/// Where proxies exchange datagrams.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddresses {
    /// This proxy's.
    pub listen: SocketAddr,
    /// One address a proxy, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    /// One that reaches all others, where the network has it.
    pub all: Option<SocketAddr>,
}

/// Where the list of backends comes from.
#[derive(Clone, Debug)]
pub enum Source {
    /// A discovery service.
    Discovery(SocketAddr),
    /// The configuration.
    Fixed(Vec<ListedEndpoint>),
}

/// A rule that gives requests to a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The class.
    pub class: String,
    /// The beginning of the paths, whole segments.
    pub path: String,
    /// The methods; all if empty.
    pub methods: Vec<String>,
}

/// How requests are read where no protocol of the operators' holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plain {
    /// Which class a request belongs to.
    pub routes: Vec<Route>,
    /// The path at which load balancers ask for this proxy.
    pub up_path: Option<String>,
    /// The header that names a tenant.
    pub tenant_header: String,
}

/// What a request's head has to say, and what counts as served.
#[derive(Clone, Debug, PartialEq)]
pub enum Dialect {
    /// The operators' protocol: the class is the path's first part, id, tenant and time-out are told, 200 alone is
    /// served.
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
    /// The part of the requests that leave an access event.
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
    /// The operators' JSON, as it stands but for the remembered list.
    Platform(Value),
    /// Our own.
    File,
}

/// All that the parts of the proxy need to know.
#[derive(Clone, Debug)]
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The second address, for operators.
    pub admin: Option<SocketAddr>,
    /// Where the list of backends comes from.
    pub source: Source,
    /// Where chance starts from.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_sockets: usize,
    /// Memory that the process may take, in bytes.
    pub max_memory: usize,
    /// Other proxies.
    pub peers: Option<PeerAddresses>,
    /// The list of backends as last seen, in discovery's form; perhaps old, perhaps nothing.
    pub cached_list: Value,
    /// What the module is told.
    pub settings: Settings,
    /// The names that the module knows by numbers.
    pub names: Names,
    /// Time-outs of connections.
    pub connections: Connections,
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
    let shown = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|e| Faults::whole(&shown, e.to_string()))?;
    String::from_utf8(bytes).map_err(|e| {
        let message = format!("byte {} is no UTF-8", e.utf8_error().valid_up_to());
        Faults::whole(&shown, message)
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

/// Reads a configuration file of either form, and tells all that is wrong with it, also what a process that starts
/// would bear.
pub fn check(path: &Path) -> Result<Config, Faults> {
    let (text, file) = (load(path)?, path.display().to_string());
    if is_platform(&text) {
        return platform::check(&text).map_err(|faults| Faults { file, faults });
    }
    parse(&text, &file)
}

/// Reads a file for a process that runs, whose own one is `running`: nothing may be missing or out of place.
pub fn reread(path: &Path, running: &Origin) -> Result<Config, Faults> {
    let (text, file) = (load(path)?, path.display().to_string());
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
mod tests {
    use super::*;

    const SMALL: &str = "listen = \"127.0.0.1:0\"\n[[backends]]\naddress = \"127.0.0.1:9001\"\n";

    /// The faults of a file, as they are shown.
    fn faults(text: &str) -> Vec<String> {
        let shown = parse(text, "f").err().map(|faults| faults.to_string()).unwrap_or_default();
        shown.lines().map(str::to_owned).collect()
    }

    #[test]
    fn one_listener_and_one_backend_make_a_configuration() {
        let config = parse(SMALL, "f").expect("good");
        assert_eq!(config.names.classes, ["read", "write"]);
        assert!(matches!(&config.source, Source::Fixed(hosts) if hosts[0].name == "127.0.0.1:9001"));
        assert!(
            matches!(config.dialect, Dialect::Plain(_)) && config.peers.is_none() && config.admin.is_none()
        );
    }

    #[test]
    fn lists_of_a_large_fleet_are_read_whole() {
        let of = |line: fn(usize) -> String| (0..1024).map(line).collect::<String>();
        let text = [
            "listen = \"127.0.0.1:0\"\nzone = \"z-1023\"\n".to_owned(),
            of(|n| {
                format!("[[backends]]\naddress = \"10.0.{}.{}:80\"\nzone = \"z-{n}\"\n", n / 256, n % 256)
            }),
            of(|n| format!("[[classes]]\nname = \"c-{n}\"\neffect = \"safe\"\ndeadline = \"1s\"\n")),
            of(|n| format!("[[tenants]]\nname = \"t-{n}\"\nper_second = 1\n")),
            "[peers]\nme = 1023\naddresses = [\n".to_owned(),
            of(|n| format!("\"10.1.{}.{}:80\",\n", n / 256, n % 256)),
            "]\n".to_owned(),
        ];
        let config = parse(&text.concat(), "f").expect("good");
        assert!(matches!(&config.source, Source::Fixed(hosts) if hosts.len() == 1024));
        assert_eq!((config.settings.classes.len(), config.settings.tenants.len()), (1024, 1024));
        assert_eq!((config.settings.proxies, config.settings.proxy_index), (1024, 1023));
        assert_eq!(config.peers.expect("peers").peers.len(), 1024);
    }

    #[test]
    fn the_example_names_every_key_and_has_no_fault() {
        parse(EXAMPLE, "example").expect("good");
        let markdown = markdown();
        for line in markdown.lines().filter_map(|line| line.strip_prefix("| `")) {
            let key = line.split('`').next().expect("a key");
            assert!(EXAMPLE.contains(&format!("{key} = ")), "{key} is not in the example");
        }
    }

    #[test]
    fn every_fault_is_told_at_once_and_at_its_place() {
        let text = "lisen = \"127.0.0.1:0\"\n[[backends]]\naddress = \"localhost:1\"\nweight = -1\nzone = 4\n\
            [[classes]]\nname = \"\"\neffect = \"often\"\ndeadline = 5\n[limits]\nmemory = \"much\"\nattempts = 0\n\
            [logging]\nformat = \"xml\"\naccess = 2\nfilter = \"a=b=c\"\n[admin]\nlisten = 7\n";
        let expected = [
            "f:1:1: 'listen' is missing",
            "f:1:1: unknown key 'lisen', did you mean 'listen'?",
            "f:3:11: 'localhost:1' is no address; one is \"127.0.0.1:8080\"",
            "f:4:10: 'weight' is -1, and has to be 0.001 or more",
            "f:5:8: 'zone' has to be text, not a number",
            "f:7:8: 'name' is empty",
            "f:8:10: 'effect' is \"often\", and has to be \"safe\" or \"once\" or \"keyed\"",
            "f:9:12: 'deadline' has to be text, not a number",
            "f:11:10: 'much' is no size; one is \"64MiB\"",
            "f:12:12: 'attempts' is 0, and has to be 1 or more",
            "f:14:10: 'format' is \"xml\", and has to be \"text\" or \"json\"",
            "f:15:10: 'access' is 2, and has to be 1 or less",
            "f:16:10: 'a=b=c' is no filter; one is \"info,leadrelay::access=off\"",
            "f:18:10: 'listen' has to be text, not a number",
        ];
        assert_eq!(faults(text), expected);
    }

    #[test]
    fn what_the_schema_can_not_say_is_told_too() {
        let class = |text: &str| format!("{SMALL}[[classes]]\nname = \"a\"\n{text}\n");
        for (text, expected) in [
            ("listen = \"127.0.0.1:0\"\n".to_owned(), "f:1:1: no backends: give [[backends]] or [discovery]"),
            (
                format!("{SMALL}[discovery]\naddress = \"127.0.0.1:1\"\n"),
                "f:4:2: give 'backends' or 'discovery', not both",
            ),
            (
                format!("{SMALL}[[backends]]\naddress = \"127.0.0.1:9001\"\n"),
                "f:4:1: '127.0.0.1:9001' stands twice among the backends",
            ),
            (
                class("effect = \"safe\"\ndeadline = \"1s\"\naim = \"2s\""),
                "f:8:7: an aim has to be 1ms or more and within the deadline",
            ),
            (class("effect = \"safe\"\ndeadline = \"0s\""), "f:7:12: a deadline has to be 1ms or more"),
            (class("effect = \"keyed\"\ndeadline = \"1s\""), "f:6:10: a keyed class needs a 'window'"),
            (class("effect = \"safe\""), "f:4:1: 'deadline' is missing"),
            (
                format!("{SMALL}[peers]\naddresses = [\"127.0.0.1:1\"]\nme = 1\n"),
                "f:6:6: proxy 1 of 1 (they count from 0)",
            ),
        ] {
            assert_eq!(faults(&text), [expected], "{text}");
        }
    }

    #[test]
    fn a_text_that_is_no_toml_is_told_with_its_place() {
        let told = faults("listen = \"a\n[x");
        assert_eq!(told.len(), 2, "{told:?}");
        assert!(told[0].starts_with("f:1:") && told[1].starts_with("f:2:"), "{told:?}");
        assert_eq!(
            faults("{"),
            ["f:1:1: EOF while parsing an object at line 1 column 1"],
            "the operators' JSON"
        );
    }

    #[test]
    fn the_operators_json_is_told_all_its_faults_too() {
        let text = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"classes":[
            {"name":"a","effect":"idempotent","deadline":0,"promise":1,"worth":1},
            {"name":"a","effect":"often","deadline":1,"promise":1,"worth":"much"}],"ceilings":{}}}"#;
        let faults = platform::check(text).expect_err("five faults");
        let told: Vec<&str> = faults.iter().map(|f| f.message.as_str()).collect();
        let expected = [
            "class 'a': deadline is no positive number",
            "class 'a' stands twice",
            "class 'a': worth is no positive number",
            "class 'a': effect 'often' is none of idempotent, deduplicated, at_most_once",
            "ceilings.maxAttempts is no positive number",
        ];
        assert_eq!(told, expected);
    }

    #[test]
    fn any_beginning_of_a_file_is_read_without_a_panic() {
        for cut in (0..EXAMPLE.len()).filter(|cut| EXAMPLE.is_char_boundary(*cut)) {
            let _ = parse(&EXAMPLE[..cut], "f");
        }
    }

    #[test]
    fn the_reference_page_is_what_the_schema_says() {
        let page = include_str!("../../../../docs/configuration.md");
        assert!(
            page == markdown(),
            "docs/configuration.md: run `leadrelay config markdown > docs/configuration.md`"
        );
    }

    #[test]
    fn a_key_is_explained_with_those_below_it() {
        let text = explain("limits").expect("it is known");
        assert!(text.contains("limits.memory  (size, default \"256.0 MiB\")"), "{text}");
        assert!(explain("nothing.such").is_none());
    }
}
