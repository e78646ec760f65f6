//! Which services the local target needs for most of its requests; see
//! `docs/design/shedding.md`.

use anvil_types::{context, name};
use serde::Serialize;

/// Share of the runs that call a service from which it counts as needed.
pub const NEEDED_SHARE: f64 = 0.5;

/// Weight of one run in the share, as its divisor.
const SHARE_DIVISOR: f64 = 32.0;

/// Services remembered; those called least give way.
const SERVICES_KEPT: usize = 64;

#[derive(Clone, Debug, Serialize)]
struct ServiceShare {
    class: context::PriorityClass,
    service: name::ServiceName,
    share: f64,
}

/// The share of the local target's runs of each class that call each service.
///
/// The cut line of a needed service is passed upwards with the target's own, so that an entry
/// node refuses what could not become whole. A service that only few runs call is left out: the
/// line would refuse requests that don't need it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DependencyTable {
    /// Sorted by class and service.
    shares: Vec<ServiceShare>,
}

impl DependencyTable {
    /// Takes in the services that one run of `class` called, each named once or more.
    pub fn run_ended(&mut self, class: context::PriorityClass, called: &[name::ServiceName]) {
        let of_class = |known: &&mut ServiceShare| known.class == class;
        for known in self.shares.iter_mut().filter(of_class) {
            let hit = called.contains(&known.service);
            let target = if hit { 1.0 } else { 0.0 };
            known.share += (target - known.share) / SHARE_DIVISOR;
        }
        for service in called {
            self.add(class, service);
        }
    }

    /// Services that at least [`NEEDED_SHARE`] of the runs of `class` call.
    pub fn needed(
        &self,
        class: context::PriorityClass,
    ) -> impl Iterator<Item = &name::ServiceName> {
        let needed =
            move |known: &&ServiceShare| known.class == class && known.share >= NEEDED_SHARE;
        self.shares
            .iter()
            .filter(needed)
            .map(|known| &known.service)
    }

    fn add(&mut self, class: context::PriorityClass, service: &name::ServiceName) {
        let place = self
            .shares
            .binary_search_by(|known| (known.class, &known.service).cmp(&(class, service)));
        let Err(place) = place else {
            return;
        };
        if self.shares.len() == SERVICES_KEPT {
            self.drop_least();
            self.add(class, service);
            return;
        }
        let entry = ServiceShare {
            class,
            service: service.clone(),
            share: NEEDED_SHARE,
        };
        self.shares.insert(place, entry);
    }

    fn drop_least(&mut self) {
        let least = (0..self.shares.len())
            .min_by(|&a, &b| self.shares[a].share.total_cmp(&self.shares[b].share));
        if let Some(place) = least {
            self.shares.remove(place);
        }
    }
}
