//! Sends a single request, for manual trials.

use std::net::SocketAddr;
use std::time::Duration;

use foldlock_connection::http::{Client, body};
use standin::client;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The VM's address for callers, IP:port.
    vm: SocketAddr,
    /// The bearer key.
    #[arg(long)]
    key: String,
    /// The request kind.
    #[arg(long)]
    kind: Option<String>,
    /// The model.
    #[arg(long, default_value = "base")]
    model: String,
    /// Prompt tokens.
    #[arg(long, default_value_t = 200)]
    tokens: usize,
    /// Answer tokens.
    #[arg(long, default_value_t = 8)]
    answer: u64,
    /// The idempotency key.
    #[arg(long)]
    once: Option<String>,
    /// Send a POST to this path of a plain service instead.
    #[arg(long)]
    plain: Option<String>,
    /// Print only the request's id to standard output, and the rest to standard error.
    #[arg(long)]
    id: bool,
}

pub(crate) async fn run(args: Args) {
    let client = Client::default();
    if let Some(path) = &args.plain {
        return plain(&client, &args, path).await;
    }
    let prompt: String = (0..args.tokens).map(|i| format!("{:03} ", i % 1000)).collect();
    let request = client::Request {
        key: args.key,
        kind: args.kind,
        model: args.model,
        prompt,
        max_tokens: args.answer,
        stream: true,
        timeout: None,
        idempotency_key: args.once,
    };
    let answer = client::send(&client, args.vm, &request).await;
    let first = answer.first_token.map_or(0.0, |d| d.as_secs_f64() * 1e3);
    let total = answer.total.as_secs_f64() * 1e3;
    let result = match &answer.kind {
        Some(kind) => {
            format!("{} {kind}, ran: {}", answer.status, answer.ran.as_deref().unwrap_or("?"))
        }
        None => format!(
            "{} {} tokens: {}\n  first token after {first:.1} ms, the end after {total:.1} ms",
            answer.status, answer.tokens, answer.text
        ),
    };
    print_result(args.id, &result, &answer.request);
}

async fn plain(client: &Client, args: &Args, path: &str) {
    let mut request = hyper::Request::post(format!("http://{}{path}", args.vm))
        .header("authorization", format!("Bearer {}", args.key));
    if let Some(once) = &args.once {
        request = request.header("idempotency-key", once);
    }
    let request = request.body(body("{}")).expect("plain headers");
    match client.call(request, Duration::from_secs(10)).await {
        Ok(answer) => {
            let id = answer.headers().get("x-request-id").and_then(|v| v.to_str().ok());
            let id = id.unwrap_or_default().to_owned();
            let text = String::from_utf8_lossy(answer.body());
            print_result(args.id, &format!("{} {}", answer.status().as_u16(), text.trim()), &id);
        }
        Err(e) => print_result(args.id, &e.to_string(), ""),
    }
}

fn print_result(id_only: bool, result: &str, id: &str) {
    if id_only {
        eprintln!("{result}");
        println!("{id}");
    } else {
        println!("{result}\n  request {id}");
    }
}
