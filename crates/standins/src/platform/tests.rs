//! Tests of the store, and of the API over a socket.

use std::net::SocketAddr;

use http::StatusCode;
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
};

use super::{
    server::serve,
    store::{Conflict, Store},
};

#[test]
fn a_write_with_another_expected_version_is_a_conflict() {
    let mut store = Store::default();
    let mut check = |expected, result| {
        assert_eq!(store.write("a/b", expected, Some("x".to_owned())), result);
    };
    check(Some(3), Err(Conflict { current: 0 }));
    check(Some(0), Ok(1));
    check(Some(0), Err(Conflict { current: 1 }));
    check(Some(1), Ok(2));
    check(None, Ok(3));
}

#[test]
fn watches_report_a_deletion_and_lists_omit_it() {
    let mut store = Store::default();
    store.write("a/b", None, Some("x".to_owned())).unwrap();
    store.write("a/b", Some(1), None).unwrap();
    assert!(store.list("a/").is_empty());
    let changed = store.changes_after("a/", 1);
    assert_eq!(changed.iter().map(|it| (it.version, &it.body)).collect::<Vec<_>>(), [(2, &None)]);
    assert!(store.changes_after("a/", 2).is_empty());
    assert_eq!(store.write("a/b", Some(0), Some("y".to_owned())), Ok(3));
}

#[test]
fn revisions_are_assigned_again_after_a_rollback() {
    let mut store = Store::default();
    store.write("a/b", None, Some("x".to_owned())).unwrap();
    store.take_snapshot();
    store.write("a/b", None, Some("y".to_owned())).unwrap();
    store.restore_snapshot();
    assert_eq!((store.era(), store.revision(), store.read("a/b")), (1, 1, Some((1, "x".into()))));
    assert_eq!(store.write("a/c", Some(0), Some("z".to_owned())), Ok(2));
}

async fn start() -> (SocketAddr, Client) {
    let (listener, address) = crate::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    tokio::spawn(serve(listener));
    (address, Client::builder().build().unwrap())
}

async fn put(
    client: &Client,
    address: SocketAddr,
    expected: u64,
    body: &str,
) -> Option<StatusCode> {
    let request = client
        .put(format!("http://{address}/objects/a/b"))
        .header("if-object-version", expected.to_string())
        .body(Body::from(body.to_owned()));
    Some(request.send().await.ok()?.status())
}

async fn fault(client: &Client, address: SocketAddr, body: &str) {
    let request =
        client.post(format!("http://{address}/admin/fault")).body(Body::from(body.to_owned()));
    assert_eq!(request.send().await.unwrap().status(), StatusCode::OK);
}

#[tokio::test]
async fn an_update_whose_answer_is_lost_is_applied() {
    let (address, client) = start().await;
    fault(&client, address, r#"{"lose_answers": 1}"#).await;
    assert_eq!(put(&client, address, 0, "x").await, None);
    assert_eq!(put(&client, address, 0, "x").await, Some(StatusCode::CONFLICT));
    assert_eq!(put(&client, address, 1, "y").await, Some(StatusCode::OK));
}

#[tokio::test]
async fn calls_fail_during_an_outage_and_succeed_after_it() {
    let (address, client) = start().await;
    fault(&client, address, r#"{"down": true}"#).await;
    assert_eq!(put(&client, address, 0, "x").await, None);
    fault(&client, address, r#"{"down": false}"#).await;
    assert_eq!(put(&client, address, 0, "x").await, Some(StatusCode::OK));
}

#[tokio::test]
async fn a_waiting_watch_returns_the_next_change() {
    let (address, client) = start().await;
    let watch = tokio::spawn({
        let client = client.clone();
        let uri = format!("http://{address}/watch/a/?after=0&wait_ms=20000");
        async move { client.get(uri).send().await.unwrap().into_string().await.unwrap() }
    });
    assert_eq!(put(&client, address, 0, "x").await, Some(StatusCode::OK));
    assert_eq!(watch.await.unwrap(), r#"[{"path":"a/b","version":1,"body":"x"}]"#);
}
