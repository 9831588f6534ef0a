//! Decides which entry is the home of each target, from the fleet state and the leaving entries.
//!
//! A target without a live home gets one at once. Any other rehome interrupts the service briefly,
//! so it happens only to bring a home into the zone of its target, out of a zone that is out of
//! service, or off an entry that has far more slots than another, and only a few at a time. The
//! last case answers imbalance between entries.

use super::{
    command::Rehome,
    fleet::{Fleet, ServiceKind, TargetPhase, TargetState},
};
use crate::name::{Node, Service, Target, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// Two entries must differ by this many times the slots of a home group before it moves.
const MIN_SLOT_DIFFERENCE_FACTOR: u32 = 2;

/// Targets that share one home: a single target of a keyed service, or all targets of a pool.
#[derive(Debug)]
struct HomeGroup<'a> {
    targets: Vec<&'a Target>,
    zone: Option<&'a Zone>,
    home: Option<Node>,
    slots: u32,
    same_home: bool,
}

/// Entries that may become homes, with the slots of the targets they have and their zones.
#[derive(Debug)]
struct CandidateEntries<'a> {
    slots: BTreeMap<Node, u32>,
    zones: BTreeMap<Node, &'a Zone>,
}

impl<'a> CandidateEntries<'a> {
    /// Selects the live entries that are not leaving and whose zones are in service. If there are
    /// none, those that are not leaving; if there are none either, all live ones.
    fn new(fleet: &'a Fleet, leaving: &BTreeSet<Node>) -> Self {
        let alive_where = |accepts: &dyn Fn(Node, &Zone) -> bool| -> BTreeMap<Node, &'a Zone> {
            let alive = fleet.entries.iter().filter(|(_, e)| e.alive);
            alive
                .filter(|(node, e)| accepts(**node, &e.zone))
                .map(|(node, e)| (*node, &e.zone))
                .collect()
        };
        let can_stay = |node: Node| !leaving.contains(&node);
        let mut zones = alive_where(&|node, zone| can_stay(node) && fleet.is_zone_in_service(zone));
        if zones.is_empty() {
            zones = alive_where(&|node, _| can_stay(node));
        }
        if zones.is_empty() {
            zones = alive_where(&|_, _| true);
        }
        let slots = zones.keys().map(|node| (*node, 0)).collect();
        CandidateEntries { slots, zones }
    }

    fn add(&mut self, node: Node, slots: u32) {
        if let Some(total) = self.slots.get_mut(&node) {
            *total += slots;
        }
    }

    fn subtract(&mut self, node: Node, slots: u32) {
        if let Some(total) = self.slots.get_mut(&node) {
            *total -= slots.min(*total);
        }
    }

    fn contains(&self, node: Node) -> bool {
        self.slots.contains_key(&node)
    }

    /// Entry with the fewest slots, preferably in the given zone.
    fn least_loaded(&self, zone: Option<&Zone>) -> Option<Node> {
        let in_zone = self.slots.iter().filter(|(node, _)| {
            let entry_zone = self.zones.get(node).copied();
            zone.is_some() && entry_zone == zone
        });
        let least_loaded = in_zone.min_by_key(|(_, slots)| **slots);
        least_loaded
            .or_else(|| self.slots.iter().min_by_key(|(_, slots)| **slots))
            .map(|(node, _)| *node)
    }
}

fn home_groups(fleet: &Fleet) -> Vec<HomeGroup<'_>> {
    let mut pools: BTreeMap<&Service, Vec<(&Target, &TargetState)>> = BTreeMap::new();
    let mut groups = Vec::new();
    for (name, state) in &fleet.targets {
        if state.phase == TargetPhase::Lost {
            continue;
        }
        let service = fleet.services.get(&state.announcement.service);
        if service.is_some_and(|s| s.settings.kind == ServiceKind::Pool) {
            let pool = pools.entry(&state.announcement.service).or_default();
            pool.push((name, state));
            continue;
        }
        groups.push(HomeGroup {
            targets: vec![name],
            zone: Some(&state.announcement.zone),
            home: state.home,
            slots: state.announcement.slots,
            same_home: true,
        });
    }
    groups.extend(pools.into_values().map(|pool| pool_group(&pool)));
    groups
}

