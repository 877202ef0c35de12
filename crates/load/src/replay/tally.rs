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
pub(super) enum WorkEnd {
    OnTime,
    /// Refused at first, in time when it came back.
    OnTimeAfterRetry,
    Late,
    Refused,
    Failed,
}

/// Numbers of one class.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClassTally {
    pub(super) count: u32,
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
    pub(super) cross_region_notices: u64,
    windows: Vec<Window>,
}

impl Class {
    /// Credit of one in time, and of a late one.
    fn credit_values(self) -> (f64, f64) {
        match self {
            Self::Online => (4.5, 0.68),
            Self::Item => (28.0, 2.8),
        }
    }
}

impl Tally {
    /// Records how work that arrived at `arrived_us` ended.
    pub(super) fn add(&mut self, class: Class, arrived_us: u64, end: WorkEnd) {
        let (full, late) = class.credit_values();
        let credit = match end {
            WorkEnd::OnTime => full,
            WorkEnd::OnTimeAfterRetry => f64::midpoint(full, late),
            WorkEnd::Late => late,
            WorkEnd::Refused | WorkEnd::Failed => 0.0,
        };
        let tally = match class {
            Class::Online => &mut self.online,
            Class::Item => &mut self.items,
        };
        tally.count += 1;
        tally.credit += credit / full;
        match end {
            WorkEnd::OnTime | WorkEnd::OnTimeAfterRetry => tally.on_time += 1,
            WorkEnd::Late => tally.late += 1,
            WorkEnd::Refused => tally.refused += 1,
            WorkEnd::Failed => tally.failed += 1,
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
    pub(super) fn worst_windows_credit(&self) -> f64 {
        let mut shares = self.credit_by_window();
        shares.sort_by(f64::total_cmp);
        shares.truncate(WORST_WINDOWS);
        let window_count = u32::try_from(shares.len().max(1)).unwrap_or(1);
        shares.iter().sum::<f64>() / f64::from(window_count)
    }

    /// The same in each window with work.
    pub(super) fn credit_by_window(&self) -> Vec<f64> {
        let active_windows = self.windows.iter().filter(|window| window.owed > 0.0);
        active_windows
            .map(|window| window.earned / window.owed)
            .collect()
    }

    /// The same of the class that got least.
    pub(super) fn worst_class_credit(&self) -> f64 {
        self.online.credit_share().min(self.items.credit_share())
    }
}

impl ClassTally {
    /// Credit earned over credit owed.
    pub(super) fn credit_share(&self) -> f64 {
        if self.count == 0 {
            return 1.0;
        }
        self.credit / f64::from(self.count)
    }
}
