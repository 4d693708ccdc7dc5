//! Response buffers for slow callers: 500 callers of a VM with 112 MB, and arbitrary sequences of operations.

use std::collections::BTreeMap;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use foldlock_base::id;
use foldlockd::fleet::unread::{Aborted, Buffers, Closed, Reader, Writer};
use proptest::prelude::*;

/// The memory of the smallest VMs, bytes.
const MEMORY: usize = 112_000_000;

/// The bound on the total size of the buffers.
const MAX_BYTES: usize = MEMORY / 4;

const CALLERS: usize = 500;

/// Size of one read, bytes.
const READ_BYTES: usize = 64 << 10;

fn request(number: usize) -> id::Request {
    format!("r{number}").parse().unwrap()
}

fn part(length: usize) -> Bytes {
    Bytes::from(vec![0; length])
}

/// Adds bytes unless the buffer is full.
fn push(writer: &Writer, length: usize) -> Option<Result<Vec<Aborted>, Closed>> {
    let mut pushed = std::pin::pin!(writer.push(part(length)));
    match pushed.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(pushed) => Some(pushed),
        Poll::Pending => None,
    }
}

fn read(reader: &mut Reader) -> Poll<Option<Result<usize, ()>>> {
    let read = reader.poll_next(&mut Context::from_waker(Waker::noop()));
    read.map(|part| part.map(|part| part.map(|bytes| bytes.len()).map_err(|_| ())))
}

#[test]
fn callers_that_read_nothing_do_not_exceed_the_memory_bound() {
    let buffers = Buffers::new(MEMORY);
    let responses: Vec<(Writer, Reader)> =
        (0..CALLERS).map(|number| buffers.open(&request(number))).collect();
    let mut aborted = Vec::new();
    for _ in 0..100 {
        for (writer, _) in &responses {
            if let Some(Ok(more)) = push(writer, READ_BYTES) {
                aborted.extend(more);
            }
            assert!(buffers.bytes() <= MAX_BYTES);
        }
    }
    assert!(!aborted.is_empty() && aborted.len() < CALLERS);
}

/// A caller that reads is not affected by those that do not.
#[test]
fn the_largest_responses_are_aborted() {
    let buffers = Buffers::new(MEMORY);
    let (reading, mut reader) = buffers.open(&request(0));
    let idle: Vec<(Writer, Reader)> =
        (1..CALLERS).map(|number| buffers.open(&request(number))).collect();
    let mut aborted = Vec::new();
    for _ in 0..100 {
        for (writer, _) in &idle {
            aborted.extend(push(writer, READ_BYTES).and_then(Result::ok).unwrap_or_default());
        }
        assert!(matches!(push(&reading, READ_BYTES), Some(Ok(_))));
        assert_eq!(read(&mut reader), Poll::Ready(Some(Ok(READ_BYTES))));
    }
    assert!(!aborted.is_empty());
    assert!(aborted.iter().all(|response| response.request != request(0)));
    assert!(aborted.iter().all(|response| response.bytes >= READ_BYTES));
    reading.end();
    assert_eq!(read(&mut reader), Poll::Ready(None));
}

#[test]
fn an_aborted_response_is_truncated_and_closes_its_writer() {
    let buffers = Buffers::new(0);
    let (writer, mut reader) = buffers.open(&request(1));
    let aborted = push(&writer, 10).unwrap().unwrap();
    assert_eq!(aborted, [Aborted { request: request(1), bytes: 10 }]);
    assert_eq!(push(&writer, 10), Some(Err(Closed::Aborted)));
    assert_eq!(read(&mut reader), Poll::Ready(Some(Err(()))));
}

#[test]
fn a_response_without_its_end_is_truncated_after_the_buffered_bytes() {
    let buffers = Buffers::new(MEMORY);
    let (writer, mut reader) = buffers.open(&request(1));
    push(&writer, 10).unwrap().unwrap();
    drop(writer);
    assert_eq!(read(&mut reader), Poll::Ready(Some(Ok(10))));
    assert_eq!(read(&mut reader), Poll::Ready(Some(Err(()))));
}

#[test]
fn a_writer_waits_while_its_buffer_is_full() {
    let buffers = Buffers::new(MEMORY);
    let (writer, mut reader) = buffers.open(&request(1));
    while push(&writer, READ_BYTES).is_some() {}
    assert!(buffers.bytes() < MAX_BYTES);
    assert_eq!(read(&mut reader), Poll::Ready(Some(Ok(READ_BYTES))));
    assert!(push(&writer, READ_BYTES).is_some());
}

