//! What requests of a class are expected to take: by route where one has been measured, else by
//! class, else the class's guess. Each with its spread.

use std::time::Duration;

use super::RouteIndex;
use crate::Smoothed;

/// Routes that are kept apart; those beyond count as their class.
const ROUTES_MAX: usize = 256;

/// How the upstream worked when a request was given to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Spell {
    Usual,
    Slow,
}

#[derive(Debug)]
pub(super) struct Costs {
    class: Smoothed,
    /// By the route's index.
    routes: Vec<Option<RouteCosts>>,
}

#[derive(Debug, Clone, Copy)]
struct RouteCosts {
    all: Smoothed,
    /// Those that started while the upstream was as fast as usual.
    usual: Option<Smoothed>,
    slow: Option<Smoothed>,
}

impl RouteCosts {
    fn add(&mut self, spell: Spell, taken: Duration) {
        self.all.add(taken);
        let of_spell = match spell {
            Spell::Usual => &mut self.usual,
            Spell::Slow => &mut self.slow,
        };
        of_spell.get_or_insert_with(|| Smoothed::new(taken)).add(taken);
    }
}

impl Costs {
    pub(super) fn new(guess: Duration) -> Costs {
        Costs { class: Smoothed::new(guess), routes: Vec::new() }
    }

    /// All requests of the class, as they come.
    pub(super) fn class(&self) -> &Smoothed {
        &self.class
    }

    pub(super) fn expected(&self, route: Option<RouteIndex>) -> &Smoothed {
        route.and_then(|it| self.measured(it)).unwrap_or(&self.class)
    }

    pub(super) fn measured(&self, route: RouteIndex) -> Option<&Smoothed> {
        self.route(route).map(|it| &it.all)
    }

    /// How much longer requests of a route take that start while the upstream is slow; none: they don't, or
    /// it isn't known.
    pub(super) fn slow_extra(&self, route: RouteIndex) -> Option<Duration> {
        let it = self.route(route)?;
        it.slow?.mean().checked_sub(it.usual?.mean())
    }

    fn route(&self, route: RouteIndex) -> Option<&RouteCosts> {
        self.routes.get(route.0)?.as_ref()
    }

    pub(super) fn add(&mut self, route: Option<RouteIndex>, spell: Spell, taken: Duration) {
        self.class.add(taken);
        let Some(RouteIndex(index @ ..ROUTES_MAX)) = route else { return };
        if self.routes.len() <= index {
            self.routes.resize(index + 1, None);
        }
        let none = RouteCosts { all: Smoothed::new(taken), usual: None, slow: None };
        self.routes[index].get_or_insert(none).add(spell, taken);
    }
}
