//! Tests of configuration files of both formats: what is read, and which faults are reported.

use super::*;

const MINIMAL: &str = "listen = \"127.0.0.1:0\"\n[[backends]]\naddress = \"127.0.0.1:9001\"\n";

/// The faults of a TOML text, as they are displayed.
fn faults(text: &str) -> Vec<String> {
    let displayed = parse(text, "f").err().map(|faults| faults.to_string()).unwrap_or_default();
    displayed.lines().map(str::to_owned).collect()
}

#[test]
fn listener_and_backend_are_a_valid_configuration() {
    let config = parse(MINIMAL, "f").expect("valid");
    assert_eq!(config.names.classes, ["read", "write"]);
    assert!(
        matches!(&config.source, EndpointSource::Fixed(endpoints) if endpoints[0].name == "127.0.0.1:9001")
    );
    assert!(
        matches!(config.client_protocol, ClientProtocol::Plain(_))
            && config.peers.is_none()
            && config.admin.is_none()
    );
}

#[test]
fn lists_of_a_large_fleet_are_read_completely() {
    let repeated = |line: fn(usize) -> String| (0..1024).map(line).collect::<String>();
    let text = [
        "listen = \"127.0.0.1:0\"\nzone = \"z-1023\"\n".to_owned(),
        repeated(|n| {
            format!("[[backends]]\naddress = \"10.0.{}.{}:80\"\nzone = \"z-{n}\"\n", n / 256, n % 256)
        }),
        repeated(|n| format!("[[classes]]\nname = \"c-{n}\"\neffect = \"safe\"\ndeadline = \"1s\"\n")),
        repeated(|n| format!("[[tenants]]\nname = \"t-{n}\"\nper_second = 1\n")),
        "[peers]\nme = 1023\naddresses = [\n".to_owned(),
        repeated(|n| format!("\"10.1.{}.{}:80\",\n", n / 256, n % 256)),
        "]\n".to_owned(),
    ];
    let config = parse(&text.concat(), "f").expect("valid");
    assert!(matches!(&config.source, EndpointSource::Fixed(endpoints) if endpoints.len() == 1024));
    assert_eq!((config.settings.classes.len(), config.settings.tenants.len()), (1024, 1024));
    assert_eq!((config.settings.proxies, config.settings.proxy_index), (1024, 1023));
    assert_eq!(config.peers.expect("peers").peers.len(), 1024);
}

#[test]
fn example_has_every_key_and_no_fault() {
    parse(EXAMPLE, "example").expect("valid");
    let markdown = markdown();
    for line in markdown.lines().filter_map(|line| line.strip_prefix("| `")) {
        let key = line.split('`').next().expect("a key");
        assert!(EXAMPLE.contains(&format!("{key} = ")), "{key} is not in the example");
    }
}

#[test]
fn all_faults_are_reported_at_once_with_their_positions() {
    let text = "lisen = \"127.0.0.1:0\"\n[[backends]]\naddress = \"localhost:1\"\nweight = -1\nzone = 4\n\
        [[classes]]\nname = \"\"\neffect = \"often\"\ndeadline = 5\n[limits]\nmemory = \"much\"\nattempts = 0\n\
        [logging]\nformat = \"xml\"\naccess = 2\nfilter = \"a=b=c\"\n[admin]\nlisten = 7\n";
    let expected = [
        "f:1:1: 'listen' is missing",
        "f:1:1: unknown key 'lisen', did you mean 'listen'?",
        "f:3:11: 'localhost:1' is not a valid address; example: \"127.0.0.1:8080\"",
        "f:4:10: 'weight' is -1, and has to be 0.001 or more",
        "f:5:8: 'zone' has to be text, not a number",
        "f:7:8: 'name' is empty",
        "f:8:10: 'effect' is \"often\", and has to be \"safe\" or \"once\" or \"keyed\"",
        "f:9:12: 'deadline' has to be text, not a number",
        "f:11:10: 'much' is not a valid size; example: \"64MiB\"",
        "f:12:12: 'attempts' is 0, and has to be 1 or more",
        "f:14:10: 'format' is \"xml\", and has to be \"text\" or \"json\"",
        "f:15:10: 'access' is 2, and has to be 1 or less",
        "f:16:10: 'a=b=c' is not a valid filter; example: \"info,leadrelay::access=off\"",
        "f:18:10: 'listen' has to be text, not a number",
    ];
    assert_eq!(faults(text), expected);
}

