//! Builds fleets of any size, with names of realistic length, as input of the measurements.

use cornelrail_lib::{
    key::{KeyHash, KeyRange},
    name::{Epoch, Fence, Incarnation, Node, Service, Target, Zone},
    version::{
        command::{Announcement, Move},
        fleet::{
            Assignment, Cause, EntryState, Fleet, ServiceKind, ServiceSettings, ServiceState,
            TargetPhase, TargetState, ZoneState,
        },
        report::{BusiestKey, EntryReport, RangeLoad},
    },
};
use std::{net::SocketAddr, time::Duration};

/// Number of ranges per target; above it the assigner merges cold neighbours.
pub const RANGES_PER_TARGET: usize = 16;
/// Number of availability zones that entries and targets are spread over.
pub const ZONES: usize = 13;
/// Name of the only service, which is keyed.
pub const SERVICE: &str = "payroll-core";

/// Number of the target that owns the range with number `range`.
pub fn owner_index(range: usize, targets: usize) -> usize {
    range % targets
}

/// Name of the target with this number.
pub fn target_name(number: usize) -> Target {
    Target(format!("payroll-core-{number:05}"))
}

/// Zone of the entry or target with this number.
pub fn zone_name(number: usize) -> Zone {
    Zone(format!("zone-{:02}", number % ZONES))
}

/// Fleet in which every range has an owner and every target serves and has a home entry.
pub fn fleet(ranges: usize, targets: usize, entries: usize) -> Fleet {
    let mut fleet = Fleet {
        index: 1,
        last_fence: Fence(ranges as u64 + 1),
        ..Fleet::default()
    };
    for number in 0..ZONES {
        fleet.zones.insert(zone_name(number), ZoneState::In);
    }
    for number in 0..entries {
        fleet
            .entries
            .insert(Node(number as u64), entry_state(number));
    }
    for number in 0..targets {
        let state = target_state(number, entries);
        fleet.targets.insert(target_name(number), state);
    }
    let key_ranges = KeyRange::partition(ranges as u64);
    let assignments = key_ranges.into_iter().enumerate();
    let state = ServiceState {
        settings: ServiceSettings {
            kind: ServiceKind::Keyed,
            once: vec!["POST /pay".to_owned()],
            low: Vec::new(),
            deadline: Duration::from_secs(2),
            repeat_window: Duration::ZERO,
        },
        ranges: assignments
            .map(|(number, range)| assignment(number, range, targets))
            .collect(),
        home: None,
    };
    fleet.services.insert(Service::from(SERVICE), state);
    fleet
}

fn entry_state(number: usize) -> EntryState {
    EntryState {
        zone: zone_name(number),
        incarnation: Incarnation(1_764_800_000_000),
        up_index: 0,
        first_incarnation: Incarnation(1_764_800_000_000),
        alive: true,
    }
}

fn target_state(number: usize, entries: usize) -> TargetState {
    TargetState {
        announcement: announcement(number),
        phase: TargetPhase::Serving,
        home: Some(Node((number % entries) as u64)),
        epoch: Epoch(1),
        former_homes: Vec::new(),
    }
}

/// Announcement of the target with this number.
pub fn announcement(number: usize) -> Announcement {
    Announcement {
        target: target_name(number),
        service: Service::from(SERVICE),
        zone: zone_name(number),
        address: SocketAddr::from(([10, 0, 0, 1], 8080)),
        slots: 4,
        incarnation: Incarnation(1_764_800_000_000),
    }
}

fn assignment(number: usize, range: KeyRange, targets: usize) -> Assignment {
    Assignment {
        range,
        owner: Some(target_name(owner_index(number, targets))),
        fence: Fence(number as u64 + 1),
        next: None,
        change_index: 1,
        cause: Cause::Granted,
    }
}

/// Move of the range with this number to target `to`, in a service that is partitioned evenly into
/// `ranges` ranges.
pub fn range_move(ranges: usize, number: usize, to: usize) -> Move {
    Move {
        service: Service::from(SERVICE),
        range: KeyRange::partition(ranges as u64)[number],
        to: target_name(to),
    }
}

/// Report of entry `node`, a plain heartbeat unless `with_loads` adds the load of each range whose
/// owner has its home there.
pub fn report(fleet: &Fleet, node: usize, with_loads: bool) -> EntryReport {
    let node = Node(node as u64);
    let state = &fleet.entries[&node];
    let mut report =
        EntryReport::heartbeat(node, state.zone.clone(), state.incarnation, fleet.index);
    if with_loads {
        let service = Service::from(SERVICE);
        let ranges = fleet.services[&service].ranges.iter();
        let homed = ranges.filter(|a| {
            let owner = a.owner.as_ref().and_then(|name| fleet.targets.get(name));
            owner.and_then(|state| state.home) == Some(node)
        });
        report.loads = homed.map(|a| range_load(&service, a.range)).collect();
    }
    report
}

fn range_load(service: &Service, range: KeyRange) -> RangeLoad {
    RangeLoad {
        service: service.clone(),
        range,
        rate: 188.0,
        p95_ms: 12.0,
        busiest_key: Some(BusiestKey {
            hash: KeyHash(range.first().0 + 1),
            rate: 3.0,
        }),
    }
}
