//! The scenarios. Each returns whether the rule held.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Channel};
use crate::server::plain_body;
use crate::world::{CONTACT, KEY, Setup, TENANTS, World, config, has_trouble, head};

/// Time limit of consumers.
const LIMIT: Duration = Duration::from_secs(12);

/// Plays a case.
pub fn run(case: &str, record: &str) -> Setup<bool> {
    let (world, held) = match case {
        "unframed" => unframed(record)?,
        "tenants" => tenants(record)?,
        "keepalive" => keepalive(record)?,
        "part" => part(record)?,
        "herd" => herd(record)?,
        "spot" => spot(record)?,
        "drill" => drill(record)?,
        _ => return Err(format!("there is no case {case}")),
    };
    world.note(if held { "the rule held" } else { "the rule was broken" });
    world.end();
    Ok(held)
}

type Played = (Arc<World>, bool);

/// Asks a plain route once, on a channel of its own, and notes the answer.
fn ask_plain(
    world: &World,
    vm: usize,
    method: &str,
    path: &str,
    id: &str,
    key: Option<&str>,
) -> Answer {
    let body: &[u8] = if method == "POST" { b"a job" } else { b"" };
    let head = head(method, path, id, vm, key, 4_000, "");
    let answer = http::ask(world.front(vm), &head, body, LIMIT);
    world.note_answer(&format!("{method} {path} {id}"), vm, &answer);
    answer
}

/// Servers crash in the middle of an answer that has neither a length nor chunks.
fn unframed(record: &str) -> Setup<Played> {
    let mut world = World::new(record, 2)?;
    for _ in 0..8 {
        let options = ["kind=plain", "work=30", "frame=none", "pause=60"];
        world.add_server("registry-api", &options, Some(Duration::from_secs(3)));
    }
    let world = world.begin(&config(1, TENANTS))?;
    let mut number = 0;
    let mut wrong = 0;
    let mut ask = |world: &Arc<World>| {
        number += 1;
        let (method, path) = [("POST", "/lookup/a"), ("GET", "/count/b")][number / 2 % 2];
        let answer = ask_plain(world, number % 2, method, path, &format!("u{number}"), Some(KEY));
        let is_success = (200..300).contains(&answer.status) && answer.is_complete;
        if is_success && answer.body != plain_body(path).as_bytes() {
            wrong += 1;
            world
                .note(&format!("u{number} got a success that is not the whole body of its server"));
        }
        is_success
    };
    for _ in 0..8 {
        if !ask(&world) {
            return Err("a request without a disruption was not served".to_owned());
        }
    }
    for server in 0..3 {
        if has_trouble() {
            world.tell_server(server, "half");
        }
        for _ in 0..24 {
            ask(&world);
        }
        // The server is back, and listed.
        thread::sleep(Duration::from_secs(5));
    }
    world.note(&format!("{wrong} successes that are not whole"));
    Ok((world, wrong == 0))
}

/// The operator takes away the last key, with its tenant.
fn tenants(record: &str) -> Setup<Played> {
    const ONE: &str =
        "[{\"Name\":\"hule930\",\"ApiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"Priority\":1}]";
    let mut world = World::new(record, 2)?;
    for _ in 0..2 {
        world.add_server("registry-api", &["kind=plain", "work=30"], None);
    }
    let world = world.begin(&config(1, ONE))?;
    let ask = |name: &str, key: Option<&str>| {
        for vm in 0..world.vm_count() {
            ask_plain(&world, vm, "POST", "/lookup/a", &format!("{name}-unsafe-{vm}"), key);
            ask_plain(&world, vm, "GET", "/count/b", &format!("{name}-safe-{vm}"), key);
        }
    };
    ask("before-held", Some(KEY));
    ask("before-never-held", Some("zzzzneverheldzzzz"));
    ask("before-none", None);
    if world.seen_as("RUNS").iter().filter(|seen| seen.request.starts_with("before-held")).count()
        < 4
    {
        return Err("requests with a key were not served before the change".to_owned());
    }
    let tenants = if has_trouble() { "[]" } else { ONE };
    world.store.put("op/config", &config(2, tenants));
    world.note(&format!("the store confirms version 2, with the tenants {tenants}"));
    // `RevokeMs` of the deployment, and a second more.
    thread::sleep(Duration::from_millis(6_000));
    ask("after-held", Some(KEY));
    ask("after-never-held", Some("zzzzneverheldzzzz"));
    ask("after-none", None);
    let is_forbidden = |request: &str| {
        request.starts_with("after-never-held")
            || request.starts_with("after-none")
            || request.starts_with("after-held") && has_trouble()
            || request.starts_with("before-never-held")
            || request.starts_with("before-none")
    };
    let ran = world.seen_as("RUNS").iter().filter(|seen| is_forbidden(&seen.request)).count();
    world.note(&format!(
        "{ran} requests ran whose key no desired state held, or that was taken away"
    ));
    Ok((world, ran == 0))
}

