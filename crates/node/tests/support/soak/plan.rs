//! What is done in a soak and when, drawn by a seed.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Number of servers of the usual service; one more belongs to the other service.
pub const SERVERS: usize = 3;

/// Shortest time-out of a route for streams, milliseconds. It exceeds the deadlines of callers, so
/// that no stream is cut by the time-out of its route.
const TIMEOUT_MIN_MS: u64 = 9_500;

/// Kinds of trouble that a soak draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Family {
    /// Signals to stop and to reload, and configurations.
    Planned,
    /// Besides, processes are killed and frozen.
    Processes,
    /// Besides, the store is disrupted.
    Store,
    /// Besides, servers crash, leave and lose answers, while the store is well.
    Servers,
    /// Everything.
    Mixed,
}

/// Something that is done to the parts of a soak.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Operation {
    /// Sends SIGTERM, and starts the process again some time after its end.
    Stop {
        instance: usize,
        down_ms: u64,
    },
    /// Sends SIGHUP, after a change of the settings or without one.
    Hangup {
        instance: usize,
        is_changed: bool,
    },
    Kill {
        instance: usize,
        down_ms: u64,
    },
    Freeze {
        instance: usize,
        for_ms: u64,
    },
    /// Lets a process run only a part of the time.
    Slow {
        instance: usize,
        for_ms: u64,
    },
    /// Cuts the path of an instance to the store, by resets or by silence.
    CutOff {
        instance: usize,
        is_silent: bool,
        for_ms: u64,
    },
    Configure(Shape),
    Store {
        fault: StoreFault,
        for_ms: u64,
    },
    /// The store forgets the history of its rows.
    Forget,
    Server {
        server: usize,
        fault: ServerFault,
    },
}

/// What a configuration does with the usual routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    pub batch: Place,
    pub once: Place,
    pub long: Place,
    /// Whether another route covers all paths.
    pub has_cover: bool,
    /// Time-out of the routes for streams, milliseconds.
    pub timeout_ms: u64,
}

/// Where a route leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Usual,
    Other,
    Gone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    Down,
    Refuse,
    Hang,
    LoseAnswers,
    LoseWithSilence,
    Slow { delay_ms: u64 },
    Limit,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
    Crash {
        for_ms: u64,
    },
    /// Breaks one stream.
    Cut,
    /// Resets connections after the request has taken effect.
    LoseAnswers {
        for_ms: u64,
    },
    Refuse {
        for_ms: u64,
    },
    /// Says that it leaves, serves on, ends and starts again.
    Release,
    /// Its registration is removed; it serves on, ends and starts again.
    Vanish,
}

/// The usual configuration.
pub const USUAL_SHAPE: Shape = Shape {
    batch: Place::Usual,
    once: Place::Usual,
    long: Place::Usual,
    has_cover: false,
    timeout_ms: TIMEOUT_MIN_MS,
};

impl Family {
    pub fn of_seed(seed: u64) -> Self {
        let families = [
            Self::Mixed,
            Self::Planned,
            Self::Processes,
            Self::Store,
            Self::Servers,
        ];
        families[usize::try_from(seed % 5).unwrap()]
    }

    /// Returns the weights of planned work and of disruptions of processes, the store and
    /// servers.
    fn weights(self) -> [u32; 4] {
        match self {
            Self::Planned => [10, 0, 0, 0],
            Self::Processes => [5, 5, 0, 0],
            Self::Store => [5, 1, 5, 0],
            Self::Servers => [5, 0, 0, 5],
            Self::Mixed => [5, 4, 4, 3],
        }
    }
}

/// Draws operations up to a time, each with the time from the start, milliseconds.
pub fn draw(seed: u64, family: Family, instances: usize, until_ms: u64) -> Vec<(u64, Operation)> {
    let mut planner = Planner {
        rng: SmallRng::seed_from_u64(seed),
        instances,
        plan: Vec::new(),
    };
    let mut at_ms = 1_000;
    while at_ms < until_ms {
        planner.draw_next(family, at_ms);
        at_ms += planner.rng.random_range(100..2_500);
    }
    planner.plan.retain(|(at_ms, _)| *at_ms < until_ms);
    planner.plan.sort_by_key(|(at_ms, _)| *at_ms);
    planner.plan
}

#[derive(Debug)]
struct Planner {
    rng: SmallRng,
    instances: usize,
    plan: Vec<(u64, Operation)>,
}

impl Planner {
    fn draw_next(&mut self, family: Family, at_ms: u64) {
        let [planned, processes, store, servers] = family.weights();
        let drawn = self
            .rng
            .random_range(0..planned + processes + store + servers);
        if drawn < planned {
            self.draw_planned(at_ms);
        } else if drawn < planned + processes {
            self.draw_disrupted_process(at_ms);
        } else if drawn < planned + processes + store {
            self.draw_store(at_ms);
        } else {
            self.draw_server(at_ms);
        }
    }

