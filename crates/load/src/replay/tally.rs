//! Counts of how requests and items ended, and the credit earned for them.

const US_PER_S: u64 = 1_000_000;
/// Length of a time window, seconds.
const WINDOW_S: u64 = 2;
/// Number of windows, those with the smallest shares, that count as the worst.
const WORST_WINDOWS: usize = 2;

/// Class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Class {
    Online,
    Item,
}

/// How an online request or an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WorkEnd {
    OnTime,
    /// Refused at first, but on time at the retry.
    OnTimeAfterRetry,
    Late,
    Refused,
    Failed,
}

/// Counts of one class.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClassTally {
    pub(super) count: u32,
    pub(super) on_time: u32,
    pub(super) late: u32,
    pub(super) refused: u32,
    pub(super) failed: u32,
    credit: f64,
}

/// Possible and earned credit of the work that arrived in one time window.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    owed: f64,
    earned: f64,
}

/// Counts and credit of a run.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) online: ClassTally,
    pub(super) items: ClassTally,
    /// Number of notices sent to other regions.
    pub(super) cross_region_notices: u64,
    windows: Vec<Window>,
}

impl Class {
    /// Returns the credit for work that ends on time, and for late work.
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

    /// Returns the share of the possible credit that was earned.
    pub(super) fn credit(&self) -> f64 {
        let owed: f64 = self.windows.iter().map(|window| window.owed).sum();
        let earned: f64 = self.windows.iter().map(|window| window.earned).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }

    /// Returns the mean share of credit in the windows with the smallest shares.
    pub(super) fn worst_windows_credit(&self) -> f64 {
        let mut shares = self.credit_by_window();
        shares.sort_by(f64::total_cmp);
        shares.truncate(WORST_WINDOWS);
        let window_count = u32::try_from(shares.len().max(1)).unwrap_or(1);
        shares.iter().sum::<f64>() / f64::from(window_count)
    }

    /// Returns the share of credit in each window with work.
    pub(super) fn credit_by_window(&self) -> Vec<f64> {
        let active_windows = self.windows.iter().filter(|window| window.owed > 0.0);
        active_windows
            .map(|window| window.earned / window.owed)
            .collect()
    }

    /// Returns the share of credit of the class with the smaller share.
    pub(super) fn worst_class_credit(&self) -> f64 {
        self.online.credit_share().min(self.items.credit_share())
    }
}

impl ClassTally {
    /// Returns the share of the possible credit that the class earned.
    pub(super) fn credit_share(&self) -> f64 {
        if self.count == 0 {
            return 1.0;
        }
        self.credit / f64::from(self.count)
    }
}
