//! Configuration files of both forms: what is read, and which faults are reported.

use super::*;

const SMALL: &str = "listen = \"127.0.0.1:0\"\n[[backends]]\naddress = \"127.0.0.1:9001\"\n";

/// The faults of a file, as they are shown.
fn faults(text: &str) -> Vec<String> {
    let shown = parse(text, "f").err().map(|faults| faults.to_string()).unwrap_or_default();
    shown.lines().map(str::to_owned).collect()
}

#[test]
fn listener_and_backend_make_a_configuration() {
    let config = parse(SMALL, "f").expect("good");
    assert_eq!(config.names.classes, ["read", "write"]);
    assert!(matches!(&config.source, Source::Fixed(hosts) if hosts[0].name == "127.0.0.1:9001"));
    assert!(matches!(config.dialect, Dialect::Plain(_)) && config.peers.is_none() && config.admin.is_none());
}

#[test]
fn lists_of_a_large_fleet_are_read_completely() {
    let of = |line: fn(usize) -> String| (0..1024).map(line).collect::<String>();
    let text = [
        "listen = \"127.0.0.1:0\"\nzone = \"z-1023\"\n".to_owned(),
        of(|n| format!("[[backends]]\naddress = \"10.0.{}.{}:80\"\nzone = \"z-{n}\"\n", n / 256, n % 256)),
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
fn example_has_every_key_and_no_fault() {
    parse(EXAMPLE, "example").expect("good");
    let markdown = markdown();
    for line in markdown.lines().filter_map(|line| line.strip_prefix("| `")) {
        let key = line.split('`').next().expect("a key");
        assert!(EXAMPLE.contains(&format!("{key} = ")), "{key} is not in the example");
    }
}

#[test]
fn all_faults_are_reported_at_once_with_their_places() {
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
fn faults_beyond_the_schema_are_reported() {
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
fn malformed_toml_is_reported_with_its_place() {
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
        "class 'a': deadline is no positive number",
        "class 'a' stands twice",
        "class 'a': worth is no positive number",
        "class 'a': effect 'often' is none of idempotent, deduplicated, at_most_once",
        "ceilings.maxAttempts is no positive number",
    ];
    assert_eq!(reported, expected);
}

#[test]
fn truncated_file_is_read_without_a_panic() {
    for cut in (0..EXAMPLE.len()).filter(|cut| EXAMPLE.is_char_boundary(*cut)) {
        let _ = parse(&EXAMPLE[..cut], "f");
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
fn key_is_explained_with_those_in_its_table() {
    let text = explain("limits").expect("it is known");
    assert!(text.contains("limits.memory  (size, default \"256.0 MiB\")"), "{text}");
    assert!(explain("nothing.such").is_none());
}
