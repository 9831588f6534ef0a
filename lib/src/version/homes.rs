//! Choice of the entry that commands each target.
//!
//! A target without a living home gets one at once. Other changes cost the service a moment, so
//! they are made only to bring homes into the targets' zones, out of zones that are out of service,
//! or off entries that have far too many, and a few at a time.

use super::{
    command::Rehome,
    fleet::{Fleet, ServiceKind, TargetPhase, TargetState},
};
use crate::name::{Node, Service, Target, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// Slots, in parts of a target's own, by which two entries may differ.
const UNEVEN: u32 = 2;

/// What shares one home: a keyed target alone, or all targets of a pool.
#[derive(Debug)]
struct Unit<'a> {
    targets: Vec<&'a Target>,
    zone: Option<&'a Zone>,
    home: Option<Node>,
    slots: u32,
    whole: bool,
}

#[derive(Debug)]
struct Entries<'a> {
    slots: BTreeMap<Node, u32>,
    zones: BTreeMap<Node, &'a Zone>,
}

impl<'a> Entries<'a> {
    /// Living entries that stay and whose zones serve; if there are none, living ones that stay,
    /// and at last all living ones.
    fn new(fleet: &'a Fleet, leaving: &BTreeSet<Node>) -> Self {
        let living = |fit: &dyn Fn(Node, &Zone) -> bool| -> BTreeMap<Node, &'a Zone> {
            let alive = fleet.entries.iter().filter(|(_, e)| e.alive);
            alive
                .filter(|(node, e)| fit(**node, &e.zone))
                .map(|(node, e)| (*node, &e.zone))
                .collect()
        };
        let stays = |node: Node| !leaving.contains(&node);
        let mut zones = living(&|node, zone| stays(node) && fleet.zone_serves(zone));
        if zones.is_empty() {
            zones = living(&|node, _| stays(node));
        }
        if zones.is_empty() {
            zones = living(&|_, _| true);
        }
        let slots = zones.keys().map(|node| (*node, 0)).collect();
        Entries { slots, zones }
    }

    fn add(&mut self, node: Node, slots: u32) {
        if let Some(sum) = self.slots.get_mut(&node) {
            *sum += slots;
        }
    }

    fn take(&mut self, node: Node, slots: u32) {
        if let Some(sum) = self.slots.get_mut(&node) {
            *sum -= slots.min(*sum);
        }
    }

    fn fit(&self, node: Node) -> bool {
        self.slots.contains_key(&node)
    }

    /// Entry with the fewest slots, in the zone if it has any.
    fn least(&self, zone: Option<&Zone>) -> Option<Node> {
        let near = self.slots.iter().filter(|(node, _)| {
            let place = self.zones.get(node).copied();
            zone.is_some() && place == zone
        });
        let least = near.min_by_key(|(_, slots)| **slots);
        least
            .or_else(|| self.slots.iter().min_by_key(|(_, slots)| **slots))
            .map(|(node, _)| *node)
    }
}

fn units(fleet: &Fleet) -> Vec<Unit<'_>> {
    let mut pools: BTreeMap<&Service, Vec<(&Target, &TargetState)>> = BTreeMap::new();
    let mut units = Vec::new();
    for (name, state) in &fleet.targets {
        if state.phase == TargetPhase::Lost {
            continue;
        }
        let service = fleet.services.get(&state.info.service);
        if service.is_some_and(|s| s.settings.kind == ServiceKind::Pool) {
            let pool = pools.entry(&state.info.service).or_default();
            pool.push((name, state));
            continue;
        }
        units.push(Unit {
            targets: vec![name],
            zone: Some(&state.info.zone),
            home: state.home,
            slots: state.info.slots,
            whole: true,
        });
    }
    units.extend(pools.into_values().map(|pool| pool_unit(&pool)));
    units
}

fn pool_unit<'a>(pool: &[(&'a Target, &'a TargetState)]) -> Unit<'a> {
    let homes: BTreeSet<Option<Node>> = pool.iter().map(|(_, t)| t.home).collect();
    let zones: BTreeSet<&Zone> = pool.iter().map(|(_, t)| &t.info.zone).collect();
    Unit {
        targets: pool.iter().map(|(name, _)| *name).collect(),
        zone: zones.first().copied().filter(|_| zones.len() == 1),
        home: homes.iter().flatten().next().copied(),
        slots: pool.iter().map(|(_, t)| t.info.slots).sum(),
        whole: homes.len() == 1,
    }
}

/// Rehomes that are needed now, off `leaving` entries too, and up to `free` units that only improve
/// matters.
pub(super) fn plan(fleet: &Fleet, leaving: &BTreeSet<Node>, free: usize) -> Vec<Rehome> {
    let mut entries = Entries::new(fleet, leaving);
    let units = units(fleet);
    let mut list = Vec::new();
    for unit in &units {
        if let Some(home) = unit.home {
            entries.add(home, unit.slots);
        }
    }
    let stays = |home: Node| is_alive(fleet, home) && !leaving.contains(&home);
    let (homeless, settled): (Vec<_>, Vec<_>) =
        units.iter().partition(|unit| !unit.home.is_some_and(stays));
    for unit in homeless {
        let best = entries.least(unit.zone);
        if let Some(home) = best.filter(|best| unit.home != Some(*best)) {
            entries.add(home, unit.slots);
            list.extend(unit.to(home));
        }
    }
    for unit in &settled {
        if !unit.whole {
            list.extend(unit.home.into_iter().flat_map(|home| unit.to(home)));
        }
    }
    improve(&mut entries, &settled, free, &mut list);
    list
}

fn improve(entries: &mut Entries<'_>, units: &[&Unit<'_>], free: usize, list: &mut Vec<Rehome>) {
    let mut left = free;
    for unit in units {
        let Some(home) = unit.home.filter(|_| left > 0) else {
            continue;
        };
        let Some(better) = entries.least(unit.zone).filter(|better| *better != home) else {
            continue;
        };
        let near =
            |node: Node| unit.zone.is_some() && entries.zones.get(&node).copied() == unit.zone;
        let load = |node: Node| entries.slots.get(&node).copied().unwrap_or(0);
        let closer = near(better) && !near(home);
        let lighter = near(better) == near(home)
            && load(home) >= load(better) + UNEVEN * unit.slots
            && load(home) > unit.slots;
        if !entries.fit(home) || closer || lighter {
            entries.take(home, unit.slots);
            entries.add(better, unit.slots);
            list.extend(unit.to(better));
            left -= 1;
        }
    }
}

fn is_alive(fleet: &Fleet, node: Node) -> bool {
    fleet.entries.get(&node).is_some_and(|entry| entry.alive)
}

impl Unit<'_> {
    fn to(&self, home: Node) -> impl Iterator<Item = Rehome> {
        self.targets.iter().map(move |target| Rehome {
            target: (*target).clone(),
            home,
        })
    }
}
