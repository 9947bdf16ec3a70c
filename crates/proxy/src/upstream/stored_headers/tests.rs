use super::*;

fn headers(fields: &[(&str, &[u8])]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        headers.append(name, HeaderValue::from_bytes(value).expect("a value"));
    }
    headers
}

/// Guards against headers that are lost, joined or changed on their way to a backend, whether few or many.
#[test]
fn stored_headers_are_the_same_when_they_are_sent() {
    let fields: [(&str, &[u8]); 6] = [
        ("host", b"x"),
        ("x-empty", b""),
        ("accept", b"a"),
        ("accept", b"b, c"),
        ("x-latin", b"caf\xe9 \t~"),
        ("x-own", b"1"),
    ];
    let names: Vec<String> = (0..90).map(|number| format!("x-{number}")).collect();
    let mut many = fields.to_vec();
    many.extend(names.iter().map(|name| (name.as_str(), b"abc".as_slice())));
    for fields in [fields.to_vec(), many] {
        let headers = headers(&fields);
        let stored = StoredHeaders::from(headers.clone());
        assert_eq!(stored.to_map(1), headers);
        assert_eq!(stored.to_map(0).len(), fields.len(), "each attempt gets all of them");
    }
    assert_eq!(StoredHeaders::default().to_map(0), HeaderMap::new());
}
