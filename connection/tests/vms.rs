//! The client of the platform's list of VMs, against a scripted response.

use foldlock_connection::http::Client;
use foldlock_connection::vms::{HttpList, List};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Serves one response with these bytes, and returns the address.
async fn serve(response: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        let _ = stream.write_all(response.as_bytes()).await;
    });
    address
}

/// Guards against a list that cannot be read as a whole because of one entry.
#[tokio::test]
async fn an_odd_entry_does_not_affect_the_others() {
    let odd = [
        r#"{"name":"vm-2","hall":"a hall & more"}"#,
        r#"{"name":7,"hall":"a"}"#,
        r#"{"name":"vm-2"}"#,
        r#"{"name":"vm-2","hall":"a","leaving":"soon"}"#,
        "null",
        "[]",
    ];
    for odd in odd {
        let sound = |n: u8| format!(r#"{{"name":"vm-{n}","address":"10.0.0.{n}:80","hall":"a"}}"#);
        let entries = format!("[{},{odd},{}]", sound(1), sound(3));
        let body = format!(r#"{{"vms":{entries},"upstreams":{entries}}}"#);
        let length = body.len();
        let address =
            serve(format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")).await;
        let list = HttpList::new(Client::default(), &address).read().await.expect(odd);
        for entries in [list.vms, list.upstreams] {
            let names: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
            assert_eq!(names, ["vm-1", "vm-3"], "{odd}");
        }
    }
}
