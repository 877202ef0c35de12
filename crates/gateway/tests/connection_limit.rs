//! Which connections of callers give way when there are too many.

use gateway::{Activity, Admission, ConnectionId, ConnectionLimit};
use proptest::prelude::*;

const KIB: u64 = 1_024;
const MIB: u64 = 1_024 * KIB;
const MAX_COUNT: usize = 16;
/// Memory that never is the limit.
const AMPLE_BYTES: u64 = 1_024 * MIB;

/// Opens connections until they have to give way, one each millisecond, and returns them.
fn fill(limit: &mut ConnectionLimit, activity: Activity) -> Vec<ConnectionId> {
    let mut ids = Vec::new();
    for now_ms in 0.. {
        if !limit.evict(now_ms + 1_000).is_empty() {
            break;
        }
        let id = admit(limit, now_ms);
        limit.set_activity(id, activity, now_ms);
        ids.push(id);
        if ids.len() == limit.max_count() {
            break;
        }
    }
    ids
}

/// Opens a connection, for which there is room.
fn admit(limit: &mut ConnectionLimit, now_ms: u64) -> ConnectionId {
    let Admission::Admitted(id) = limit.admit(now_ms) else {
        panic!("there is no room");
    };
    id
}

fn ids_evicted(limit: &mut ConnectionLimit, now_ms: u64) -> Vec<ConnectionId> {
    let evicted = limit.evict(now_ms).into_iter();
    evicted.map(|eviction| eviction.id).collect()
}

/// Opens connections with these activities in this order, one each millisecond, so that one more
/// needs room.
fn open(activities: &[Activity]) -> (ConnectionLimit, Vec<ConnectionId>) {
    let mut limit = ConnectionLimit::new(activities.len(), AMPLE_BYTES);
    let mut ids = Vec::new();
    for (now_ms, activity) in (0..).zip(activities) {
        let id = admit(&mut limit, now_ms);
        limit.set_activity(id, *activity, now_ms);
        ids.push(id);
    }
    (limit, ids)
}

#[test]
fn evict_closes_nothing_below_the_limit() {
    let mut limit = ConnectionLimit::new(MAX_COUNT, AMPLE_BYTES);
    for now_ms in 0..MAX_COUNT as u64 / 2 {
        admit(&mut limit, now_ms);
    }
    assert_eq!(limit.evict(60_000), []);
}

#[test]
fn evict_closes_the_longest_idle_first() {
    use Activity::{DiscardingBody, Idle, ReadingBody, Serving};
    let (mut limit, ids) = open(&[Serving, ReadingBody, DiscardingBody, Idle, Idle]);
    for index in [3, 4, 2, 1] {
        assert_eq!(ids_evicted(&mut limit, 1_000), [ids[index]]);
        limit.end(ids[index]);
        // A request takes the place.
        let id = admit(&mut limit, 1_000);
        limit.set_activity(id, Serving, 1_000);
    }
    assert_eq!(ids_evicted(&mut limit, 60_000), []);
    assert_eq!(limit.admit(60_000), Admission::Refused);
}

#[test]
fn evict_keeps_a_body_that_goes_on() {
    let (mut limit, ids) = open(&[Activity::ReadingBody; 4]);
    limit.record_progress(ids[0], 5_000);
    assert_eq!(ids_evicted(&mut limit, 5_050), [ids[1]]);
}

#[test]
fn evict_keeps_connections_that_have_just_changed() {
    let (mut limit, ids) = open(&[Activity::Idle; 4]);
    assert_eq!(ids_evicted(&mut limit, 50), []);
    // The first one was opened at 0 ms.
    let later = Admission::Later { retry_at_ms: 100 };
    assert_eq!(limit.admit(50), later);
    assert_eq!(ids_evicted(&mut limit, 100), [ids[0]]);
    limit.end(ids[0]);
    admit(&mut limit, 101);
}

