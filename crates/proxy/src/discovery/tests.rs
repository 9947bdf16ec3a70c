//! Framing and parsing of watches: responses that are split at any byte, truncated or malformed.

use super::endpoint_list::{EndpointList, ListError, parse_cached_list};
use super::framing::{Frame, FrameError, Framer};
use crate::listed_endpoint::{EntryError, Health};

fn frames(parts: &[&[u8]]) -> Result<Vec<Frame>, FrameError> {
    let mut framer = Framer::default();
    let mut frames = Vec::new();
    for part in parts {
        framer.push(part, &mut frames)?;
    }
    Ok(frames)
}

fn object(text: &str) -> Frame {
    Frame::Object(text.as_bytes().to_vec())
}

/// Guards against a framer that loses its state between reads: the network may split a response at any byte.
#[test]
fn frames_do_not_depend_on_how_the_bytes_are_split() {
    let text = "{\"a\":\"}\\\"{\"}\n\n{\"b\":[1,{}]}\r\n\r\n \t\n";
    let expected = [
        object("{\"a\":\"}\\\"{\"}"),
        Frame::Heartbeat,
        object("{\"b\":[1,{}]}"),
        Frame::Heartbeat,
        Frame::Heartbeat,
    ];
    for cut in 0..text.len() {
        let (head, tail) = text.as_bytes().split_at(cut);
        assert_eq!(frames(&[head, tail]), Ok(expected.to_vec()), "cut at {cut}");
    }
    let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
    assert_eq!(frames(&bytes).map(|all| all.len()), Ok(expected.len()));
}

#[test]
fn object_may_be_indented_over_many_lines() {
    let text = "{\n  \"seq\": 1,\r\n  \"hosts\": [\n    {\n    }\n  ]\n}";
    assert_eq!(frames(&[text.as_bytes(), b"\n\n"]), Ok(vec![object(text), Frame::Heartbeat]));
}

#[test]
fn text_between_objects_is_unexpected() {
    for text in ["x", "[]", "\"a\"", "{}x", "}", "\0"] {
        assert_eq!(frames(&[text.as_bytes()]).err(), Some(FrameError::Unexpected), "{text:?}");
    }
}

/// A response that breaks off inside an object must end the watch rather than make the framer buffer all that follows.
#[test]
fn unfinished_object_is_detected_by_the_next_heartbeat_or_by_its_length() {
    assert_eq!(frames(&[b"{\"seq\":1,\n", b"\n"]), Err(FrameError::Incomplete));
    let mut framer = Framer::default();
    let mut frames = Vec::new();
    framer.push(b"{", &mut frames).expect("the start of an object is valid");
    assert!(framer.is_partial());
    let chunk = [b'1'; 1 << 16];
    let error = (0..100).find_map(|_| framer.push(&chunk, &mut frames).err());
    assert_eq!(error, Some(FrameError::TooLong));
}

const VALID_ENTRY: &str = r#"{"host":"s-1","dial":"127.0.0.1:9","site":"a","class":"k","block":1,"health":"up","share":1.0,"born_ms":0}"#;

fn list_of(entries: &[&str]) -> Result<EndpointList, ListError> {
    EndpointList::parse(format!(r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#, entries.join(",")).as_bytes())
}

#[test]
fn every_entry_of_a_list_is_read() {
    let removed = r#"{"host":"s-2","health":"removed"}"#;
    let draining = r#"{"host":"s-3","dial":null,"health":"draining","site":null}"#;
    let list = list_of(&[VALID_ENTRY, removed, draining]).expect("the list is valid");
    assert_eq!((list.version, list.complete), (7, true));
    let healths: Vec<Health> = list.endpoints.iter().map(|endpoint| endpoint.health).collect();
    assert_eq!(healths, [Health::Up, Health::Removed, Health::Draining]);
    assert_eq!(list_of(&[VALID_ENTRY, VALID_ENTRY]).expect("equal entries are allowed").endpoints.len(), 1);
}

/// An entry that can't be read may be the removal of an endpoint. Using the rest of the list would keep that endpoint
/// in use.
#[test]
fn list_with_a_malformed_part_is_not_used_at_all() {
    let entry_error = |text: &str| match list_of(&[VALID_ENTRY, text]) {
        Err(ListError::Entry { number: 2, error }) => error,
        other => panic!("{text}: {other:?}"),
    };
    for text in ["null", "3", "{}", r#"{"host":""}"#, r#"{"host":3}"#] {
        assert_eq!(entry_error(text), EntryError::NoName, "{text}");
    }
    let name = String::from("s");
    for dial in ["null", "3", r#""nowhere""#, r#""127.0.0.1""#] {
        let text = format!(r#"{{"host":"s","dial":{dial},"health":"up"}}"#);
        assert_eq!(entry_error(&text), EntryError::NoAddress { name: name.clone() }, "{text}");
    }
    for health in ["null", "1", r#""UP""#, r#""gone""#] {
        let text = format!(r#"{{"host":"s","dial":"127.0.0.1:9","health":{health}}}"#);
        assert_eq!(
            entry_error(&text),
            EntryError::UnknownHealth { name: name.clone(), health: health.into() },
            "{text}"
        );
    }
    let conflicting = VALID_ENTRY.replace("up", "draining");
    assert!(
        matches!(list_of(&[VALID_ENTRY, &conflicting]), Err(ListError::Duplicate(name)) if name == "s-1")
    );
    for text in
        ["{}", "[]", "", "{", r#"{"seq":-1,"whole":true,"hosts":[]}"#, r#"{"seq":1,"whole":true,"hosts":{}}"#]
    {
        assert!(matches!(EndpointList::parse(text.as_bytes()), Err(ListError::Json(_))), "{text}");
    }
}

/// A cached list may be out of date anyway, so one invalid entry must not leave the proxy without any endpoints.
#[test]
fn invalid_entries_of_a_cached_list_are_skipped() {
    let read = |text: &str| parse_cached_list(&serde_json::from_str(text).expect("the text is JSON"));
    assert_eq!(read("null"), None);
    assert_eq!(read(r#"{"seq":"x"}"#), None);
    let endpoints = read(&format!(r#"{{"seq":1,"whole":true,"hosts":[null,{VALID_ENTRY}]}}"#))
        .expect("the list is valid");
    assert_eq!(endpoints.len(), 1);
}
