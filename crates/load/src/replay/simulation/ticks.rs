//! Periodic tick of an instance: starts and preempts items and sends load
//! notices.

use std::rc::Rc;

use gateway::{LoadNotice, PaceReport, Target, notice_pause_ms};
use model::{InstanceId, Region};

use super::{
    super::{
        arrivals::RequestSize,
        scheduler::{Action, ItemState, instance_index},
    },
    Ablation, Event, LastNotice, NoticeDelay, SequenceWork, Simulation, TICK_US, US_PER_MS,
};

/// Maximum time between two notices of an instance, microseconds.
const NOTICE_INTERVAL_MAX_US: u64 = 500 * US_PER_MS;
/// Time between two checks for instances that have sent no notice recently,
/// microseconds.
const EXPIRY_CHECK_INTERVAL_US: u64 = 250 * US_PER_MS;

impl Simulation {
    pub(super) fn on_tick(&mut self, instance: usize) {
        let now_ms = self.now_ms();
        if self.now_us % EXPIRY_CHECK_INTERVAL_US < TICK_US {
            self.schedulers[instance].upstream_table.expire(now_ms);
        }
        for action in self.schedulers[instance].next_actions(now_ms) {
            match action {
                Action::Start { index, target } => self.start_item(instance, index, &target),
                Action::Preempt { index } => self.preempt_item(instance, index),
            }
        }
        self.send_notice(instance);
        self.push(self.now_us + TICK_US, Event::Tick { instance });
    }

    fn start_item(&mut self, instance: usize, index: usize, target: &Target) {
        let now_ms = self.now_ms();
        let item = &self.schedulers[instance].items[index];
        let size = RequestSize {
            prompt_tokens: item.prompt_tokens,
            output_tokens: item.output_tokens,
        };
        let tokens_done = item.tokens_done;
        let work = SequenceWork::Item { index };
        let sequence = self.start_sequence(instance, target.clone(), work, size, tokens_done, 0);
        let scheduler = &mut self.schedulers[instance];
        scheduler.record_item_start(index, target, sequence, now_ms);
        self.share_state_at_once(instance);
    }

    pub(super) fn preempt_item(&mut self, instance: usize, index: usize) {
        let now_ms = self.now_ms();
        let scheduler = &mut self.schedulers[instance];
        let ItemState::Running { sequence, .. } = scheduler.items[index].state else {
            return;
        };
        let run = &mut self.sequences[sequence];
        if run.tokens_done >= run.request.last_token_index {
            // The last event of the answer is already on its way.
            return;
        }
        run.is_ended = true;
        let (upstream, tokens_done) = (run.upstream, run.tokens_done);
        scheduler.record_item_end(index, tokens_done, now_ms);
        let at_us = self.now_us + self.one_way_link_us(instance, upstream);
        self.push(at_us, Event::Cancel { sequence });
        self.share_state_at_once(instance);
    }

    /// Sends a load notice to the peers that are due, if the pause since the
    /// last notice is over and the load has changed or the maximum interval has
    /// passed.
    fn send_notice(&mut self, instance: usize) {
        if self.ablation == Some(Ablation::Notices) || self.delay == NoticeDelay::Zero {
            return;
        }
        let last = &self.last_notices[instance];
        let since_us = self.now_us - last.at_us;
        let scheduler = &mut self.schedulers[instance];
        let has_changed = last.notice.as_ref().is_none_or(|notice| {
            notice.loads != scheduler.upstream_table.own_loads()
                || notice.batch_queue != scheduler.upstream_table.batch_queue()
        });
        if since_us < last.pause_us || (!has_changed && since_us < NOTICE_INTERVAL_MAX_US) {
            return;
        }
        let notice = Rc::new(scheduler.notice());
        let paces = scheduler.upstream_table.take_pace_reports();
        let now_ms = self.now_ms();
        let peers: Vec<_> = (0..self.schedulers.len())
            .filter(|other| *other != instance)
            .collect();
        let regions = peers.iter().map(|peer| self.region_of(*peer));
        let regions: Vec<_> = regions.collect();
        let due = self.schedulers[instance].due_peers(&regions, now_ms);
        let recipients: Vec<_> = due.into_iter().map(|index| peers[index]).collect();
        self.last_notices[instance] = LastNotice {
            at_us: self.now_us,
            pause_us: notice_pause_ms(recipients.len()) * US_PER_MS,
            notice: Some(Rc::clone(&notice)),
        };
        self.deliver(instance, recipients, &notice, &paces.into());
    }

    /// Sends a load notice at once to the owners of batch items that have to
    /// free a slot.
    pub(super) fn notify_owners(&mut self, instance: usize, owners: &[InstanceId]) {
        if self.ablation == Some(Ablation::Notices) || self.delay == NoticeDelay::Zero {
            return;
        }
        let notice = Rc::new(self.schedulers[instance].notice());
        self.deliver(
            instance,
            owners.iter().map(instance_index),
            &notice,
            &Rc::default(),
        );
    }

    fn deliver(
        &mut self,
        instance: usize,
        others: impl IntoIterator<Item = usize>,
        notice: &Rc<LoadNotice>,
        paces: &Rc<[PaceReport]>,
    ) {
        let regions = self.pattern.regions;
        for other in others {
            if other % regions != instance % regions {
                self.tally.cross_region_notices += 1;
            }
            let at_us = self.now_us + self.one_way_link_us(instance, other);
            let notice = Rc::clone(notice);
            let paces = Rc::clone(paces);
            self.push(
                at_us,
                Event::Notice {
                    instance: other,
                    notice,
                    paces,
                },
            );
        }
    }

    fn region_of(&self, instance: usize) -> Region {
        self.schedulers[instance].region.clone()
    }

    /// If notices have no delay, sends the changed state of an instance to all
    /// others at once, as if a single scheduler decided for all.
    pub(super) fn share_state_at_once(&mut self, instance: usize) {
        if self.delay != NoticeDelay::Zero || self.ablation == Some(Ablation::Notices) {
            return;
        }
        let now_ms = self.now_ms();
        let notice = self.schedulers[instance].notice();
        let paces = self.schedulers[instance].upstream_table.take_pace_reports();
        for (other, scheduler) in self.schedulers.iter_mut().enumerate() {
            if other != instance {
                scheduler
                    .upstream_table
                    .receive_notice(notice.clone(), now_ms);
                scheduler
                    .upstream_table
                    .receive_pace_reports(&paces, now_ms);
            }
        }
    }
}
