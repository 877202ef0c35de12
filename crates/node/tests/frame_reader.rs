//! Bodies whose data and error are ready at the same time.

#[path = "../src/frame_reader.rs"]
mod frame_reader;

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use frame_reader::FrameReader;
use http_body_util::Full;
use hyper::body::{Body, Frame};

/// A body whose frames are all ready, and which ends after them.
#[derive(Debug)]
struct ReadyBody {
    frames: VecDeque<Result<&'static str, &'static str>>,
}

impl Body for ReadyBody {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        let frame = self.frames.pop_front();
        let to_frame = |data: &'static str| Frame::data(Bytes::from_static(data.as_bytes()));
        Poll::Ready(frame.map(|frame| frame.map(to_frame)))
    }
}

fn reader<const N: usize>(
    frames: [Result<&'static str, &'static str>; N],
) -> FrameReader<ReadyBody> {
    FrameReader::new(ReadyBody {
        frames: frames.into(),
    })
}

/// Guards against streams that broke off and ended as complete at the caller: the error came
/// with the last data, and reading ahead dropped it.
#[tokio::test]
async fn next_returns_the_error_that_reading_ahead_met() {
    let mut reader = reader([Ok("a"), Ok("b"), Err("reset")]);
    assert_eq!(reader.next().await, Some(Ok("a".into())));
    assert_eq!(reader.next_ready(), Some("b".into()));
    assert_eq!(reader.next_ready(), None);
    assert_eq!(reader.next_ready(), None);
    assert_eq!(reader.next().await, Some(Err("reset")));
    assert_eq!(reader.next().await, None);
}

#[tokio::test]
async fn next_returns_the_end_that_reading_ahead_met() {
    let mut reader = reader([Ok("a"), Ok("b")]);
    assert_eq!(reader.next().await, Some(Ok("a".into())));
    assert_eq!(reader.next_ready(), Some("b".into()));
    assert_eq!(reader.next_ready(), None);
    assert_eq!(reader.next().await, None);
}

#[tokio::test]
async fn is_at_known_end_after_the_last_byte() {
    let mut reader = FrameReader::new(Full::new(Bytes::from_static(b"a")));
    assert!(!reader.is_at_known_end());
    let data: Option<Result<Bytes, Infallible>> = reader.next().await;
    assert_eq!(data, Some(Ok("a".into())));
    assert!(reader.is_at_known_end());
}

#[tokio::test]
async fn peek_leaves_the_data_to_the_next_read() {
    let mut reader = reader([Ok(""), Ok("a"), Err("reset")]);
    assert_eq!(reader.peek().await, Some(&Ok(Bytes::from_static(b"a"))));
    assert_eq!(reader.next().await, Some(Ok(Bytes::from_static(b"a"))));
    assert_eq!(reader.peek().await, Some(&Err("reset")));
    assert_eq!(reader.next_ready(), None);
    assert_eq!(reader.next().await, Some(Err("reset")));
    assert_eq!(reader.peek().await, None);
    assert_eq!(reader.next().await, None);
}

#[tokio::test]
async fn body_is_the_one_that_is_read() {
    let mut reader = FrameReader::new(Full::new(Bytes::from_static(b"data")));
    assert!(!reader.body().is_end_stream());
    reader.next().await.unwrap().unwrap();
    assert!(reader.body().is_end_stream());
}