/// A server spoils the header `Keep-Alive` of one answer: it holds the largest number of seconds.
fn keepalive(record: &str) -> Setup<Played> {
    /// Requests at once at each VM.
    const AT_ONCE: usize = 12;
    let mut world = World::new(record, 2)?;
    for work in ["work=150", "work=450", "work=450"] {
        world.add_server("registry-api", &["kind=plain", work], None);
    }
    world.add_server("foldlock-llm", &["kind=engine", "events=3"], None);
    let world = world.begin(&config(1, TENANTS))?;
    // Each consumer keeps its channel after a first answer.
    let wave = |name: &'static str| {
        let asking: Vec<_> = (0..world.vm_count() * AT_ONCE)
            .map(|index| {
                let world = world.clone();
                thread::spawn(move || {
                    let vm = index % world.vm_count();
                    let Ok(mut channel) = Channel::open(world.front(vm)) else { return };
                    let first = head(
                        "POST",
                        "/explain/a",
                        &format!("{name}-first-{index}"),
                        vm,
                        Some(KEY),
                        10_000,
                        &prompt(&["a1"], index),
                    );
                    let answer = channel.ask(&first, b"a prompt", LIMIT);
                    world.note_answer(
                        &format!("POST /explain/a {name}-first-{index}"),
                        vm,
                        &answer,
                    );
                    thread::sleep(Duration::from_millis(700).saturating_sub(answer.took));
                    let second = head(
                        "GET",
                        "/count/a",
                        &format!("{name}-{index}"),
                        vm,
                        Some(KEY),
                        4_000,
                        "",
                    );
                    let answer = channel.ask(&second, b"", LIMIT);
                    world.note_answer(
                        &format!("GET /count/a {name}-{index}, on the same channel"),
                        vm,
                        &answer,
                    );
                    if answer.status == 0 {
                        world.note_lost(&format!("{name}-{index}"));
                    }
                })
            })
            .collect();
        asking.into_iter().for_each(|asking| drop(asking.join()));
        thread::sleep(Duration::from_millis(500));
    };
    wave("before-1");
    wave("before-2");
    wave("before-3");
    if !world.seen_as("LOST").is_empty() {
        return Err("a request without a disruption was not answered".to_owned());
    }
    if has_trouble() {
        world.tell_server(0, "spoil");
    }
    wave("at");
    wave("after");
    let faulty: BTreeSet<String> = world.server_ids(0).into_iter().collect();
    let done = world.seen_as("DONE");
    let answers = done.iter().filter(|seen| faulty.contains(&seen.server)).count();
    let sound: BTreeSet<&str> = done
        .iter()
        .filter(|seen| !faulty.contains(&seen.server))
        .map(|seen| seen.request.as_str())
        .collect();
    let unanswered = world.seen_as("LOST");
    let lost = unanswered.iter().filter(|seen| sound.contains(seen.request.as_str())).count();
    for vm in 0..world.vm_count() {
        let errors = world.errors(vm);
        let panics = errors.matches("panicked at").count();
        let first: Vec<&str> = errors.lines().filter(|line| !line.is_empty()).take(2).collect();
        let (runs, ready) = (world.runs(vm), world.is_ready(vm));
        world.note(&format!(
            "VM {}: runs {runs}, ready {ready}, {panics} panics: {}",
            vm + 1,
            first.join(" | ")
        ));
    }
    world.note(&format!(
        "the faulty server answered {answers} requests; {} channels were closed without an answer, {lost} of them after a \
         sound server had run the request",
        unanswered.len()
    ));
    Ok((world, lost <= 3))
}

/// Headers of a prompt with shared parts, of 40 tokens each, and one of its own.
fn prompt(shared: &[&str], own: usize) -> String {
    let rest = 5_000 - 40 * shared.len();
    let shared: String = shared.iter().map(|part| format!("{part}:40,")).collect();
    format!(
        "Model: m\r\nToken-Usage: 5000,100\r\nPrompt-Prefix: {shared}{:x}:{rest}\r\n",
        0xc0ffee00_usize + own
    )
}

/// Asks for a stream, on a channel of its own, and notes the answer.
fn ask_stream(world: &World, vm: usize, id: &str, more: &str) -> Answer {
    let head = head("POST", "/explain/a", id, vm, Some(KEY), 10_000, more);
    let answer = http::ask(world.front(vm), &head, format!("prompt of {id}").as_bytes(), LIMIT);
    world.note_answer(&format!("POST /explain/a {id}"), vm, &answer);
    answer
}

