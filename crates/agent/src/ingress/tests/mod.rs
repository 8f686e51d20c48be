//! Tests of what is read ahead of the server.

use http::Method;
use quickcheck::{Gen, QuickCheck};

use super::read_ahead::Scan;

const READ: &str = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
const WRITE: &str = "POST /b HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nGET /";
const CHUNKED: &str =
    "POST /c HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";

/// The numbers of the requests found, and the paths of those without a body.
fn found(scan: &mut Scan, text: &str) -> Vec<(u64, Option<String>)> {
    let found = scan.take(text.as_bytes()).into_iter();
    found.map(|(number, head)| (number, head.map(|it| it.uri.path().to_owned()))).collect()
}

fn read(number: u64) -> (u64, Option<String>) {
    (number, Some("/a".to_owned()))
}

#[test]
fn heads_are_found_behind_each_other_and_behind_bodies() {
    let text = [READ, WRITE, READ, READ].concat();
    assert_eq!(found(&mut Scan::default(), &text), [read(0), (1, None), read(2), read(3)]);
}

#[test]
fn it_does_not_matter_how_the_bytes_come() {
    fn property(cuts: Vec<usize>) -> bool {
        let text = [WRITE, READ, WRITE, READ].concat();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|it| it % text.len()).collect();
        cuts.sort_unstable();
        cuts.push(text.len());
        let (mut scan, mut all, mut at) = (Scan::default(), Vec::new(), 0);
        for cut in cuts {
            all.extend(found(&mut scan, &text[at..cut]));
            at = cut;
        }
        all == [(0, None), read(1), (2, None), read(3)]
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .quickcheck(property as fn(Vec<usize>) -> bool);
}

/// Where a body's end is not known nothing behind it is taken for a request.
#[test]
fn behind_what_is_not_clear_nothing_is_found() {
    for unclear in [
        CHUNKED,
        "POST /d HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx",
        "POST /d HTTP/1.1\r\ncontent-length: many\r\n\r\nx",
        "GET /d HTTP/1.1\r\nupgrade: websocket\r\n\r\n",
    ] {
        let text = [READ, unclear, READ].concat();
        assert_eq!(found(&mut Scan::default(), &text), [read(0), (1, None)], "{unclear:?}");
    }
    for broken in ["GET /d HTTP/1.0\r\n\r\n", "GET\r\n\r\n", "\u{1}\r\n\r\n"] {
        let text = [READ, broken, READ].concat();
        assert_eq!(found(&mut Scan::default(), &text), [read(0)], "{broken:?}");
    }
}

#[test]
fn a_head_that_does_not_end_is_given_up() {
    let mut scan = Scan::default();
    for _ in 0..40 {
        assert!(found(&mut scan, &"a".repeat(1000)).is_empty());
    }
    assert!(found(&mut scan, READ).is_empty());
}

#[test]
fn a_head_is_read_as_it_stands() {
    let text = "GET /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nx-a: 2\r\n\r\n";
    let heads = Scan::default().take(text.as_bytes());
    let [(0, Some(head))] = heads.as_slice() else { panic!("{heads:?}") };
    assert_eq!((&head.method, head.uri.to_string()), (&Method::GET, "/a/b?c=d".to_owned()));
    let values: Vec<_> = head.headers.get_all("x-a").iter().collect();
    assert_eq!(values, ["1", "2"]);
}
