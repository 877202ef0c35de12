//! The lease on accepting keys: cases, and a model of an operator, a store and instances that
//! are frozen, cut off, restarted and told late. No key is accepted when it has been gone for
//! the revocation time, and no instance in touch refuses a key.

use gateway::{ConfigAnswer, ConfigConfirmation, ConfirmationSource, KeyLease, PeerNews};
use proptest::prelude::*;

/// Time within which no instance may accept a key that was taken away, milliseconds.
const REVOCATION_MS: u64 = 5_000;
/// Lead of the store's clock over the local ones, milliseconds.
const STORE_LEAD_MS: u64 = 1_000_000;
/// Time for which an idle feed call waits, milliseconds.
const FEED_WAIT_MS: u64 = 2_500;
/// How much longer a feed call may take than it waits, milliseconds.
const FEED_SLACK_MS: u64 = 1_000;

fn lease() -> KeyLease {
    let mut lease = KeyLease::new(Some(REVOCATION_MS));
    lease.record_version(1);
    lease
}

/// Returns an answer to a call from `began_ms` to `arrived_ms` that the store sent at `sent_ms`.
fn answer(began_ms: u64, sent_ms: u64, arrived_ms: u64) -> ConfigAnswer {
    ConfigAnswer {
        began_ms,
        arrived_ms,
        store_ms: Some(sent_ms + STORE_LEAD_MS),
    }
}

fn confirmation(config_version: u64, at_ms: u64) -> ConfigConfirmation {
    ConfigConfirmation {
        config_version,
        store_ms: at_ms + STORE_LEAD_MS,
    }
}

#[test]
fn lease_without_confirmation_is_invalid() {
    assert!(!lease().is_valid(0));
}

#[test]
fn lease_without_revocation_time_never_expires() {
    let lease = KeyLease::new(None);
    assert!(lease.is_valid(u64::MAX));
    assert_eq!(lease.renewal_wait_ms(FEED_WAIT_MS, 0), FEED_WAIT_MS);
    assert_eq!(lease.notice(), None);
}

#[test]
fn answer_renews_lease_from_the_moment_when_it_was_sent() {
    let mut lease = lease();
    lease.record_answer(&answer(100, 100, 110));
    lease.record_answer(&answer(110, 2_600, 2_610));
    assert_eq!(
        lease.last_confirmation(2_610),
        Some((10 + 2, ConfirmationSource::Store)),
        "the clocks may have drifted apart by two milliseconds"
    );
}

#[test]
fn answer_without_store_clock_renews_lease_from_the_beginning_of_the_call() {
    let mut lease = lease();
    lease.record_answer(&ConfigAnswer {
        began_ms: 100,
        arrived_ms: 2_600,
        store_ms: None,
    });
    assert!(lease.is_valid(100 + 4_499));
    assert!(!lease.is_valid(100 + REVOCATION_MS));
}

#[test]
fn lease_expires_before_revocation_time_after_a_freeze() {
    let mut lease = lease();
    lease.record_answer(&answer(0, 2, 4));
    assert!(lease.is_valid(4_000));
    assert!(!lease.is_valid(REVOCATION_MS));
    // The answer to a call from before the freeze was sent before it, too.
    lease.record_answer(&answer(4, 2_500, 20_000));
    assert!(!lease.is_valid(20_000));
    lease.record_answer(&answer(20_000, 20_004, 20_008));
    assert!(lease.is_valid(20_008));
}

#[test]
fn peer_renews_lease_by_the_time_of_its_confirmation() {
    let mut lease = lease();
    lease.record_answer(&answer(0, 2, 4));
    assert_eq!(
        lease.record_peer(&confirmation(1, 4_000), 9_000),
        PeerNews::Nothing
    );
    assert!(!lease.is_valid(9_000), "the notice was under way for 5 s");
    lease.record_peer(&confirmation(1, 8_500), 9_000);
    assert!(lease.is_valid(9_000));
    let (_, source) = lease.last_confirmation(9_000).unwrap();
    assert_eq!(source, ConfirmationSource::Peer);
}

#[test]
fn peer_with_another_version_does_not_renew_lease() {
    let mut lease = lease();
    lease.record_version(2);
    lease.record_answer(&answer(0, 2, 4));
    for (version, news) in [(1, PeerNews::Nothing), (3, PeerNews::NewerVersion)] {
        assert_eq!(
            lease.record_peer(&confirmation(version, 5_000), 5_000),
            news
        );
        assert!(!lease.is_valid(5_000));
    }
}

#[test]
fn peer_does_not_renew_lease_of_an_instance_that_never_reached_the_store() {
    let mut lease = lease();
    lease.record_peer(&confirmation(1, 5_000), 5_000);
    assert!(!lease.is_valid(5_000));
}