/// Asks for a long stream that may not be resumed, on a channel of its own, and notes how it ends. Returns whether it was cut.
fn ask_long(world: &World, vm: usize, id: &str, more: &str) -> bool {
    let head = head("POST", "/report/a", id, vm, Some(KEY), 15_000, more);
    let answer = http::ask(
        world.front(vm),
        &head,
        format!("prompt of {id}").as_bytes(),
        Duration::from_secs(16),
    );
    let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
    let ends = if answer.is_complete { "complete" } else { "cut" };
    world.note(&format!(
        "{id} at VM {}: status {}, {events} of 120 events, {ends}",
        vm + 1,
        answer.status
    ));
    answer.status == 200 && !answer.is_complete
}

/// A shared part of prompts crashes engines, in an hour with few other requests.
fn part(record: &str) -> Setup<Played> {
    /// Requests with the part, and the time between two.
    const REQUESTS: usize = 14;
    const PAUSE: Duration = Duration::from_millis(3_500);
    /// Time between two sound requests, each for a stream of 12 s.
    const SOUND: Duration = Duration::from_millis(7_000);
    let mut world = World::new(record, 3)?;
    for _ in 0..6 {
        let bad: &[&str] =
            if has_trouble() { &["kind=engine", "bad=bad0"] } else { &["kind=engine"] };
        world.add_server("foldlock-llm", bad, Some(Duration::from_secs(2)));
    }
    let world = world.begin(&config(1, TENANTS))?;
    for vm in 0..3 {
        if !ask_stream(&world, vm, &format!("sound-{vm}"), &prompt(&["a1"], vm)).is_complete {
            return Err("a sound request was not served".to_owned());
        }
    }
    let asking = world.clone();
    let sound = thread::spawn(move || {
        let streams: Vec<_> = (3..10)
            .map(|number| {
                let world = asking.clone();
                let stream = move || {
                    ask_long(
                        &world,
                        number % 3,
                        &format!("long-{number}"),
                        &prompt(&["a1"], number),
                    )
                };
                let stream = thread::spawn(stream);
                thread::sleep(SOUND);
                stream
            })
            .collect();
        streams.into_iter().filter_map(|stream| stream.join().ok()).filter(|is_cut| *is_cut).count()
    });
    for number in 0..REQUESTS {
        let began = Instant::now();
        ask_stream(
            &world,
            number % 3,
            &format!("bad-{number}"),
            &prompt(&["a1", "bad0"], 100 + number),
        );
        thread::sleep(PAUSE.saturating_sub(began.elapsed()));
    }
    let cut = sound.join().map_err(|_| "the consumers of sound streams ended")?;
    let crashes = world.seen_as("CRASHING");
    let Some(fifth) = crashes.get(4) else {
        world.note(&format!("{} crashes; {cut} of 7 sound streams were cut", crashes.len()));
        return Ok((world, true));
    };
    let after = fifth.at + CONTACT;
    let arrived = world.seen_as("ARRIVED");
    let late: BTreeSet<&str> = arrived
        .iter()
        .filter(|seen| seen.at > after && seen.request.starts_with("bad-"))
        .map(|seen| seen.request.as_str())
        .collect();
    world.note(&format!(
        "{} crashes, the fifth at {:.3} s; after ContactMs more, servers got {late:?}; {cut} of 7 sound streams were cut",
        crashes.len(),
        fifth.at.as_secs_f64()
    ));
    let held = late.len() <= 3;
    Ok((world, held))
}

/// A request crashes servers, and all VMs are killed at the same moment, twice.
fn herd(record: &str) -> Setup<Played> {
    /// Time between two tries of the request.
    const PAUSE: Duration = Duration::from_millis(1_500);
    /// Tries in one phase at most.
    const TRIES: usize = 8;
    let mut world = World::new(record, 3)?;
    for _ in 0..6 {
        let options = ["kind=plain", "work=60", "deadly=deadly job"];
        world.add_server("registry-api", &options, Some(Duration::from_secs(2)));
    }
    let world = world.begin(&config(1, TENANTS))?;
    let mut number = 0;
    // The request comes again, at any VM, until it has crashed this many servers in all.
    let mut comes_again = |crashes: usize| {
        for _ in 0..TRIES {
            if world.seen_as("CRASHING").len() >= crashes {
                return;
            }
            number += 1;
            let id = format!("deadly-{number}");
            let head = head("POST", "/lookup/a", &id, number % 3, Some(KEY), 4_000, "");
            let answer = http::ask(world.front(number % 3), &head, b"deadly job", LIMIT);
            world.note_answer(&format!("POST /lookup/a {id}"), number % 3, &answer);
            thread::sleep(PAUSE);
        }
    };
    let kill_all = || -> Setup<()> {
        if has_trouble() {
            (0..3).for_each(|vm| world.kill_vm(vm));
            thread::sleep(Duration::from_millis(500));
            for vm in 0..3 {
                world.start_vm(vm)?;
            }
        }
        // All machines are in touch again: `ContactMs` after their start.
        thread::sleep(CONTACT + Duration::from_millis(300));
        world.wait_ready(Duration::from_secs(5))
    };
    comes_again(2);
    kill_all()?;
    comes_again(3);
    thread::sleep(CONTACT);
    comes_again(4);
    kill_all()?;
    comes_again(8);
    let crashes = world.seen_as("CRASHING");
    let Some(third) = crashes.get(2) else { return Ok((world, true)) };
    let after = third.at + CONTACT;
    let arrived = world.seen_as("ARRIVED");
    let late = arrived.iter().filter(|seen| seen.at > after && seen.request.starts_with("deadly-"));
    let late: Vec<&str> = late.map(|seen| seen.request.as_str()).collect();
    world.note(&format!(
        "{} crashes, the third at {:.3} s; after ContactMs more, servers got {late:?}",
        crashes.len(),
        third.at.as_secs_f64()
    ));
    let held = late.len() <= 3;
    Ok((world, held))
}

