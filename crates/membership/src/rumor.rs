//! Queue of news that still has to be passed on.

use model::{InstanceId, Region, UpstreamId};

/// Frames that carry a piece of news before a node falls silent about it.
const SENDS_IN_REGION: u8 = 16;
/// Frames that carry the summary of another region, which is long and not
/// urgent.
const SUMMARY_SENDS: u8 = 8;
/// Frames to other regions that carry a piece of news.
const SENDS_ACROSS: u8 = 6;
/// Most pieces of news in one frame.
const FRAME_MAX: usize = 32;
/// Most pieces of news in the queue; comparing digests makes up for the rest.
const QUEUE_MAX: usize = 512;

/// What a piece of news is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Subject {
    /// A node of the own region.
    Node(InstanceId),
    /// An upstream.
    Upstream(UpstreamId),
    /// Another region.
    Region(Region),
}

/// Whether a frame stays in the region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Between nodes of one region.
    InRegion,
    /// Between regions, where traffic is billed.
    Across,
}

/// Who has to learn of a piece of news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    /// The own region.
    Region,
    /// The other regions.
    Others,
    /// All regions.
    All,
}

#[derive(Debug)]
struct Rumor {
    subject: Subject,
    in_region_left: u8,
    across_left: u8,
}

/// News by subject, newest last. The tables hold the news itself, so that a
/// frame always carries the latest state.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    rumors: Vec<Rumor>,
}

impl RumorQueue {
    /// Adds news, or starts it anew.
    pub(crate) fn push(&mut self, subject: Subject, audience: Audience) {
        self.rumors.retain(|rumor| rumor.subject != subject);
        if self.rumors.len() == QUEUE_MAX {
            self.rumors.remove(0);
        }
        let sends = match subject {
            Subject::Node(_) | Subject::Upstream(_) => SENDS_IN_REGION,
            Subject::Region(_) => SUMMARY_SENDS,
        };
        let (in_region_left, across_left) = match audience {
            Audience::Region => (sends, 0),
            Audience::Others => (0, SENDS_ACROSS),
            Audience::All => (sends, SENDS_ACROSS),
        };
        self.rumors.push(Rumor {
            subject,
            in_region_left,
            across_left,
        });
    }

    /// Subjects for the next frame, the least spread first.
    pub(crate) fn take(&mut self, reach: Reach) -> Vec<Subject> {
        let mut due: Vec<(u8, usize)> = self
            .rumors
            .iter()
            .enumerate()
            .map(|(index, rumor)| (rumor.left(reach), index))
            .filter(|(left, _)| *left > 0)
            .collect();
        due.sort_unstable_by(|a, b| b.cmp(a));
        due.truncate(FRAME_MAX);
        let subjects = due
            .iter()
            .map(|(_, index)| {
                let rumor = &mut self.rumors[*index];
                match reach {
                    Reach::InRegion => rumor.in_region_left -= 1,
                    Reach::Across => rumor.across_left -= 1,
                }
                rumor.subject.clone()
            })
            .collect();
        self.rumors
            .retain(|rumor| rumor.in_region_left > 0 || rumor.across_left > 0);
        subjects
    }

    /// Whether other regions still have to learn of anything.
    pub(crate) fn has_across(&self) -> bool {
        self.rumors.iter().any(|rumor| rumor.across_left > 0)
    }

    /// Drops what is left for other regions: only delegates talk to them.
    pub(crate) fn forget_across(&mut self) {
        for rumor in &mut self.rumors {
            rumor.across_left = 0;
        }
        self.rumors.retain(|rumor| rumor.in_region_left > 0);
    }
}

impl Rumor {
    fn left(&self, reach: Reach) -> u8 {
        match reach {
            Reach::InRegion => self.in_region_left,
            Reach::Across => self.across_left,
        }
    }
}