#[test]
fn evict_leaves_room_for_connections_that_come_before_the_closed_ones_are_gone() {
    let mut limit = ConnectionLimit::new(MAX_COUNT, AMPLE_BYTES);
    let ids = fill(&mut limit, Activity::ReadingBody);
    assert!(ids.len() < MAX_COUNT);
    // It has been told to give way, and takes its time.
    assert_eq!(ids_evicted(&mut limit, 1_000), []);
    admit(&mut limit, 1_000);
    assert_eq!(ids_evicted(&mut limit, 1_000), [ids[1]]);
}

/// The answer of a request whose body was evicted must be written. Its connection may be closed
/// after that.
#[test]
fn set_activity_lets_an_evicted_connection_be_closed_again() {
    let (mut limit, ids) = open(&[Activity::ReadingBody, Activity::Serving]);
    assert_eq!(ids_evicted(&mut limit, 1_000), [ids[0]]);
    limit.set_activity(ids[0], Activity::Serving, 1_000);
    assert_eq!(ids_evicted(&mut limit, 2_000), []);
    limit.set_activity(ids[0], Activity::DiscardingBody, 2_000);
    assert_eq!(ids_evicted(&mut limit, 3_000), [ids[0]]);
}

#[test]
fn bodies_that_come_count_by_what_the_system_receives() {
    let mut limit = ConnectionLimit::new(MAX_COUNT, MIB);
    let ids = fill(&mut limit, Activity::ReadingBody);
    assert!(ids.len() < MAX_COUNT, "{ids:?}");
    for id in &ids {
        limit.set_activity(*id, Activity::Serving, 1_000);
    }
    assert_eq!(limit.evict(60_000), []);
    assert!(limit.has_room_for_body());
}

#[test]
fn set_max_applies_to_open_connections() {
    let (mut limit, ids) = open(&[Activity::Idle; 8]);
    limit.set_max(4, AMPLE_BYTES);
    assert_eq!(ids_evicted(&mut limit, 1_000), ids[..5]);
    for id in &ids[..5] {
        limit.end(*id);
    }
    admit(&mut limit, 1_000);
}

/// What happens to a connection.
#[derive(Debug, Clone)]
enum Event {
    Open,
    Change {
        connection: prop::sample::Index,
        activity: Activity,
    },
    End {
        connection: prop::sample::Index,
    },
}

fn activity() -> impl Strategy<Value = Activity> {
    prop_oneof![
        Just(Activity::Idle),
        Just(Activity::DiscardingBody),
        Just(Activity::ReadingBody),
        Just(Activity::Serving),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        4 => Just(Event::Open),
        4 => (index(), activity())
            .prop_map(|(connection, activity)| Event::Change { connection, activity }),
        1 => index().prop_map(|connection| Event::End { connection }),
    ]
}

proptest! {
    #[test]
    fn connections_stay_within_the_limit(events in prop::collection::vec(event(), 1..300)) {
        let mut limit = ConnectionLimit::new(MAX_COUNT, AMPLE_BYTES);
        let mut open: Vec<(ConnectionId, Activity)> = Vec::new();
        for (now_ms, event) in (0..).map(|step| step * 20).zip(events) {
            match event {
                Event::Open => {
                    for eviction in limit.evict(now_ms) {
                        let closed = (eviction.id, eviction.activity);
                        prop_assert!(open.contains(&closed));
                        prop_assert!(eviction.activity != Activity::Serving);
                        limit.end(eviction.id);
                        open.retain(|connection| *connection != closed);
                    }
                    if let Admission::Admitted(id) = limit.admit(now_ms) {
                        open.push((id, Activity::Idle));
                    }
                }
                Event::Change { connection, activity } if !open.is_empty() => {
                    let index = connection.index(open.len());
                    open[index].1 = activity;
                    limit.set_activity(open[index].0, activity, now_ms);
                }
                Event::End { connection } if !open.is_empty() => {
                    let index = connection.index(open.len());
                    limit.end(open.remove(index).0);
                }
                Event::Change { .. } | Event::End { .. } => {}
            }
            prop_assert_eq!(limit.count(), open.len());
            prop_assert!(limit.count() <= MAX_COUNT);
        }
    }
}