/// Engines are emptied and gone two seconds after the notice, while they send streams that end with their channels.
fn spot(record: &str) -> Setup<Played> {
    /// Events of a stream, 100 ms apart.
    const EVENTS: usize = 40;
    let mut world = World::new(record, 2)?;
    for _ in 0..8 {
        let options = ["kind=engine", "frame=none", "first=60", "events=40", "gap=100"];
        world.add_server("foldlock-llm", &options, None);
    }
    let world = world.begin(&config(1, TENANTS))?;
    let stream = |number: usize| {
        let world = world.clone();
        thread::spawn(move || {
            let answer =
                ask_stream(&world, number % 2, &format!("s{number}"), &prompt(&["a1"], number));
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let events = text.matches("id: ").count();
            let ends = if answer.is_complete { "as complete" } else { "cut" };
            world.note(&format!("s{number} ends {ends} after {events} of {EVENTS} events"));
            answer.status == 200 && answer.is_complete && events < EVENTS
        })
    };
    let first: Vec<_> = (0..4).map(&stream).collect();
    if first.into_iter().any(|stream| stream.join().unwrap_or(true)) {
        return Err("a stream without a disruption was not whole".to_owned());
    }
    let mut wrong = 0;
    let mut number = 4;
    for server in 0..2 {
        let streams: Vec<_> = (0..8).map(|index| stream(number + index)).collect();
        number += 8;
        thread::sleep(Duration::from_millis(700));
        if has_trouble() {
            world.take_away(server, Duration::from_secs(2));
        }
        wrong += streams
            .into_iter()
            .filter_map(|stream| stream.join().ok())
            .filter(|wrong| *wrong)
            .count();
    }
    world.note(&format!("{wrong} streams that end as complete before their last piece"));
    Ok((world, wrong == 0))
}

/// The store comes back from a copy that lacks a change, while a VM starts.
fn drill(record: &str) -> Setup<Played> {
    const LEFT: &str = "[{\"Name\":\"mifi981\",\"ApiKeys\":[\"k7wqhd02lxpa\"],\"Priority\":1}]";
    let mut world = World::new(record, 3)?;
    for _ in 0..3 {
        world.add_server("registry-api", &["kind=plain", "work=30"], None);
    }
    let world = world.begin(&config(1, TENANTS))?;
    let copy = world.store.copy();
    world.store.put("op/config", &config(2, LEFT));
    world.note("the store confirms version 2, which takes a key away");
    thread::sleep(Duration::from_millis(6_000));
    ask_plain(&world, 0, "POST", "/lookup/a", "before", Some(KEY));
    if has_trouble() {
        world.kill_vm(2);
        let store = world.store.clone();
        thread::spawn(move || {
            store.restore(copy, Duration::from_millis(500), Duration::from_millis(2_000))
        });
        thread::sleep(Duration::from_millis(700));
        world.note("the store is back from the copy");
        world.start_vm(2)?;
    }
    let asking: Vec<_> = (0..12)
        .map(|caller| {
            let world = world.clone();
            thread::spawn(move || {
                let until = Instant::now() + Duration::from_secs(3);
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let head = head(
                        "POST",
                        "/lookup/a",
                        &format!("taken-{caller}-{number}"),
                        2,
                        Some(KEY),
                        4_000,
                        "",
                    );
                    let answer = http::ask(world.front(2), &head, b"a job", LIMIT);
                    if answer.status != 0 {
                        world.note_answer(&format!("taken-{caller}-{number}"), 2, &answer);
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();
    asking.into_iter().for_each(|asking| drop(asking.join()));
    let ran = world
        .seen_as("RUNS")
        .iter()
        .filter(|seen| seen.request.starts_with("taken-") || seen.request == "before")
        .count();
    world.note(&format!("{ran} requests ran whose key had been taken away"));
    Ok((world, ran == 0))
}
