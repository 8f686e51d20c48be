//! Tests of the scanner for pipelined requests.

mod announce;

use http::Method;
use quickcheck::{Gen, QuickCheck};

use super::read_ahead::HeadScanner;

const READ: &str = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
const WRITE: &str = "POST /b HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nGET /";
const CHUNKED: &str =
    "POST /c HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";

/// Scans a text. Returns the numbers of the requests found, and the paths of those without a body.
fn scan_text(scanner: &mut HeadScanner, text: &str) -> Vec<(u64, Option<String>)> {
    let heads = scanner.scan(text.as_bytes()).into_iter();
    heads.map(|(number, head)| (number, head.map(|it| it.uri.path().to_owned()))).collect()
}

fn read(number: u64) -> (u64, Option<String>) {
    (number, Some("/a".to_owned()))
}

#[test]
fn heads_are_found_after_other_heads_and_after_bodies() {
    let text = [READ, WRITE, READ, READ].concat();
    assert_eq!(
        scan_text(&mut HeadScanner::default(), &text),
        [read(0), (1, None), read(2), read(3)]
    );
}

#[test]
fn result_does_not_depend_on_how_the_bytes_are_split() {
    fn property(cuts: Vec<usize>) -> bool {
        let text = [WRITE, READ, WRITE, READ].concat();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|it| it % text.len()).collect();
        cuts.sort_unstable();
        cuts.push(text.len());
        let (mut scanner, mut all, mut at) = (HeadScanner::default(), Vec::new(), 0);
        for cut in cuts {
            all.extend(scan_text(&mut scanner, &text[at..cut]));
            at = cut;
        }
        all == [(0, None), read(1), (2, None), read(3)]
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .quickcheck(property as fn(Vec<usize>) -> bool);
}

/// If the end of a body cannot be determined, no bytes after it may be taken for a request.
#[test]
fn nothing_is_found_after_an_unclear_body_or_head() {
    for unclear in [
        CHUNKED,
        "POST /d HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx",
        "POST /d HTTP/1.1\r\ncontent-length: many\r\n\r\nx",
        "GET /d HTTP/1.1\r\nupgrade: websocket\r\n\r\n",
    ] {
        let text = [READ, unclear, READ].concat();
        assert_eq!(
            scan_text(&mut HeadScanner::default(), &text),
            [read(0), (1, None)],
            "{unclear:?}"
        );
    }
    for broken in ["GET /d HTTP/1.0\r\n\r\n", "GET\r\n\r\n", "\u{1}\r\n\r\n"] {
        let text = [READ, broken, READ].concat();
        assert_eq!(scan_text(&mut HeadScanner::default(), &text), [read(0)], "{broken:?}");
    }
}

#[test]
fn scan_stops_at_a_head_that_exceeds_the_limit() {
    let mut scanner = HeadScanner::default();
    for _ in 0..40 {
        assert!(scan_text(&mut scanner, &"a".repeat(1000)).is_empty());
    }
    assert!(scan_text(&mut scanner, READ).is_empty());
}

#[test]
fn head_keeps_uri_and_repeated_headers() {
    let text = "GET /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nx-a: 2\r\n\r\n";
    let heads = HeadScanner::default().scan(text.as_bytes());
    let [(0, Some(head))] = heads.as_slice() else { panic!("{heads:?}") };
    assert_eq!((&head.method, head.uri.to_string()), (&Method::GET, "/a/b?c=d".to_owned()));
    let values: Vec<_> = head.headers.get_all("x-a").iter().collect();
    assert_eq!(values, ["1", "2"]);
}
