//! Framing and parsing of watches, cut and broken in all ways.

use super::endpoint_list::{EndpointList, ListError, read_cached};
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

#[test]
fn objects_and_heartbeats_are_split_however_they_are_cut() {
    let text = "{\"a\":\"}\\\"{\"}\n\n{\"b\":[1,{}]}\r\n\r\n \t\n";
    let expected = [
        object("{\"a\":\"}\\\"{\"}"),
        Frame::Heartbeat,
        object("{\"b\":[1,{}]}"),
        Frame::Heartbeat,
        Frame::Heartbeat,
    ];
    for cut in 0..text.len() {
        let (first, rest) = text.as_bytes().split_at(cut);
        assert_eq!(frames(&[first, rest]), Ok(expected.to_vec()), "cut at {cut}");
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

#[test]
fn unfinished_object_is_seen_by_the_next_heartbeat_or_its_length() {
    assert_eq!(frames(&[b"{\"seq\":1,\n", b"\n"]), Err(FrameError::Incomplete));
    let mut framer = Framer::default();
    let mut frames = Vec::new();
    framer.push(b"{", &mut frames).expect("a beginning");
    assert!(framer.is_partial());
    let endless = [b'1'; 1 << 16];
    let end = (0..100).find_map(|_| framer.push(&endless, &mut frames).err());
    assert_eq!(end, Some(FrameError::TooLong));
}

const GOOD: &str = r#"{"host":"s-1","dial":"127.0.0.1:9","site":"a","class":"k","block":1,"health":"up","share":1.0,"born_ms":0}"#;

fn list_of(entries: &[&str]) -> Result<EndpointList, ListError> {
    EndpointList::parse(format!(r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#, entries.join(",")).as_bytes())
}

#[test]
fn list_is_read_completely() {
    let gone = r#"{"host":"s-2","health":"removed"}"#;
    let drains = r#"{"host":"s-3","dial":null,"health":"draining","site":null}"#;
    let list = list_of(&[GOOD, gone, drains]).expect("a list");
    assert_eq!((list.version, list.complete), (7, true));
    let healths: Vec<Health> = list.endpoints.iter().map(|endpoint| endpoint.health).collect();
    assert_eq!(healths, [Health::Up, Health::Removed, Health::Draining]);
    assert_eq!(list_of(&[GOOD, GOOD]).expect("said twice").endpoints.len(), 1);
}

#[test]
fn list_with_a_malformed_part_is_not_used_at_all() {
    let entry = |text: &str| match list_of(&[GOOD, text]) {
        Err(ListError::Entry { number: 2, error }) => error,
        other => panic!("{text}: {other:?}"),
    };
    for text in ["null", "3", "{}", r#"{"host":""}"#, r#"{"host":3}"#] {
        assert_eq!(entry(text), EntryError::NoName, "{text}");
    }
    let name = String::from("s");
    for dial in ["null", "3", r#""nowhere""#, r#""127.0.0.1""#] {
        let text = format!(r#"{{"host":"s","dial":{dial},"health":"up"}}"#);
        assert_eq!(entry(&text), EntryError::NoAddress { name: name.clone() }, "{text}");
    }
    for health in ["null", "1", r#""UP""#, r#""gone""#] {
        let text = format!(r#"{{"host":"s","dial":"127.0.0.1:9","health":{health}}}"#);
        assert_eq!(
            entry(&text),
            EntryError::UnknownHealth { name: name.clone(), health: health.into() },
            "{text}"
        );
    }
    let other = GOOD.replace("up", "draining");
    assert!(matches!(list_of(&[GOOD, &other]), Err(ListError::Duplicate(name)) if name == "s-1"));
    for text in
        ["{}", "[]", "", "{", r#"{"seq":-1,"whole":true,"hosts":[]}"#, r#"{"seq":1,"whole":true,"hosts":{}}"#]
    {
        assert!(matches!(EndpointList::parse(text.as_bytes()), Err(ListError::Json(_))), "{text}");
    }
}

#[test]
fn cached_list_is_used_as_far_as_it_can_be_read() {
    let known = |text: &str| read_cached(&serde_json::from_str(text).expect("JSON"));
    assert_eq!(known("null"), None);
    assert_eq!(known(r#"{"seq":"x"}"#), None);
    let some = known(&format!(r#"{{"seq":1,"whole":true,"hosts":[null,{GOOD}]}}"#)).expect("a list");
    assert_eq!(some.len(), 1);
}