#[test]
fn unreadable_newer_configuration_ends_renewals() {
    let mut lease = lease();
    lease.record_answer(&answer(0, 2, 4));
    lease.record_superseded();
    lease.record_answer(&answer(4_000, 4_002, 4_004));
    assert!(!lease.is_valid(REVOCATION_MS));
    lease.record_version(2);
    lease.record_answer(&answer(5_000, 5_002, 5_004));
    assert!(lease.is_valid(5_004));
}

#[test]
fn shorter_revocation_time_shortens_lease() {
    let mut lease = lease();
    lease.record_answer(&answer(0, 2, 4));
    lease.set_revocation_ms(Some(1_000));
    assert!(!lease.is_valid(1_000));
}

#[test]
fn clock_bound_grows_with_the_age_of_its_measurement() {
    let mut lease = lease();
    lease.record_answer(&answer(0, 0, 4));
    // Clocks that drift apart by one in a thousand.
    lease.record_peer(&confirmation(1, 100_000 + 100), 100_000);
    assert!(lease.is_confirmed_since(100_000));
    assert!(!lease.is_confirmed_since(100_001));
}

#[test]
fn renewal_waits_until_half_of_the_lease_is_left() {
    let mut lease = lease();
    assert_eq!(lease.renewal_wait_ms(FEED_WAIT_MS, 0), 0);
    lease.record_answer(&answer(0, 0, 0));
    assert_eq!(lease.renewal_wait_ms(30_000, 0), 2_250);
    assert_eq!(lease.renewal_wait_ms(30_000, 3_000), 0);
    assert_eq!(lease.renewal_wait_ms(100, 0), 100);
}

#[test]
fn peers_are_asked_only_when_a_renewal_is_late() {
    let mut lease = lease();
    assert_eq!(lease.ask_peers_at_ms(), Some(0));
    lease.record_answer(&answer(0, 0, 0));
    let ask_at_ms = lease.ask_peers_at_ms().unwrap();
    assert!(ask_at_ms > lease.renewal_wait_ms(FEED_WAIT_MS, 0));
    assert!(lease.is_valid(ask_at_ms + 1_000), "time for their answers");
    assert_eq!(KeyLease::new(None).ask_peers_at_ms(), None);
}

#[test]
fn peer_that_asks_is_told_of_later_confirmations_only() {
    let mut lease = lease();
    lease.record_answer(&answer(0, 0, 0));
    lease.record_answer(&answer(2_000, 2_000, 2_000));
    assert!(lease.is_news_to(&confirmation(1, 0)));
    assert!(!lease.is_news_to(&confirmation(1, 2_000)));
    assert!(!lease.is_news_to(&confirmation(1, 3_000)));
}

/// An instance in touch renews its lease in time even if one answer in a row is lost, whether
/// or not answers state the store's clock.
#[test]
fn lost_answer_does_not_end_lease_in_touch() {
    for states_clock in [true, false] {
        let mut lease = lease();
        let mut now_ms = 0;
        for call in 0..200 {
            let wait_ms = lease.renewal_wait_ms(FEED_WAIT_MS, now_ms);
            if call % 3 == 1 {
                now_ms += wait_ms + FEED_SLACK_MS;
            } else {
                let sent_ms = now_ms + wait_ms + 4;
                let store_ms = states_clock.then_some(sent_ms + STORE_LEAD_MS);
                lease.record_answer(&ConfigAnswer {
                    began_ms: now_ms,
                    arrived_ms: sent_ms + 4,
                    store_ms,
                });
                now_ms = sent_ms + 4;
            }
            assert!(lease.is_valid(now_ms), "clock stated: {states_clock}");
        }
    }
}

/// What happens in the model. Times are milliseconds.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes. Whether an instance runs or is frozen meanwhile makes no difference, since
    /// its clock goes on.
    Pass { ms: u64 },
    /// The operator takes the key away or gives it back.
    Change { has_key: bool },
    /// An instance begins to read the configuration.
    Call { instance: usize },
    /// The store answers the call of an instance; the answer may be lost.
    Answer { instance: usize, is_lost: bool },
    /// The answer arrives.
    Arrive { instance: usize },
    /// An instance reads the configuration without delay.
    Read { instance: usize },
    /// An instance tells the others of its last confirmation.
    Tell { from: usize },
    /// The oldest notice that is under way arrives, or is lost.
    Hear { to: usize, is_lost: bool },
    /// An instance starts again, and knows nothing.
    Restart { instance: usize },
}

const INSTANCES: usize = 3;

#[derive(Debug)]
struct Instance {
    lease: KeyLease,
    version: u64,
    call: Option<Call>,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    began_ms: u64,
    /// The version that the store returned, and when.
    answer: Option<(u64, u64)>,
}

#[derive(Debug)]
struct Model {
    now_ms: u64,
    /// When each version was written and whether it has the key, from version 0.
    versions: Vec<(u64, bool)>,
    instances: Vec<Instance>,
    notices: Vec<ConfigConfirmation>,
}

impl Instance {
    fn new() -> Self {
        Self {
            lease: KeyLease::new(Some(REVOCATION_MS)),
            version: 0,
            call: None,
        }
    }
}