    fn draw_planned(&mut self, at_ms: u64) {
        let instance = self.instance();
        match self.rng.random_range(0..10) {
            0..2 => self.stop(at_ms, instance),
            2 => self.stop_series(at_ms),
            3 => {
                let again_ms = at_ms + self.rng.random_range(0..3_000);
                self.stop(at_ms, instance);
                self.stop(again_ms, instance);
            }
            4..6 => {
                let is_changed = self.rng.random_bool(0.5);
                self.add(
                    at_ms,
                    Operation::Hangup {
                        instance,
                        is_changed,
                    },
                );
                if self.rng.random_bool(0.5) {
                    let stop_ms = at_ms + self.rng.random_range(0..500);
                    self.stop(stop_ms, instance);
                }
            }
            _ => {
                let shape = self.shape();
                self.add(at_ms, Operation::Configure(shape));
                if self.rng.random_bool(0.6) {
                    let back_ms = at_ms + self.rng.random_range(200..4_000);
                    self.add(back_ms, Operation::Configure(USUAL_SHAPE));
                }
            }
        }
    }

    /// Stops several instances one after the other, before the first has started again.
    fn stop_series(&mut self, at_ms: u64) {
        let count = self.rng.random_range(2..=self.instances);
        let gap_ms = self.rng.random_range(0..2_500);
        let first = self.instance();
        for number in 0..count {
            let instance = (first + number) % self.instances;
            self.stop(at_ms + gap_ms * u64::try_from(number).unwrap(), instance);
        }
    }

    fn stop(&mut self, at_ms: u64, instance: usize) {
        let down_ms = self.rng.random_range(0..1_500);
        self.add(at_ms, Operation::Stop { instance, down_ms });
    }

    fn draw_disrupted_process(&mut self, at_ms: u64) {
        let down_ms = self.rng.random_range(0..4_000);
        let instance = self.instance();
        let for_ms = self.rng.random_range(200..7_000);
        match self.rng.random_range(0..10) {
            0 => {
                for instance in 0..self.instances {
                    self.add(at_ms, Operation::Kill { instance, down_ms });
                }
            }
            1..4 => self.add(at_ms, Operation::Kill { instance, down_ms }),
            4..7 => self.add(at_ms, Operation::Freeze { instance, for_ms }),
            7 => self.add(at_ms, Operation::Slow { instance, for_ms }),
            _ => {
                let is_silent = self.rng.random_bool(0.5);
                let cut_off = Operation::CutOff {
                    instance,
                    is_silent,
                    for_ms,
                };
                self.add(at_ms, cut_off);
            }
        }
    }

    fn draw_store(&mut self, at_ms: u64) {
        let for_ms = self.rng.random_range(300..6_000);
        let fault = match self.rng.random_range(0..8) {
            0 => StoreFault::Down,
            1 => StoreFault::Refuse,
            2 => StoreFault::Hang,
            3 => StoreFault::LoseAnswers,
            4 => StoreFault::LoseWithSilence,
            5 => StoreFault::Limit,
            6 => {
                let delay_ms = self.rng.random_range(100..900);
                StoreFault::Slow { delay_ms }
            }
            _ => return self.add(at_ms, Operation::Forget),
        };
        self.add(at_ms, Operation::Store { fault, for_ms });
    }

    fn draw_server(&mut self, at_ms: u64) {
        let server = self.rng.random_range(0..=SERVERS);
        let for_ms = self.rng.random_range(300..3_000);
        let fault = match self.rng.random_range(0..6) {
            0 => ServerFault::Crash { for_ms },
            1 => ServerFault::Cut,
            2 => ServerFault::LoseAnswers { for_ms },
            3 => ServerFault::Refuse { for_ms },
            4 => ServerFault::Release,
            _ => ServerFault::Vanish,
        };
        self.add(at_ms, Operation::Server { server, fault });
    }

    fn shape(&mut self) -> Shape {
        Shape {
            batch: self.place(0.3),
            once: self.place(0.15),
            long: self.place(0.1),
            has_cover: self.rng.random_bool(0.25),
            timeout_ms: self
                .rng
                .random_range(TIMEOUT_MIN_MS..TIMEOUT_MIN_MS + 2_000),
        }
    }

    fn place(&mut self, gone: f64) -> Place {
        if self.rng.random_bool(gone) {
            Place::Gone
        } else if self.rng.random_bool(0.3) {
            Place::Other
        } else {
            Place::Usual
        }
    }

    fn instance(&mut self) -> usize {
        self.rng.random_range(0..self.instances)
    }

    fn add(&mut self, at_ms: u64, operation: Operation) {
        self.plan.push((at_ms, operation));
    }
}