#[test]
fn faults_beyond_the_schema_are_reported() {
    let class = |text: &str| format!("{MINIMAL}[[classes]]\nname = \"a\"\n{text}\n");
    for (text, expected) in [
        ("listen = \"127.0.0.1:0\"\n".to_owned(), "f:1:1: no backends: give [[backends]] or [discovery]"),
        (
            format!("{MINIMAL}[discovery]\naddress = \"127.0.0.1:1\"\n"),
            "f:4:2: give 'backends' or 'discovery', not both",
        ),
        (
            format!("{MINIMAL}[[backends]]\naddress = \"127.0.0.1:9001\"\n"),
            "f:4:1: '127.0.0.1:9001' is used twice in 'backends'",
        ),
        (
            class("effect = \"safe\"\ndeadline = \"1s\"\naim = \"2s\""),
            "f:8:7: an aim has to be 1ms or more and within the deadline",
        ),
        (class("effect = \"safe\"\ndeadline = \"0s\""), "f:7:12: a deadline has to be 1ms or more"),
        (class("effect = \"keyed\"\ndeadline = \"1s\""), "f:6:10: a keyed class needs a 'window'"),
        (class("effect = \"safe\""), "f:4:1: 'deadline' is missing"),
        (
            format!("{MINIMAL}[peers]\naddresses = [\"127.0.0.1:1\"]\nme = 1\n"),
            "f:6:6: 'me' is 1, and has to be less than the number of addresses, 1",
        ),
    ] {
        assert_eq!(faults(&text), [expected], "{text}");
    }
}

#[test]
fn malformed_toml_is_reported_with_its_position() {
    let reported = faults("listen = \"a\n[x");
    assert_eq!(reported.len(), 2, "{reported:?}");
    assert!(reported[0].starts_with("f:1:") && reported[1].starts_with("f:2:"), "{reported:?}");
    assert_eq!(faults("{"), ["f:1:1: EOF while parsing an object at line 1 column 1"], "the operators' JSON");
}

#[test]
fn all_faults_of_the_operators_json_are_reported() {
    let text = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"classes":[
        {"name":"a","effect":"idempotent","deadline":0,"promise":1,"worth":1},
        {"name":"a","effect":"often","deadline":1,"promise":1,"worth":"much"}],"ceilings":{}}}"#;
    let faults = platform::check(text).expect_err("five faults");
    let reported: Vec<&str> = faults.iter().map(|f| f.message.as_str()).collect();
    let expected = [
        "class 'a': deadline is not a positive number",
        "class 'a' is defined twice",
        "class 'a': worth is not a positive number",
        "class 'a': effect 'often' is not one of idempotent, deduplicated, at_most_once",
        "ceilings.maxAttempts is not a positive number",
    ];
    assert_eq!(reported, expected);
}

#[test]
fn truncated_file_is_read_without_a_panic() {
    for length in (0..EXAMPLE.len()).filter(|length| EXAMPLE.is_char_boundary(*length)) {
        let _ = parse(&EXAMPLE[..length], "f");
    }
}

#[test]
fn reference_page_matches_the_schema() {
    let page = include_str!("../../../../docs/configuration.md");
    assert!(
        page == markdown(),
        "docs/configuration.md: run `leadrelay config markdown > docs/configuration.md`"
    );
}

#[test]
fn table_is_explained_with_all_its_keys() {
    let text = explain("limits").expect("a known key");
    assert!(text.contains("limits.memory  (size, default \"256.0 MiB\")"), "{text}");
    assert!(explain("nothing.such").is_none());
}