#[test]
fn a_disconnected_caller_frees_its_buffer() {
    let buffers = Buffers::new(MEMORY);
    let (writer, reader) = buffers.open(&request(1));
    push(&writer, 10).unwrap().unwrap();
    drop(reader);
    assert_eq!(buffers.bytes(), 0);
    assert_eq!(push(&writer, 10), Some(Err(Closed::Disconnected)));
}

#[test]
fn a_complete_response_has_its_length_and_is_available_at_once() {
    let buffers = Buffers::new(MEMORY);
    let (mut reader, aborted) = buffers.complete(&request(1), part(10));
    assert_eq!((reader.length(), aborted), (Some(10), Vec::new()));
    assert_eq!(read(&mut reader), Poll::Ready(Some(Ok(10))));
    assert_eq!(read(&mut reader), Poll::Ready(None));
}

/// An operation on one of a few responses.
#[derive(Debug, Clone)]
enum Operation {
    Open(usize),
    Push(usize, usize),
    Read(usize),
    End(usize),
    Drop(usize),
    Disconnect(usize),
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let index = || 0..6_usize;
    let operation = prop_oneof![
        2 => index().prop_map(Operation::Open),
        8 => (index(), 1..40_000_usize).prop_map(|(index, length)| Operation::Push(index, length)),
        4 => index().prop_map(Operation::Read),
        1 => index().prop_map(Operation::End),
        1 => index().prop_map(Operation::Drop),
        1 => index().prop_map(Operation::Disconnect),
    ];
    prop::collection::vec(operation, 0..200)
}

/// The expected state of one response.
struct Model {
    writer: Option<Writer>,
    reader: Reader,
    parts: Vec<usize>,
    aborted: bool,
    complete: bool,
}

proptest! {
    /// Bytes are read in order and the end after all of them; the reported size is that of the buffered bytes.
    #[test]
    fn bytes_are_counted_and_in_order_after_any_operations(operations in operations()) {
        let buffers = Buffers::new(400_000);
        let mut models: BTreeMap<usize, Model> = BTreeMap::new();
        for operation in operations {
            match operation {
                Operation::Open(number) => {
                    let (writer, reader) = buffers.open(&request(number));
                    let writer = Some(writer);
                    let model =
                        Model { writer, reader, parts: Vec::new(), aborted: false, complete: false };
                    models.insert(number, model);
                }
                Operation::Push(number, length) => {
                    let Some(model) = models.get_mut(&number) else { continue };
                    let Some(writer) = &model.writer else { continue };
                    match push(writer, length) {
                        Some(Ok(aborted)) => {
                            model.parts.push(length);
                            for lost in aborted {
                                let lost = models
                                    .iter_mut()
                                    .find(|(number, _)| request(**number) == lost.request);
                                let (_, lost) = lost.unwrap();
                                lost.parts.clear();
                                lost.aborted = true;
                            }
                        }
                        Some(Err(closed)) => {
                            prop_assert!(model.aborted && closed == Closed::Aborted);
                        }
                        None => prop_assert!(!model.aborted && !model.parts.is_empty()),
                    }
                }
                Operation::Read(number) => {
                    let Some(model) = models.get_mut(&number) else { continue };
                    let expected = if !model.parts.is_empty() {
                        Poll::Ready(Some(Ok(model.parts.remove(0))))
                    } else if model.aborted {
                        Poll::Ready(Some(Err(())))
                    } else if model.complete {
                        Poll::Ready(None)
                    } else if model.writer.is_none() {
                        Poll::Ready(Some(Err(())))
                    } else {
                        Poll::Pending
                    };
                    prop_assert_eq!(read(&mut model.reader), expected);
                }
                Operation::End(number) => {
                    let Some(model) = models.get_mut(&number) else { continue };
                    if let Some(writer) = model.writer.take() {
                        writer.end();
                        model.complete = true;
                    }
                }
                Operation::Drop(number) => {
                    if let Some(model) = models.get_mut(&number) {
                        model.writer = None;
                    }
                }
                Operation::Disconnect(number) => {
                    models.remove(&number);
                }
            }
            let kept: usize = models.values().flat_map(|model| &model.parts).sum();
            prop_assert_eq!(buffers.bytes(), kept);
            prop_assert!(kept <= 100_000);
        }
    }
}
