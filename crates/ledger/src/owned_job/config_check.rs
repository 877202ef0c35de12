//! Makes sure that items are given up because of a missing route only by a configuration that
//! is at least as new as the one on which the job was accepted.
//!
//! A record does not name that configuration. But the configuration was stored before the job
//! was accepted, and the job before this instance got to know it. So whatever a read returns
//! that began after this instance loaded the job is new enough.

use super::OwnedJob;
use crate::item::JobItem;

/// What is known of the age of the configuration in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum ConfigCheck {
    /// It may be older than the job.
    #[default]
    Unconfirmed,
    /// A read of the newest configuration has begun since the job was loaded.
    Reading,
    /// It is at least as new as the one on which the job was accepted.
    Confirmed,
}

impl OwnedJob {
    /// Records that a read of the newest configuration begins. Reads follow one another.
    pub fn begin_config_read(&mut self) {
        if self.config_check == ConfigCheck::Unconfirmed {
            self.config_check = ConfigCheck::Reading;
        }
    }

    /// Records that the last read that began has returned the newest configuration, and that
    /// this or a newer one is in force.
    pub fn confirm_config(&mut self) {
        if self.config_check == ConfigCheck::Reading {
            self.config_check = ConfigCheck::Confirmed;
        }
    }

    /// Gives up the items that have not ended and have no route by the configuration in force.
    /// Returns true, and gives up none, if that may be older than the job: then the newest one
    /// must be read first.
    pub fn give_up_without_route(&mut self, has_route: impl Fn(&JobItem) -> bool) -> bool {
        if self.config_check == ConfigCheck::Confirmed {
            self.give_up_unfinished_where(|item| !has_route(item));
            return false;
        }
        let mut unfinished = self.items.iter().filter(|row| row.is_unfinished());
        unfinished.any(|row| !has_route(&row.item))
    }
}
