//! Which jobs hold the bodies of their items in memory.

use ledger::{ContentRoom, HeldContents};

const ROOM_BYTES: usize = 100;

fn held(bytes: usize, position: Option<usize>) -> HeldContents {
    HeldContents { bytes, position }
}

fn drops(held: &[HeldContents], bytes: usize) -> Vec<usize> {
    ContentRoom::new(ROOM_BYTES).drops_for(held, bytes)
}

/// Returns the next number of a sequence (linear congruential generator).
fn next(state: &mut u64) -> usize {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    usize::try_from(*state >> 33).unwrap()
}

#[test]
fn fits_up_to_the_limit() {
    let room = ContentRoom::new(ROOM_BYTES);
    assert!(room.fits(60, 40));
    assert!(!room.fits(60, 41));
    assert!(!room.fits(usize::MAX, usize::MAX));
}

#[test]
fn drops_for_bodies_that_fit_is_empty() {
    assert!(drops(&[held(30, Some(0)), held(30, None)], 40).is_empty());
}

#[test]
fn drops_for_bodies_begins_with_jobs_without_waiting_items() {
    let jobs = [held(40, Some(0)), held(30, None), held(30, Some(4))];
    assert_eq!(drops(&jobs, 30), [1]);
    assert_eq!(drops(&jobs, 50), [1, 2]);
    assert_eq!(drops(&jobs, 70), [1, 2, 0]);
}

/// A job whose bodies exceed the limit must run, too.
#[test]
fn drops_for_bodies_over_the_limit_are_all() {
    let jobs = [held(50, Some(0)), held(50, Some(1))];
    assert_eq!(drops(&jobs, ROOM_BYTES + 1), [1, 0]);
    assert!(drops(&[], ROOM_BYTES + 1).is_empty());
}

/// For any jobs: what stays fits, no job is dropped in vain, and none is dropped while one that
/// is needed less stays.
#[test]
fn drops_for_bodies_are_the_least_needed_and_no_more() {
    let mut state = 7;
    for _ in 0..5_000 {
        let jobs: Vec<_> = (0..next(&mut state) % 8)
            .map(|index| {
                let position = next(&mut state).is_multiple_of(3);
                held(1 + next(&mut state) % 40, (!position).then_some(index))
            })
            .collect();
        let bytes = next(&mut state) % (ROOM_BYTES + 20);
        let dropped = drops(&jobs, bytes);
        let stays = |index: &usize| !dropped.contains(index);
        let staying: Vec<_> = (0..jobs.len()).filter(stays).collect();
        let held_bytes: usize = staying.iter().map(|index| jobs[*index].bytes).sum();
        assert!(held_bytes + bytes <= ROOM_BYTES || staying.is_empty());
        if let Some(last) = dropped.last() {
            assert!(held_bytes + jobs[*last].bytes + bytes > ROOM_BYTES);
        }
        let rank = |index: &usize| jobs[*index].position.unwrap_or(usize::MAX);
        let least_dropped = dropped.iter().map(rank).min().unwrap_or(usize::MAX);
        assert!(staying.iter().all(|index| rank(index) <= least_dropped));
    }
}
