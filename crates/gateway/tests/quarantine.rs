//! Which requests and prompt parts are quarantined, by the crashes and answers of several instances.

mod support;

use gateway::{LostRequest, Quarantine, QuarantineChange, QuarantineCheck, WorkKind};
use proptest::prelude::*;
use support::quarantine_fleet::{
    BAD, COMMON, Fleet, OTHER_BAD, SETTLED_MS, START_MS, content, fingerprint,
    fleet_with_quarantined_part, incarnation, part, request,
};

#[test]
fn quarantine_sums_crashes_of_all_instances() {
    let fleet = fleet_with_quarantined_part();
    for instance in 0..3 {
        assert_eq!(fleet.quarantined(instance), [part(BAD)]);
    }
    let check = fleet.check(0, &[COMMON, BAD]);
    assert!(
        matches!(check, QuarantineCheck::Refused { cause, .. } if cause == part(BAD)),
        "{check:?}"
    );
    assert_eq!(fleet.check(0, &[COMMON, 0x100]), QuarantineCheck::Allowed);
}

#[test]
fn quarantine_of_two_parts_at_once() {
    let mut fleet = Fleet::new(2);
    for crash in 0..8_u64 {
        let bad = if crash % 2 == 0 { BAD } else { OTHER_BAD };
        fleet.crash(&[(0, &[bad, COMMON]), (1, &[COMMON, 0x200 + crash])]);
        fleet.pass(150);
        fleet.answer(1, &[COMMON]);
    }
    fleet.pass(SETTLED_MS);
    assert_eq!(fleet.quarantined(0), [part(BAD), part(OTHER_BAD)]);
    assert_eq!(fleet.quarantined(1), [part(BAD), part(OTHER_BAD)]);
}

#[test]
fn quarantine_of_part_that_was_sound_before() {
    let mut fleet = Fleet::new(2);
    fleet.answer(0, &[COMMON]);
    for _ in 0..6 {
        fleet.crash(&[(0, &[COMMON]), (1, &[COMMON])]);
        fleet.pass(500);
    }
    fleet.pass(SETTLED_MS);
    assert_eq!(fleet.quarantined(0), [part(COMMON)]);
}

/// All upstreams crash at once, under requests with the common part.
#[test]
fn quarantine_condemns_nothing_when_many_crash_at_once() {
    let mut fleet = Fleet::new(3);
    fleet.answer(2, &[COMMON]);
    fleet.pass(50);
    for crash in 0..9_u64 {
        let seen = [COMMON, 0x300 + crash];
        let sent_at_ms = fleet.now_ms - 30;
        fleet.crash_under_requests_sent_at(sent_at_ms, &[(0, &seen), (1, &[COMMON])]);
    }
    fleet.pass(SETTLED_MS);
    fleet.pass(SETTLED_MS);
    assert_eq!(fleet.quarantined(0), []);
}

/// A hundred unlucky crashes in a calm fleet, under common parts and parts of sessions.
#[test]
fn quarantine_condemns_nothing_in_calm_fleet() {
    let mut fleet = Fleet::new(3);
    for crash in 0..100_u64 {
        let session = 0x400 + crash % 20;
        fleet.crash(&[
            (0, &[COMMON, session]),
            (1, &[COMMON, 0x500 + crash % 7]),
            (2, &[COMMON + 1]),
        ]);
        fleet.pass(100);
        fleet.answer(0, &[COMMON, 0x400 + (crash + 5) % 20]);
        fleet.answer(1, &[COMMON + 1, 0x500 + (crash + 3) % 7]);
        let changes = fleet.pass(400);
        assert_eq!(changes, []);
    }
}

/// A part that is at every crash beside the bad one is not condemned with it once a
/// request with it is answered.
#[test]
fn quarantine_tells_companion_from_cause() {
    let mut fleet = Fleet::new(1);
    for _ in 0..3 {
        fleet.crash(&[(0, &[BAD, 0x600])]);
        fleet.pass(400);
    }
    assert_eq!(fleet.quarantined(0), []);
    fleet.answer(0, &[0x600]);
    fleet.pass(200);
    assert_eq!(fleet.quarantined(0), [part(BAD)]);
}