/// Group of a pool. It has a zone only if all targets are in one, and prefers the home that some of
/// its targets already have.
fn pool_group<'a>(pool: &[(&'a Target, &'a TargetState)]) -> HomeGroup<'a> {
    let homes: BTreeSet<Option<Node>> = pool.iter().map(|(_, t)| t.home).collect();
    let zones: BTreeSet<&Zone> = pool.iter().map(|(_, t)| &t.announcement.zone).collect();
    HomeGroup {
        targets: pool.iter().map(|(name, _)| *name).collect(),
        zone: zones.first().copied().filter(|_| zones.len() == 1),
        home: homes.iter().flatten().next().copied(),
        slots: pool.iter().map(|(_, t)| t.announcement.slots).sum(),
        same_home: homes.len() == 1,
    }
}

/// Plans the rehomes of groups whose home is lost or leaving and of groups that are split between
/// homes, and those of up to `max_improvements` further groups that only improve the distribution.
pub(super) fn plan_homes(
    fleet: &Fleet,
    leaving: &BTreeSet<Node>,
    max_improvements: usize,
) -> Vec<Rehome> {
    let mut entries = CandidateEntries::new(fleet, leaving);
    let groups = home_groups(fleet);
    let mut rehomes = Vec::new();
    for group in &groups {
        if let Some(home) = group.home {
            entries.add(home, group.slots);
        }
    }
    let can_stay = |home: Node| is_alive(fleet, home) && !leaving.contains(&home);
    let (displaced, settled): (Vec<_>, Vec<_>) = groups
        .iter()
        .partition(|group| !group.home.is_some_and(can_stay));
    for group in displaced {
        let candidate = entries.least_loaded(group.zone);
        if let Some(home) = candidate.filter(|node| group.home != Some(*node)) {
            entries.add(home, group.slots);
            rehomes.extend(group.rehome_to(home));
        }
    }
    for group in &settled {
        if !group.same_home {
            rehomes.extend(
                group
                    .home
                    .into_iter()
                    .flat_map(|home| group.rehome_to(home)),
            );
        }
    }
    improve_homes(&mut entries, &settled, max_improvements, &mut rehomes);
    rehomes
}

/// Rehomes up to `max_improvements` groups whose home is no candidate, is in another zone than
/// their targets, or has too many slots.
fn improve_homes(
    entries: &mut CandidateEntries<'_>,
    groups: &[&HomeGroup<'_>],
    max_improvements: usize,
    rehomes: &mut Vec<Rehome>,
) {
    let mut remaining = max_improvements;
    for group in groups {
        let Some(home) = group.home.filter(|_| remaining > 0) else {
            continue;
        };
        let Some(better) = entries
            .least_loaded(group.zone)
            .filter(|better| *better != home)
        else {
            continue;
        };
        let in_zone =
            |node: Node| group.zone.is_some() && entries.zones.get(&node).copied() == group.zone;
        let load = |node: Node| entries.slots.get(&node).copied().unwrap_or(0);
        let is_closer = in_zone(better) && !in_zone(home);
        let is_lighter = in_zone(better) == in_zone(home)
            && load(home) >= load(better) + MIN_SLOT_DIFFERENCE_FACTOR * group.slots
            && load(home) > group.slots;
        if !entries.contains(home) || is_closer || is_lighter {
            entries.subtract(home, group.slots);
            entries.add(better, group.slots);
            rehomes.extend(group.rehome_to(better));
            remaining -= 1;
        }
    }
}

fn is_alive(fleet: &Fleet, node: Node) -> bool {
    fleet.entries.get(&node).is_some_and(|entry| entry.alive)
}

impl HomeGroup<'_> {
    fn rehome_to(&self, home: Node) -> impl Iterator<Item = Rehome> {
        self.targets.iter().map(move |target| Rehome {
            target: (*target).clone(),
            home,
        })
    }
}
