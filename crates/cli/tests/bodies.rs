//! Bodies of all forms and sizes, in both directions.
mod sockets;

use std::io::{BufReader, Write};
use std::net::TcpListener;

use sockets::*;

const BIG: usize = 200_000;

fn proxy_with(backends: &[&Backend], setup: Setup) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.say(&all_up(backends));
    let proxy = Proxy::up(&discovery, &Setup { admin: true, ..setup });
    (discovery, proxy)
}

/// A backend that writes the first half of a big answer, and the second once a gate opens.
fn in_halves(gate: &Gate) -> Backend {
    let answer = ok(&"x".repeat(BIG));
    let (first, rest) = answer.split_at(answer.len() - BIG / 2);
    Backend::new(Deed::Parts(first.into(), gate.clone(), rest.into()))
}

#[test]
fn a_chunked_request_is_passed_on_whole() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend], Setup::default());
    let chunks = "Transfer-Encoding: chunked\r\n\r\n4;x=1\r\nbody\r\n2\r\n's\r\n0\r\nX-Trailer: y\r\n\r\n";
    let request = submit("r-1", "5", "").replace("Content-Length: 0\r\n\r\n", chunks);
    let mut client = Client::new(&proxy);
    assert_eq!(client.ask(&request).expect("an answer").status(), 200);
    assert_eq!(backend.seen()[0].text(), "body's");
    assert_eq!(client.ask(&page("r-2")).expect("the connection stays").status(), 200);
}

#[test]
fn answers_of_all_forms_are_passed_on() {
    let forms = [
        "HTTP/1.1 200 OK\r\n\r\nits end ends it",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nits\r\nC\r\n end ends it\r\n0\r\nX-T: y\r\n\r\n",
        "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:15\r\n\r\nits end ends it",
    ];
    for form in forms {
        let backend = Backend::new(Deed::WriteAndClose(form.into()));
        let (_discovery, proxy) = proxy_with(&[&backend], Setup::default());
        let answer = Client::new(&proxy).ask(&submit("r-1", "5", "x")).expect("an answer");
        assert_eq!((answer.status(), answer.text().as_str()), (200, "its end ends it"), "{form}");
    }
}

#[test]
fn a_big_answer_flows_and_its_deadline_does_not_cut_it() {
    let (gate, never) = (Gate::default(), Gate::default());
    let (halves, silent) = (in_halves(&gate), Backend::new(Deed::Hold(never.clone(), ok(""))));
    let (discovery, proxy) = proxy_with(&[&halves], Setup { deadline: 300, ..Setup::default() });
    let mut client = Client::new(&proxy);
    client.send(&page("r-1"));
    let head = client.head();
    assert_eq!((head.status(), head.header("content-length")), (200, Some("200000")));
    client.read(BIG / 2); // before the backend has written more
    assert_eq!(proxy.figure("/pending"), 1);
    // One that began later is over, by its deadline.
    let silent_hosts = ["s-1", "s-2"].map(|name| host(name, silent.address, "up", 0));
    discovery.say(&list(2, true, &silent_hosts));
    wait_for("the new list", || proxy.figure("/members") == 2);
    let other = Client::new(&proxy).ask(&submit("r-2", "0.3", "x")).expect("an answer");
    assert_eq!((other.status(), silent.seen().len()), (502, 1));
    gate.open();
    assert!(client.read(BIG / 2).iter().all(|b| *b == b'x'));
    wait_for("its end", || proxy.figure("/completed/page") == 1);
    assert_eq!(proxy.figure("/pending"), 0);
    never.open();
}