/// Without any difference between two parts, both are condemned after the fifth crash.
#[test]
fn quarantine_condemns_companions_that_nothing_tells_apart() {
    let mut fleet = Fleet::new(1);
    for _ in 0..5 {
        fleet.crash(&[(0, &[BAD, 0x600])]);
        fleet.pass(400);
    }
    assert_eq!(fleet.quarantined(0), [part(0x600), part(BAD)]);
}

#[test]
fn quarantine_is_learned_by_restarted_instance() {
    let mut fleet = fleet_with_quarantined_part();
    fleet.instances[1] = Quarantine::default();
    let changes = fleet.pass(60_000);
    assert_eq!(changes, [QuarantineChange::Learned(part(BAD))]);
    assert_eq!(fleet.quarantined(1), [part(BAD)]);
}

#[test]
fn quarantine_ends_with_an_answer() {
    let mut fleet = fleet_with_quarantined_part();
    fleet.pass(60_000);
    fleet.answer(1, &[BAD]);
    fleet.pass(10);
    fleet.pass(10);
    for instance in 0..3 {
        assert_eq!(fleet.quarantined(instance), [], "instance {instance}");
        assert_eq!(fleet.check(instance, &[BAD]), QuarantineCheck::Allowed);
    }
}

/// An instance that was cut off while the part was released learns of it afterwards.
#[test]
fn quarantine_that_ended_is_not_brought_back_by_an_old_notice() {
    let mut fleet = fleet_with_quarantined_part();
    let cut_off = fleet.instances.pop().unwrap();
    fleet.pass(30_000);
    fleet.answer(0, &[BAD]);
    fleet.pass(10);
    fleet.pass(60_000);
    fleet.instances.push(cut_off);
    fleet.pass(10);
    fleet.pass(10);
    for instance in 0..3 {
        assert_eq!(fleet.quarantined(instance), [], "instance {instance}");
    }
}

/// One request comes again and again, each time at another instance and beside requests that
/// are answered afterwards. Its only part is common to all.
#[test]
fn quarantine_of_request_that_comes_again() {
    let mut fleet = Fleet::new(3);
    fleet.answer(0, &[COMMON]);
    for crash in 0..3 {
        let neighbour = 100 + crash as u64;
        fleet.crash_under_requests(&[(crash, 1), ((crash + 1) % 3, neighbour)]);
        fleet.pass(200);
        fleet.answer_request(0, neighbour, &[COMMON]);
    }
    fleet.pass(SETTLED_MS);
    for instance in 0..3 {
        assert_eq!(fleet.quarantined(instance), [request(1)]);
    }
    let check = fleet.check_request(2, 1, &[COMMON]);
    assert!(matches!(check, QuarantineCheck::Refused { cause, .. } if cause == request(1)));
    assert_eq!(fleet.check(0, &[COMMON]), QuarantineCheck::Allowed);
}

/// One request crashes upstreams. The part that it shares with a few sound ones, none of
/// which is answered meanwhile, is not at fault.
#[test]
fn quarantine_of_request_spares_its_parts() {
    let mut fleet = Fleet::new(2);
    for crash in 0..6 {
        fleet.crash_under_request(crash % 2, 1, &[BAD, COMMON], WorkKind::Online);
        fleet.pass(SETTLED_MS);
    }
    assert_eq!(fleet.quarantined(0), [request(1)]);
    assert_eq!(fleet.check(0, &[BAD, COMMON]), QuarantineCheck::Allowed);
}

/// One request crashes five upstreams before the verdict is known. Much later, a sound
/// request with the same part is at one crash by chance.
#[test]
fn quarantine_of_request_spares_its_parts_at_one_more_crash() {
    let mut fleet = Fleet::new(2);
    for crash in 0..5 {
        fleet.crash_under_request(crash % 2, 1, &[BAD], WorkKind::Online);
        fleet.pass(100);
    }
    fleet.pass(10_000);
    fleet.crash(&[(0, &[BAD])]);
    fleet.pass(SETTLED_MS);
    assert_eq!(fleet.quarantined(0), [request(1)]);
}

