//! Responses whose heads do not state where their bodies end, at the client of whole responses.

use std::time::Duration;

use foldlock_connection::http::{Client, Failure, body};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(2);

async fn call(response: &'static str) -> Result<Vec<u8>, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        let _ = stream.write_all(response.as_bytes()).await;
    });
    let request = Request::get(format!("http://{address}/")).body(body("")).unwrap();
    Ok(Client::default().call(request, TIMEOUT).await?.into_body().to_vec())
}

/// Guards against a damaged response that counts as a complete one.
#[tokio::test]
async fn a_response_with_a_damaged_head_is_broken() {
    for response in [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunke\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encodin: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\ncontent-length: 4\r\n\r\ngood",
        "HTTP/1.1 200 OK\r\nno header\r\ncontent-length: 4\r\n\r\ngood",
        "HTTP/1.1 000 OK\r\ncontent-length: 4\r\n\r\ngood",
        "HTTP/1.1 700 OK\r\ncontent-length: 4\r\n\r\ngood",
    ] {
        let called = call(response).await;
        assert!(matches!(called, Err(Failure::Broken(_))), "{response:?}: {called:?}");
    }
}

/// Guards against sound responses that are taken for damaged ones.
#[tokio::test]
async fn an_unusual_response_is_complete() {
    for (response, body) in [
        ("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n12\r\nlines", "12\r\nlines"),
        ("HTTP/1.0 200 OK\r\n\r\n12\r\nlines", "12\r\nlines"),
        ("HTTP/1.1 200 OK\r\n\r\n{\"a\": 1}", "{\"a\": 1}"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n4\r\ngood\r\n0\r\n\r\n", "good"),
    ] {
        assert_eq!(call(response).await.unwrap(), body.as_bytes(), "{response:?}");
    }
}