#[test]
fn a_big_answer_that_breaks_is_not_tried_again_and_its_client_sees_it() {
    let answer = ok(&"x".repeat(BIG));
    let cut = answer[..answer.len() - 1].to_owned();
    for cut in
        [cut, format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n{}", "x".repeat(BIG))]
    {
        let backends =
            [Backend::new(Deed::WriteAndClose(cut.clone())), Backend::new(Deed::WriteAndClose(cut))];
        let (_discovery, proxy) = proxy_with(&[&backends[0], &backends[1]], Setup::default());
        let mut client = Client::new(&proxy);
        client.send(&page("r-1"));
        let head = client.head();
        assert_eq!(head.status(), 200);
        let body = client.rest();
        match head.header("content-length") {
            Some(_) => assert!(body.len() < BIG, "{}", body.len()),
            None => assert!(!body.ends_with(b"0\r\n\r\n")),
        }
        wait_for("its failure", || proxy.figure("/failed/page") == 1);
        assert_eq!(backends.iter().map(|b| b.seen().len()).sum::<usize>(), 1);
    }
}

#[test]
fn a_client_that_leaves_a_big_answer_ends_it_at_the_backend() {
    let gate = Gate::default();
    let halves = in_halves(&gate);
    let (_discovery, proxy) = proxy_with(&[&halves], Setup::default());
    let mut client = Client::new(&proxy);
    client.send(&page("r-1"));
    client.read(BIG / 2);
    drop(client);
    wait_for("its end", || proxy.figure("/pending") == 0);
    gate.open();
    wait_for("the connection's end", || halves.ended() == 1);
    assert_eq!(proxy.figure("/completed/page") + proxy.figure("/failed/page"), 0);
}

#[test]
fn a_big_body_flows_while_it_still_comes() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery = Discovery::new();
    discovery.say(&list(1, true, &[host("s-0", listener.local_addr().unwrap(), "up", 0)]));
    let proxy = Proxy::up(&discovery, &Setup { admin: true, ..Setup::default() });
    for lengths_told in [true, false] {
        let half = 2_000_000;
        let mut client = Client::new(&proxy);
        let head = submit("r-1", "5", "");
        client.send(&match lengths_told {
            true => head.replace("Content-Length: 0", &format!("Content-Length: {}", 2 * half)),
            false => head.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n") + "1e8480\r\n",
        });
        client.send(&"x".repeat(half));
        let (stream, _) = listener.accept().expect("an attempt");
        let mut reader = BufReader::with_capacity(1 << 20, stream);
        // The backend has the head and a part while the client has not sent all.
        std::io::BufRead::fill_buf(&mut reader).expect("first bytes");
        if !lengths_told {
            client.send("\r\n1e8480\r\n");
        }
        client.send(&"y".repeat(half));
        if !lengths_told {
            client.send("\r\n0\r\n\r\n");
        }
        let request = read_message(&mut reader).expect("a request");
        assert_eq!(request.body.len(), 2 * half);
        assert!(
            request.body[..half].iter().all(|b| *b == b'x')
                && request.body[half..].iter().all(|b| *b == b'y')
        );
        reader.get_mut().write_all(ok("done").as_bytes()).expect("it reads");
        assert_eq!(client.answer().expect("an answer").text(), "done");
    }
    assert_eq!(proxy.figure("/upstream_requests"), 2);
}

#[test]
fn a_client_that_does_not_finish_its_body_is_turned_away() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend], Setup::default());
    for sent in [10, 1_000_000] {
        let mut client = Client::new(&proxy);
        client.send(&submit("r-1", "5", "").replace("Content-Length: 0", "Content-Length: 2000000"));
        client.send(&"x".repeat(sent));
        assert_eq!(client.last_answer(), Some((408, true)), "after {sent} bytes");
    }
    wait_for("their end", || proxy.figure("/pending") == 0);
    assert!(backend.seen().is_empty(), "no backend got one whole");
}

#[test]
fn a_small_body_may_come_in_pieces_for_as_long_as_a_head() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&[&backend], Setup::default());
    let request = submit("r-1", "5", "0123456789");
    let (head, body) = request.split_at(request.len() - 10);
    let mut client = Client::new(&proxy);
    client.send(head);
    for piece in body.as_bytes().chunks(1) {
        std::thread::sleep(std::time::Duration::from_millis(80)); // a slow client, not a wait for something
        client.send(std::str::from_utf8(piece).expect("a digit"));
    }
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(backend.seen()[0].text(), "0123456789");
}