/// Each of several requests with the part crashes upstreams at its repeats as well.
#[test]
fn quarantine_of_part_whose_requests_come_again() {
    let mut fleet = Fleet::new(2);
    for number in 1..=3 {
        for crash in 0..3 {
            fleet.crash_under_request(crash % 2, number, &[BAD], WorkKind::Online);
            fleet.pass(100);
        }
        fleet.pass(SETTLED_MS);
    }
    assert!(fleet.quarantined(0).contains(&part(BAD)));
}

/// The same item of a job is at one crash after the other. It is still owed, so only its
/// parts are quarantined.
#[test]
fn quarantine_never_holds_an_item() {
    let mut fleet = Fleet::new(2);
    for crash in 0..6 {
        fleet.crash_under_request(crash % 2, 1, &[BAD], WorkKind::Batch);
        fleet.pass(500);
    }
    assert_eq!(fleet.quarantined(0), [part(BAD)]);
    let item = content(1, &[COMMON]);
    let check = fleet.instances[0].check(&item, WorkKind::Batch, &fleet.table, fleet.now_ms);
    assert_eq!(check, QuarantineCheck::Allowed);
}

/// Two requests are at the same three crashes. The one that is answered was there by chance.
#[test]
fn quarantine_tells_sound_request_from_the_one_beside_it() {
    let mut fleet = Fleet::new(2);
    for _ in 0..3 {
        fleet.crash_under_requests(&[(0, 1), (1, 2)]);
        fleet.pass(SETTLED_MS);
    }
    assert_eq!(fleet.quarantined(0), []);
    fleet.answer_request(1, 2, &[COMMON]);
    fleet.pass(SETTLED_MS);
    assert_eq!(fleet.quarantined(0), [request(1)]);
    let check = fleet.check_request(0, 2, &[COMMON]);
    assert_eq!(check, QuarantineCheck::Allowed);
}

/// A request that was at two crashes is sent by one instance at a time, until its attempt
/// ends.
#[test]
fn request_at_two_crashes_is_sent_once_at_a_time() {
    let mut fleet = Fleet::new(3);
    for instance in 0..2 {
        fleet.crash_under_requests(&[(instance, 1)]);
        fleet.pass(SETTLED_MS);
    }
    let check = fleet.check_request(0, 1, &[COMMON]);
    let QuarantineCheck::Trial { cause, .. } = check else {
        panic!("{check:?}");
    };
    fleet.instances[0].record_trial(cause, fleet.now_ms);
    fleet.pass(200);
    let check = fleet.check_request(2, 1, &[COMMON]);
    assert!(
        matches!(check, QuarantineCheck::Refused { .. }),
        "{check:?}"
    );
    fleet.instances[0].record_attempt_end(fingerprint(1), fleet.now_ms);
    fleet.pass(200);
    let check = fleet.check_request(2, 1, &[COMMON]);
    assert!(matches!(check, QuarantineCheck::Trial { .. }), "{check:?}");
}

/// The instance that made the attempt is lost before its end.
#[test]
fn request_at_two_crashes_is_sent_again_after_a_lost_attempt() {
    let mut fleet = Fleet::new(2);
    for instance in 0..2 {
        fleet.crash_under_requests(&[(instance, 1)]);
        fleet.pass(SETTLED_MS);
    }
    fleet.instances[0].record_trial(request(1), fleet.now_ms);
    fleet.pass(200);
    fleet.instances.remove(0);
    fleet.pass(10_000);
    let check = fleet.check_request(0, 1, &[COMMON]);
    assert!(matches!(check, QuarantineCheck::Trial { .. }), "{check:?}");
}

