//! What an instance does at each tick: starts and preempts items, sends notices.

use std::rc::Rc;

use gateway::{LoadNotice, RegionPeers, Target, notice_pause_ms};
use model::{InstanceId, Region};

use super::{
    super::{
        arrivals::Answer,
        decider::{Action, ItemState, instance_index, region_name},
    },
    Event, LastNotice, NoticeDelay, SequenceWork, Switch, TICK_US, US_PER_MS, World,
};

/// Longest time between two notices of an instance.
const NOTICE_MAX_US: u64 = 500 * US_PER_MS;
/// Time between two checks for silent peers.
const EXPIRE_US: u64 = 250 * US_PER_MS;

impl World {
    pub(super) fn tick(&mut self, instance: usize) {
        let now_ms = self.now_ms();
        if self.now_us % EXPIRE_US < TICK_US {
            self.deciders[instance].fleet.expire(now_ms);
        }
        for action in self.deciders[instance].step(now_ms) {
            match action {
                Action::Start { index, target } => self.start_item(instance, index, &target),
                Action::Preempt { index } => self.preempt(instance, index),
            }
        }
        self.send_notice(instance);
        self.push(self.now_us + TICK_US, Event::Tick { instance });
    }

    fn start_item(&mut self, instance: usize, index: usize, target: &Target) {
        let now_ms = self.now_ms();
        let item = &self.deciders[instance].items[index];
        let answer = Answer {
            prompt_tokens: item.prompt_tokens,
            tokens: item.tokens,
        };
        let tokens_done = item.tokens_done;
        let work = SequenceWork::Item { index };
        let sequence = self.start(instance, target.clone(), work, answer, tokens_done, 0);
        let decider = &mut self.deciders[instance];
        decider.item_started(index, target, sequence, now_ms);
        self.changed(instance);
    }

    pub(super) fn preempt(&mut self, instance: usize, index: usize) {
        let now_ms = self.now_ms();
        let decider = &mut self.deciders[instance];
        let ItemState::Running { sequence, .. } = decider.items[index].state else {
            return;
        };
        let run = &mut self.sequences[sequence];
        if run.tokens_done >= run.request.last_token_index {
            // The end of its answer is on its way.
            return;
        }
        run.is_over = true;
        let (upstream, tokens_done) = (run.upstream, run.tokens_done);
        decider.item_ended(index, tokens_done, now_ms);
        let at_us = self.now_us + self.one_way_us(instance, upstream);
        self.push(at_us, Event::Cancel { sequence });
        self.changed(instance);
    }

    /// Sends a notice if one is due.
    fn send_notice(&mut self, instance: usize) {
        if self.switch == Some(Switch::Notices) || self.delay == NoticeDelay::None {
            return;
        }
        let last = &self.last_notices[instance];
        let since_us = self.now_us - last.at_us;
        let decider = &mut self.deciders[instance];
        let is_new = last.notice.as_ref().is_none_or(|notice| {
            notice.loads != decider.fleet.own_loads()
                || notice.batch_queue != decider.fleet.batch_queue()
        });
        if since_us < last.pause_us || (!is_new && since_us < NOTICE_MAX_US) {
            return;
        }
        let notice = Rc::new(decider.notice());
        let regions = self.pattern.regions;
        let peers = self.region_peers();
        let now_ms = self.now_ms();
        let due = self.deciders[instance].due_regions(&peers, now_ms);
        let is_due = |other: &usize| {
            let region = Region::new(&region_name(other % regions));
            *other != instance && due.binary_search(&region).is_ok()
        };
        let told: Vec<_> = (0..self.deciders.len()).filter(is_due).collect();
        self.last_notices[instance] = LastNotice {
            at_us: self.now_us,
            pause_us: notice_pause_ms(told.len()) * US_PER_MS,
            notice: Some(Rc::clone(&notice)),
        };
        self.deliver(instance, told, &notice);
    }

    /// Tells owners of batch items at once that a slot is needed.
    pub(super) fn tell_owners(&mut self, instance: usize, owners: &[InstanceId]) {
        if self.switch == Some(Switch::Notices) || self.delay == NoticeDelay::None {
            return;
        }
        let notice = Rc::new(self.deciders[instance].notice());
        self.deliver(instance, owners.iter().map(instance_index), &notice);
    }

    fn deliver(
        &mut self,
        instance: usize,
        others: impl IntoIterator<Item = usize>,
        notice: &Rc<LoadNotice>,
    ) {
        let regions = self.pattern.regions;
        for other in others {
            if other % regions != instance % regions {
                self.tally.notices_away += 1;
            }
            let at_us = self.now_us + self.one_way_us(instance, other);
            let notice = Rc::clone(notice);
            self.push(
                at_us,
                Event::Notice {
                    instance: other,
                    notice,
                },
            );
        }
    }

    /// Instances by region, sorted by region.
    fn region_peers(&self) -> Vec<RegionPeers> {
        let (instances, regions) = (self.deciders.len(), self.pattern.regions);
        let mut peers: Vec<_> = (0..regions)
            .map(|region| RegionPeers {
                region: Region::new(&region_name(region)),
                count: (instances / regions) as u64,
            })
            .collect();
        peers.sort_by(|a, b| a.region.cmp(&b.region));
        peers
    }

    /// An instance's own state changed. If nothing delays notices, all others
    /// know at once, as if one decided for all.
    pub(super) fn changed(&mut self, instance: usize) {
        if self.delay != NoticeDelay::None || self.switch == Some(Switch::Notices) {
            return;
        }
        let now_ms = self.now_ms();
        let notice = self.deciders[instance].notice();
        for (other, decider) in self.deciders.iter_mut().enumerate() {
            if other != instance {
                decider.fleet.receive_notice(notice.clone(), now_ms);
            }
        }
    }
}
