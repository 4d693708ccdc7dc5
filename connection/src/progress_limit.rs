//! Limits how much is received without progress: before the head of a response is complete, or between two parts of its
//! body.
//!
//! The HTTP client limits the size of one head. It reads any number of interim responses before it, and a chunk size
//! with any number of zeros, so that an upstream in trouble could send these without an end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Value of the remaining bytes while there is no limit.
const UNLIMITED: usize = usize::MAX;

/// Bytes that may be received. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget(Arc<AtomicUsize>);

impl Default for Budget {
    fn default() -> Self {
        Budget(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl Budget {
    /// Limits what is received from now on.
    pub fn limit(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        let Some(left) = left.checked_sub(bytes) else {
            let why = "received too many bytes that are no part of a response";
            return Err(io::Error::new(io::ErrorKind::InvalidData, why));
        };
        self.0.store(left, Ordering::Relaxed);
        Ok(())
    }
}

/// A stream whose reads take from a budget.
#[derive(Debug)]
pub struct Limited<S> {
    stream: S,
    budget: Budget,
}

impl<S> Limited<S> {
    /// Limits a stream.
    pub fn new(stream: S, budget: Budget) -> Limited<S> {
        Limited { stream, budget }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.budget.take(buffer.filled().len() - before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Limited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