/// No more than three sends follow the third crash, however long the request comes again.
#[test]
fn request_that_crashed_three_upstreams_is_sent_three_times_more_at_most() {
    let mut fleet = Fleet::new(3);
    let mut sends = 0;
    for round in 0..10_000 {
        let instance = round % 3;
        match fleet.check_request(instance, 1, &[COMMON]) {
            QuarantineCheck::Refused { .. } => {}
            QuarantineCheck::Allowed => {
                sends += 1;
                fleet.crash_under_requests(&[(instance, 1)]);
            }
            QuarantineCheck::Trial { cause, .. } => {
                sends += 1;
                let now_ms = fleet.now_ms;
                fleet.instances[instance].record_trial(cause, now_ms);
                fleet.crash_under_requests(&[(instance, 1)]);
            }
        }
        fleet.pass(400);
    }
    assert!((3..=6).contains(&sends), "{sends} sends");
}

/// Trials come at growing intervals, and one trial serves the whole fleet.
#[test]
fn trial_of_quarantined_part() {
    let mut fleet = fleet_with_quarantined_part();
    let mut trials = Vec::new();
    for _ in 0..400 {
        fleet.pass(500);
        if let QuarantineCheck::Trial { cause, .. } = fleet.check(0, &[BAD]) {
            let now_ms = fleet.now_ms;
            fleet.instances[0].record_trial(cause, now_ms);
            fleet.crash(&[(0, &[BAD])]);
            trials.push(fleet.now_ms);
        }
    }
    let gaps_ms: Vec<_> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(gaps_ms, [40_000, 80_000]);
    assert_eq!(fleet.quarantined(1), [part(BAD)]);
}

/// While a trial is young, no other request may be lost with it; an item's neither.
#[test]
fn trial_of_item_needs_an_idle_upstream_at_first() {
    let mut fleet = fleet_with_quarantined_part();
    fleet.pass(20_000);
    let item = content(7, &[BAD]);
    let check = |fleet: &Fleet| {
        fleet.instances[0].check(&item, WorkKind::Batch, &fleet.table, fleet.now_ms)
    };
    assert!(check(&fleet).permits(0) && !check(&fleet).permits(1));
    fleet.pass(31_000);
    assert!(check(&fleet).permits(1));
}

/// A trial whose connection is lost proves nothing, so it is made again soon.
#[test]
fn trial_without_result_is_repeated() {
    let mut fleet = fleet_with_quarantined_part();
    fleet.pass(20_000);
    let QuarantineCheck::Trial { cause, .. } = fleet.check(2, &[BAD]) else {
        panic!("no trial is due");
    };
    let now_ms = fleet.now_ms;
    fleet.instances[2].record_trial(cause, now_ms);
    fleet.pass(1_000);
    assert!(matches!(
        fleet.check(0, &[BAD]),
        QuarantineCheck::Refused { .. }
    ));
    fleet.pass(4_000);
    assert!(matches!(
        fleet.check(0, &[BAD]),
        QuarantineCheck::Trial { .. }
    ));
}

/// Upstreams crash together, twice, while no request with a part is answered.
#[test]
fn quarantine_counts_upstreams_that_crash_together_once() {
    let mut fleet = Fleet::new(2);
    for _ in 0..2 {
        let sent_at_ms = fleet.now_ms - 30;
        for crash in 0..5 {
            fleet.crash_under_requests_sent_at(sent_at_ms, &[(crash % 2, &[0x700])]);
            fleet.pass(10);
        }
        fleet.pass(5_000);
    }
    assert_eq!(fleet.quarantined(0), []);
}

/// More parts crash upstreams than an instance remembers, the oldest ones learned last.
#[test]
fn quarantine_is_bounded() {
    let mut fleet = Fleet::new(1);
    for bad in 0..80 {
        for _ in 0..3 {
            fleet.crash(&[(0, &[0x800 + bad])]);
            fleet.pass(100);
        }
        fleet.pass(600);
    }
    assert_eq!(fleet.quarantined(0).len(), 64);
    fleet.now_ms -= 60_000;
    for _ in 0..3 {
        fleet.crash(&[(0, &[0xfff])]);
        fleet.now_ms += 100;
    }
    fleet.now_ms += 60_000;
    fleet.pass(1_000);
    assert_eq!(fleet.quarantined(0).len(), 64);
}