impl Model {
    /// All instances have read the first version.
    fn new() -> Self {
        let mut model = Self {
            now_ms: 0,
            versions: vec![(0, true)],
            instances: (0..INSTANCES).map(|_| Instance::new()).collect(),
            notices: Vec::new(),
        };
        for instance in 0..INSTANCES {
            model.read(instance);
        }
        model
    }

    fn read(&mut self, instance: usize) {
        self.apply(&Step::Call { instance });
        let is_lost = false;
        self.apply(&Step::Answer { instance, is_lost });
        self.arrive(instance);
    }

    fn apply(&mut self, step: &Step) {
        let now_ms = self.now_ms;
        let newest = self.versions.len() as u64 - 1;
        match *step {
            Step::Pass { ms } => self.now_ms += ms,
            Step::Change { has_key } => self.versions.push((now_ms, has_key)),
            Step::Call { instance } => {
                self.instances[instance].call = Some(Call {
                    began_ms: now_ms,
                    answer: None,
                });
            }
            Step::Answer { instance, is_lost } => {
                let call = &mut self.instances[instance].call;
                match call {
                    Some(_) if is_lost => *call = None,
                    Some(call) => call.answer = call.answer.or(Some((newest, now_ms))),
                    None => {}
                }
            }
            Step::Arrive { instance } => self.arrive(instance),
            Step::Read { instance } => self.read(instance),
            Step::Tell { from } => self.notices.extend(self.instances[from].lease.notice()),
            Step::Hear { to, is_lost } => {
                if self.notices.is_empty() {
                    return;
                }
                let notice = self.notices.remove(0);
                if !is_lost {
                    self.instances[to].lease.record_peer(&notice, now_ms);
                }
            }
            Step::Restart { instance } => self.instances[instance] = Instance::new(),
        }
    }

    fn arrive(&mut self, instance: usize) {
        let instance = &mut self.instances[instance];
        let Some(Call {
            began_ms,
            answer: Some((version, sent_ms)),
        }) = instance.call
        else {
            return;
        };
        instance.call = None;
        instance.version = instance.version.max(version);
        instance.lease.record_version(instance.version);
        instance
            .lease
            .record_answer(&answer(began_ms, sent_ms, self.now_ms));
    }

    /// Returns since when the key has been gone without a break, if it is gone.
    fn gone_since_ms(&self) -> Option<u64> {
        let last_with_key = self.versions.iter().rposition(|(_, has_key)| *has_key);
        let first_without = last_with_key.map_or(0, |index| index + 1);
        self.versions.get(first_without).map(|(at_ms, _)| *at_ms)
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let Some(gone_since_ms) = self.gone_since_ms() else {
            return Ok(());
        };
        for instance in &self.instances {
            let (_, has_key) = self.versions[usize::try_from(instance.version).unwrap()];
            let accepts = has_key && instance.lease.is_valid(self.now_ms);
            prop_assert!(
                !accepts || self.now_ms < gone_since_ms + REVOCATION_MS,
                "{instance:?}"
            );
        }
        Ok(())
    }
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        4 => prop_oneof![0..20_u64, 0..1_500_u64, 0..20_000_u64].prop_map(|ms| Step::Pass { ms }),
        1 => any::<bool>().prop_map(|has_key| Step::Change { has_key }),
        3 => instance.clone().prop_map(|instance| Step::Call { instance }),
        3 => (instance.clone(), prop::bool::weighted(0.1))
            .prop_map(|(instance, is_lost)| Step::Answer { instance, is_lost }),
        3 => instance.clone().prop_map(|instance| Step::Arrive { instance }),
        2 => instance.clone().prop_map(|instance| Step::Read { instance }),
        2 => instance.clone().prop_map(|from| Step::Tell { from }),
        2 => (instance.clone(), prop::bool::weighted(0.2))
            .prop_map(|(to, is_lost)| Step::Hear { to, is_lost }),
        1 => instance.prop_map(|instance| Step::Restart { instance }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn key_gone_for_the_revocation_time_is_accepted_nowhere(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            model.check()?;
        }
    }

    /// An instance whose calls are answered within a second each holds its lease throughout.
    #[test]
    fn instance_in_touch_never_refuses(
        delays in prop::collection::vec((0..400_u64, 0..400_u64), 1..200)
    ) {
        let mut lease = lease();
        let mut now_ms = 0;
        lease.record_answer(&answer(0, 0, 0));
        for (to_store_ms, from_store_ms) in delays {
            let wait_ms = lease.renewal_wait_ms(FEED_WAIT_MS, now_ms);
            let sent_ms = now_ms + to_store_ms + wait_ms;
            let arrived_ms = sent_ms + from_store_ms;
            prop_assert!(lease.is_valid(arrived_ms));
            lease.record_answer(&answer(now_ms, sent_ms, arrived_ms));
            now_ms = arrived_ms;
        }
    }
}
