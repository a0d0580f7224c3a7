//! Openings that wait at an agent until the endpoint has a slot for them, and which goes next.

use units::Millis;

/// Maximum number of openings that wait at an agent.
///
/// An endpoint of two slots that works for 30 ms starts fewer within the time for which callers
/// wait for an answer.
const WAITING_MAX: usize = 64;

/// Time after which the oldest opening that still serves its caller goes first.
///
/// The bound answers a crest that lasts: without it, less urgent openings would wait until their
/// callers give up.
const STARVING_AFTER_MS: Millis = Millis::new(400);

/// Number of openings of one route that were started, at which all routes' numbers are halved.
const STARTED_MAX: u32 = 16;

/// What is known of an opening that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wish {
    /// Key of the opening's route.
    pub route: u64,
    /// Rank of the route; zero is the highest.
    pub priority: u8,
    pub(crate) arrived_at: Millis,
    pub(crate) goal_at: Millis,
    pub(crate) give_up_at: Millis,
}

impl Wish {
    /// Creates the wish of an opening that arrived at `arrived_at`, should be answered by `goal_at`
    /// and is of no use to its caller after `give_up_at`.
    #[must_use]
    pub const fn new(
        route: u64,
        priority: u8,
        arrived_at: Millis,
        goal_at: Millis,
        give_up_at: Millis,
    ) -> Self {
        Self {
            route,
            priority,
            arrived_at,
            goal_at,
            give_up_at,
        }
    }
}

/// Openings that wait for a slot, with what the agent needs to deliver them.
#[derive(Debug)]
pub struct WaitingRoom<T> {
    /// Openings in order of arrival; at most `WAITING_MAX`.
    waiting: Vec<(Wish, T)>,
    /// How many openings of each route were started lately, sorted by route.
    started: Vec<(u64, u32)>,
}

impl<T> Default for WaitingRoom<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            started: Vec::new(),
        }
    }
}

impl<T> WaitingRoom<T> {
    /// Returns the number of openings that wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no opening waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether no further opening can wait.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.waiting.len() >= WAITING_MAX
    }

    /// Lets an opening wait, or hands it back if the room is full.
    ///
    /// # Errors
    ///
    /// Returns the opening if the room is full; send it elsewhere.
    pub fn insert(&mut self, wish: Wish, opening: T) -> Result<(), T> {
        if self.is_full() {
            return Err(opening);
        }
        self.waiting.push((wish, opening));
        Ok(())
    }

    /// Returns the waiting opening for which `is_wanted` holds.
    pub fn find_mut(&mut self, is_wanted: impl Fn(&T) -> bool) -> Option<&mut T> {
        let mut openings = self.waiting.iter_mut().map(|it| &mut it.1);
        openings.find(|it| is_wanted(it))
    }

    /// Removes and returns the waiting opening for which `is_wanted` holds.
    pub fn remove(&mut self, is_wanted: impl Fn(&T) -> bool) -> Option<T> {
        let idx = self.waiting.iter().position(|it| is_wanted(&it.1))?;
        Some(self.waiting.remove(idx).1)
    }

    /// Returns how long the opening that arrived first has waited.
    #[must_use]
    pub fn longest_wait(&self, now: Millis) -> Option<Millis> {
        self.waiting.first().map(|it| now.since(it.0.arrived_at))
    }

    /// Removes and returns the opening to deliver next, and how long it has waited; `work` is the
    /// time that its request takes.
    ///
    /// The oldest opening goes first once it has waited for too long. Otherwise the order is: higher
    /// priority; openings that can be answered in time; the route of which fewer were started
    /// lately, so that a burst of one kind of request doesn't push out the others; the earlier goal.
    pub fn take_next(&mut self, now: Millis, work: Millis) -> Option<(Millis, T)> {
        let oldest = self.waiting.first()?;
        let next = if now.since(oldest.0.arrived_at) >= STARVING_AFTER_MS {
            0
        } else {
            let keys = self.waiting.iter().map(|(wish, _)| {
                let is_late = now.plus(work) > wish.goal_at;
                let started = self.started_of(wish.route);
                (wish.priority, is_late, started, wish.goal_at)
            });
            keys.enumerate().min_by_key(|it| it.1)?.0
        };
        let (wish, opening) = self.waiting.remove(next);
        self.record_start(wish.route);
        Some((now.since(wish.arrived_at), opening))
    }

    /// Removes and returns the openings that no longer serve their callers here.
    pub fn take_expired(&mut self, now: Millis) -> Vec<T> {
        let is_expired = |it: &Wish| now >= it.give_up_at;
        if !self.waiting.iter().any(|it| is_expired(&it.0)) {
            return Vec::new();
        }
        let expired = self.waiting.extract_if(.., |it| is_expired(&it.0));
        expired.map(|it| it.1).collect()
    }

    /// Removes and returns all openings.
    pub fn take_all(&mut self) -> Vec<T> {
        std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|it| it.1)
            .collect()
    }

    /// Returns the earliest time at which an opening no longer serves its caller here.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Millis> {
        self.waiting.iter().map(|it| it.0.give_up_at).min()
    }

    fn started_of(&self, route: u64) -> u32 {
        let idx = self.started.binary_search_by_key(&route, |it| it.0);
        idx.map_or(0, |idx| self.started[idx].1)
    }

    fn record_start(&mut self, route: u64) {
        let idx = match self.started.binary_search_by_key(&route, |it| it.0) {
            Ok(idx) => idx,
            Err(idx) => {
                self.started.insert(idx, (route, 0));
                idx
            }
        };
        self.started[idx].1 += 1;
        if self.started[idx].1 >= STARTED_MAX {
            for (_, started) in &mut self.started {
                *started /= 2;
            }
            self.started.retain(|it| it.1 > 0);
        }
    }
}