#[test]
fn notice_of_calm_fleet_is_empty() {
    let mut fleet = Fleet::new(1);
    fleet.answer(0, &[COMMON]);
    assert_eq!(fleet.notices(), []);
}

#[derive(Debug, Clone)]
enum Piece {
    Crash {
        incarnation: u64,
        request: u64,
        parts: Vec<u64>,
        sent_before_ms: u64,
    },
    Answer {
        request: u64,
        part: u64,
        at_ms: u64,
    },
}

fn piece() -> impl Strategy<Value = Piece> {
    prop_oneof![
        (
            0..12_u64,
            0..9_u64,
            prop::collection::vec(0..8_u64, 1..4),
            0..400_u64
        )
            .prop_map(
                |(incarnation, request, parts, sent_before_ms)| Piece::Crash {
                    incarnation,
                    request,
                    parts,
                    sent_before_ms,
                }
            ),
        (0..9_u64, 0..8_u64, 0..3_000_u64).prop_map(|(request, part, at_ms)| Piece::Answer {
            request,
            part,
            at_ms
        }),
    ]
}

fn apply(quarantine: &mut Quarantine, piece: &Piece) {
    match piece {
        Piece::Crash {
            incarnation: number,
            request,
            parts: ids,
            sent_before_ms,
        } => {
            let lost = LostRequest {
                content: content(*request, ids),
                kind: WorkKind::Online,
                sent_at_ms: START_MS + 250 * number - sent_before_ms,
                lost_at_ms: START_MS + 250 * number,
            };
            quarantine.record_crash(&incarnation(*number), &lost, START_MS);
        }
        Piece::Answer {
            request,
            part: id,
            at_ms,
        } => {
            let content = content(*request, &[*id]);
            quarantine.record_survival(&content, WorkKind::Online, START_MS + at_ms);
        }
    }
}

proptest! {
    /// The same evidence leads to the same verdict in any order, and when it comes twice.
    #[test]
    fn update_does_not_depend_on_order(
        pieces in prop::collection::vec(piece(), 0..40),
        seed in any::<u64>(),
    ) {
        let mut shuffled = pieces.clone();
        shuffled.extend(pieces.iter().step_by(2).cloned());
        let length = shuffled.len();
        for index in 0..length {
            let other = (seed.wrapping_mul(index as u64 + 1) >> 7) % length as u64;
            shuffled.swap(index, usize::try_from(other).unwrap());
        }
        let mut verdicts = Vec::new();
        for order in [&pieces, &shuffled] {
            let mut quarantine = Quarantine::default();
            for piece in order {
                apply(&mut quarantine, piece);
            }
            quarantine.update(START_MS + 20_000);
            verdicts.push(quarantine.quarantined().to_vec());
        }
        prop_assert_eq!(&verdicts[0], &verdicts[1]);
    }

    /// A notice stays within a datagram, and memory is bounded, however many parts there are.
    #[test]
    fn notice_is_bounded(crashes in prop::collection::vec(
        prop::collection::vec(any::<u64>(), 0..200), 0..200,
    )) {
        let mut quarantine = Quarantine::default();
        for (number, ids) in crashes.iter().enumerate() {
            let target = incarnation(number as u64);
            let lost = LostRequest {
                content: content(number as u64, ids),
                kind: WorkKind::Online,
                sent_at_ms: START_MS,
                lost_at_ms: START_MS,
            };
            quarantine.record_crash(&target, &lost, START_MS);
        }
        if let Some(notice) = quarantine.notice(START_MS) {
            prop_assert!(notice.crashes.len() <= 16);
            let requests = notice.crashes.iter().flat_map(|crash| &crash.requests);
            let part_count: usize = requests.map(|request| request.shared_parts.len()).sum();
            prop_assert!(part_count <= 256, "{} parts", part_count);
        }
    }
}
