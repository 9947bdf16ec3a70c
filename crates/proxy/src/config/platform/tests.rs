//! Tests of the operators' configuration file: what is read, and what a start and a reload reject.

use leadrelay_core::settings::json::ConnectionTimeouts;

use super::*;

const VALID: &str = r#"{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f",
    "limits":{"sockets":512},"peer_listen":"127.0.0.1:1","peers":["127.0.0.1:1"],"peers_all":"127.0.0.1:2",
    "known":null,"settings":{"classes":[{"name":"page","effect":"idempotent","deadline":900}],
    "nInstances":1,"myNumber":0,"ceilings":{"mayTell":true,"dialTimeout":120,"idleClose":30000}}}"#;

#[test]
fn valid_file_is_read_completely() {
    let config = parse(VALID).expect("valid");
    assert_eq!((config.seed, config.max_sockets), (0x8c1f, 512));
    assert_eq!(
        config.connections,
        ConnectionTimeouts { connect_timeout: 120.0, backend_idle_timeout: 30_000.0 }
    );
    assert_eq!(config.names.classes, ["page"]);
    assert_eq!(config.peers.expect("gossip is enabled").peers.len(), 1);
}

#[test]
fn peers_are_ignored_where_the_settings_disable_gossip() {
    assert!(parse(&VALID.replace("\"mayTell\":true", "\"mayTell\":false")).expect("valid").peers.is_none());
}

/// A reload may see a file that is damaged or half written. If missing settings got defaults as they do at a start,
/// such a file would silently change the settings of the running process.
#[test]
fn reload_rejects_an_incomplete_or_malformed_file() {
    let valid = VALID
        .replace("\"deadline\":900", "\"deadline\":900,\"promise\":500,\"worth\":1.0")
        .replace("\"mayTell\":true", "\"mayTell\":true,\"maxAttempts\":3");
    let running = parse(&valid).expect("valid").origin;
    let file = std::env::temp_dir().join(format!("reread-{}.json", std::process::id()));
    let reread = |text: &str| {
        std::fs::write(&file, text).expect("the file can be written");
        super::super::reread(&file, &running).map(|config| config.names.classes)
    };
    assert_eq!(reread(&valid), Ok(vec!["page".to_owned()]));
    // A class may be added, and its effect may differ from the effects in the running file.
    let added = "{\"name\":\"x\",\"effect\":\"at_most_once\",\"deadline\":1,\"promise\":1,\"worth\":1},{\"name\":\"page\"";
    assert_eq!(reread(&valid.replace("{\"name\":\"page\"", added)).expect("valid").len(), 2);
    for (from, to) in [
        (valid.as_str(), ""),
        ("\"settings\"", "\"other\""),
        ("\"discovery\":\"127.0.0.1:8500\",", ""),
        ("\"limits\":{\"sockets\":512},", ""),
        ("\"ceilings\"", "\"floors\""),
        ("\"dialTimeout\":120,", ""),
        ("\"deadline\":900,", ""),
        ("\"effect\":\"idempotent\",", ""),
        ("\"effect\":\"idempotent\"", "\"effect\":\"perhaps\""),
        ("\"effect\":\"idempotent\"", "\"effect\":\"deduplicated\""),
        ("\"deadline\":900", "\"deadline\":0"),
        ("\"deadline\":900", "\"deadline\":-1"),
        ("\"deadline\":900", "\"deadline\":\"900\""),
        ("\"deadline\":900", "\"deadline\":null"),
        ("\"maxAttempts\":3", "\"maxAttempts\":0"),
        ("\"maxAttempts\":3", "\"maxAttempts\":-3"),
        ("\"maxAttempts\":3", "\"maxAttempts\":\"3\""),
        ("\"maxAttempts\":3", "\"maxAttempts\":2.5"),
        ("\"nInstances\":1", "\"nInstances\":[]"),
    ] {
        assert!(valid.contains(from), "{from}");
        assert!(reread(&valid.replace(from, to)).is_err(), "{from} -> {to}");
    }
    for length in 1..valid.len() - 1 {
        assert!(reread(&valid[..length]).is_err(), "cut at {length}");
    }
    std::fs::remove_file(&file).expect("the file exists");
}

#[test]
fn message_names_the_cause_of_the_fault() {
    for (from, to, expected) in [
        ("127.0.0.1:9000", "nowhere", "socket address"),
        ("\"seed\":\"8c1f\",", "", "seed"),
        ("\"name\":\"page\",", "", "classes"),
        ("\"myNumber\":0", "\"myNumber\":3", "number 3 of 1"),
        ("{\"name\"", "{\"name", "line"),
    ] {
        let error = parse(&VALID.replace(from, to)).expect_err(to).message;
        assert!(error.contains(expected), "{to}: {error}");
    }
}
