//! What callers got.

const US_PER_S: u64 = 1_000_000;
/// Length of a window, seconds.
const WINDOW_S: u64 = 2;
/// Windows that count as the worst.
const WORST_WINDOWS: usize = 2;

/// Kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Class {
    Online,
    Item,
}

/// How a piece of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    OnTime,
    /// Refused at first, in time when it came back.
    Returned,
    Late,
    Refused,
    Failed,
}

/// Numbers of one class.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClassTally {
    pub(super) asked: u32,
    pub(super) on_time: u32,
    pub(super) late: u32,
    pub(super) refused: u32,
    pub(super) failed: u32,
    credit: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    owed: f64,
    earned: f64,
}

/// Everything that ended.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) online: ClassTally,
    pub(super) items: ClassTally,
    /// Notices sent to other regions.
    pub(super) notices_away: u64,
    windows: Vec<Window>,
}

impl Class {
    /// Credit of one in time, and of a late one.
    fn worth(self) -> (f64, f64) {
        match self {
            Self::Online => (4.5, 0.68),
            Self::Item => (28.0, 2.8),
        }
    }
}

impl Tally {
    /// Records how work that arrived at `arrived_us` ended.
    pub(super) fn add(&mut self, class: Class, arrived_us: u64, end: End) {
        let (full, late) = class.worth();
        let credit = match end {
            End::OnTime => full,
            End::Returned => f64::midpoint(full, late),
            End::Late => late,
            End::Refused | End::Failed => 0.0,
        };
        let tally = match class {
            Class::Online => &mut self.online,
            Class::Item => &mut self.items,
        };
        tally.asked += 1;
        tally.credit += credit / full;
        match end {
            End::OnTime | End::Returned => tally.on_time += 1,
            End::Late => tally.late += 1,
            End::Refused => tally.refused += 1,
            End::Failed => tally.failed += 1,
        }
        let index = usize::try_from(arrived_us / (WINDOW_S * US_PER_S)).unwrap_or(0);
        if self.windows.len() <= index {
            self.windows.resize(index + 1, Window::default());
        }
        self.windows[index].owed += full;
        self.windows[index].earned += credit;
    }

    /// Credit earned over credit owed, of all work.
    pub(super) fn credit(&self) -> f64 {
        let owed: f64 = self.windows.iter().map(|window| window.owed).sum();
        let earned: f64 = self.windows.iter().map(|window| window.earned).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }

    /// The same in the two worst windows.
    pub(super) fn worst_windows(&self) -> f64 {
        let mut shares = self.window_shares();
        shares.sort_by(f64::total_cmp);
        shares.truncate(WORST_WINDOWS);
        let count = u32::try_from(shares.len().max(1)).unwrap_or(1);
        shares.iter().sum::<f64>() / f64::from(count)
    }

    /// The same in each window with work.
    pub(super) fn window_shares(&self) -> Vec<f64> {
        let with_work = self.windows.iter().filter(|window| window.owed > 0.0);
        with_work
            .map(|window| window.earned / window.owed)
            .collect()
    }

    /// The same of the class that got least.
    pub(super) fn worst_class(&self) -> f64 {
        self.online.share().min(self.items.share())
    }
}

impl ClassTally {
    /// Credit earned over credit owed.
    pub(super) fn share(&self) -> f64 {
        if self.asked == 0 {
            return 1.0;
        }
        self.credit / f64::from(self.asked)
    }
}
