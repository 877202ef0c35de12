//! Queue of rumors, the record changes that are still to be spread by gossip.

use model::{InstanceId, Region, UpstreamId};

/// Number of frames within the region that carry a rumor before the node stops
/// spreading it.
const SENDS_IN_REGION: u8 = 16;
/// Number of frames within the region that carry the summary of another region;
/// lower because a summary is long and not urgent.
const SUMMARY_SENDS: u8 = 8;
/// Number of frames to other regions that carry a rumor.
const SENDS_CROSS_REGION: u8 = 6;
/// Maximum number of rumors in a frame.
const RUMORS_PER_FRAME_MAX: usize = 32;
/// Maximum number of rumors in the queue. Anti-entropy spreads what is dropped.
const QUEUE_LEN_MAX: usize = 512;

/// Identifies the record that a rumor is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Subject {
    /// A node of the own region.
    Node(InstanceId),
    /// An upstream of any region.
    Upstream(UpstreamId),
    /// The summary of a region.
    Region(Region),
}

/// Whether a frame stays within the region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Between nodes of the same region.
    InRegion,
    /// Between nodes of different regions, where traffic is billed.
    CrossRegion,
}

/// The regions that a rumor is spread to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    /// The own region only.
    Local,
    /// The other regions only.
    Remote,
    /// The own region and all others.
    All,
}

#[derive(Debug)]
struct Rumor {
    subject: Subject,
    in_region_sends_left: u8,
    cross_region_sends_left: u8,
}

/// Rumors by subject, newest last. The queue holds no state: the records are
/// read from the tables when a frame is built, so a frame always carries the
/// latest state.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    rumors: Vec<Rumor>,
}

impl RumorQueue {
    /// Adds a rumor, or resets its remaining sends if it is already queued.
    /// Drops the oldest rumor if the queue is full.
    pub(crate) fn push(&mut self, subject: Subject, audience: Audience) {
        self.rumors.retain(|rumor| rumor.subject != subject);
        if self.rumors.len() == QUEUE_LEN_MAX {
            self.rumors.remove(0);
        }
        let in_region_sends = match subject {
            Subject::Node(_) | Subject::Upstream(_) => SENDS_IN_REGION,
            Subject::Region(_) => SUMMARY_SENDS,
        };
        let (in_region_sends_left, cross_region_sends_left) = match audience {
            Audience::Local => (in_region_sends, 0),
            Audience::Remote => (0, SENDS_CROSS_REGION),
            Audience::All => (in_region_sends, SENDS_CROSS_REGION),
        };
        self.rumors.push(Rumor {
            subject,
            in_region_sends_left,
            cross_region_sends_left,
        });
    }

    /// Takes the subjects for the next frame, those with the most remaining
    /// sends first.
    pub(crate) fn take_for_frame(&mut self, scope: Scope) -> Vec<Subject> {
        let mut due: Vec<(u8, usize)> = self
            .rumors
            .iter()
            .enumerate()
            .map(|(index, rumor)| (rumor.sends_left(scope), index))
            .filter(|(sends_left, _)| *sends_left > 0)
            .collect();
        due.sort_unstable_by(|a, b| b.cmp(a));
        due.truncate(RUMORS_PER_FRAME_MAX);
        let subjects = due
            .iter()
            .map(|(_, index)| {
                let rumor = &mut self.rumors[*index];
                match scope {
                    Scope::InRegion => rumor.in_region_sends_left -= 1,
                    Scope::CrossRegion => rumor.cross_region_sends_left -= 1,
                }
                rumor.subject.clone()
            })
            .collect();
        self.rumors
            .retain(|rumor| rumor.in_region_sends_left > 0 || rumor.cross_region_sends_left > 0);
        subjects
    }

    /// Returns whether a rumor is still to be sent to other regions.
    pub(crate) fn has_cross_region(&self) -> bool {
        self.rumors
            .iter()
            .any(|rumor| rumor.cross_region_sends_left > 0)
    }

    /// Cancels the remaining sends to other regions. Called on nodes that are
    /// not delegates, because only delegates contact other regions.
    pub(crate) fn drop_cross_region(&mut self) {
        for rumor in &mut self.rumors {
            rumor.cross_region_sends_left = 0;
        }
        self.rumors.retain(|rumor| rumor.in_region_sends_left > 0);
    }
}

impl Rumor {
    fn sends_left(&self, scope: Scope) -> u8 {
        match scope {
            Scope::InRegion => self.in_region_sends_left,
            Scope::CrossRegion => self.cross_region_sends_left,
        }
    }
}
