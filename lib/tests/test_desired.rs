//! Desired state under changes that are concurrent, repeated, late or invalid, and its routing.

use cornelrail_lib::{
    name::Service,
    version::{
        catalog::{Catalog, Update},
        desired::{
            Backend, Change, ChangeError, ChangesInFlight, DesiredState, Item, ItemVersion, Review,
            Route, RouteKind, Routing, ServiceSpec, Severity, WEIGHT_UNIT,
        },
        feed::FromCore,
    },
};
use quickcheck::{Arbitrary, Gen, TestResult};
use std::{collections::BTreeMap, time::Duration};

fn item<T>(version: u64, value: Option<T>) -> Item<T> {
    Item {
        version: ItemVersion(version),
        value,
        source: format!("{{\"version\":{version}}}"),
    }
}

fn service_spec() -> ServiceSpec {
    ServiceSpec {
        health: "/health".to_owned(),
        connections: 10,
        cold_period: Duration::ZERO,
        cold_rate: 1_000,
        keyed: false,
        warmup: Duration::ZERO,
    }
}

fn route(prefix: &str, timeout: u64, weight: u32) -> Route {
    Route {
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_millis(timeout),
        latency_goal: Duration::from_millis(100),
        priority: 1,
        backends: vec![Backend {
            service: Service::from("s"),
            weight,
        }],
        attempts: 2,
    }
}

fn route_change(version: u64, route: Option<Route>) -> Change {
    let mut change = Change::default();
    change.routes.insert("r".to_owned(), item(version, route));
    change
}

fn desired() -> DesiredState {
    let mut change = route_change(7, Some(route("/a/", 500, WEIGHT_UNIT)));
    change
        .services
        .insert(Service::from("s"), item(7, Some(service_spec())));
    let mut desired = DesiredState::default();
    desired.apply(&change).unwrap();
    desired
}

#[test]
fn the_highest_version_wins_in_any_order() {
    let older = route_change(9, Some(route("/old/", 500, WEIGHT_UNIT)));
    let newer = route_change(12, Some(route("/new/", 500, WEIGHT_UNIT)));
    let mut first = desired();
    let mut second = desired();

    first.apply(&older).unwrap();
    first.apply(&newer).unwrap();
    second.apply(&newer).unwrap();
    second.apply(&older).unwrap();

    assert_eq!(first, second);
    assert_eq!(first.routes["r"].version, ItemVersion(12));
}

#[test]
fn a_repeated_change_is_idempotent() {
    let change = route_change(9, Some(route("/b/", 500, WEIGHT_UNIT)));
    let mut desired = desired();

    let first = desired.apply(&change);
    let repeated = desired.apply(&change);

    assert_eq!((first, repeated), (Ok(1), Ok(0)));
}

#[test]
fn a_dropped_item_does_not_come_back_by_a_late_order() {
    let mut desired = desired();
    desired.apply(&route_change(10, None)).unwrap();

    let late = desired.apply(&route_change(9, Some(route("/b/", 500, WEIGHT_UNIT))));

    assert_eq!(late, Ok(0));
    assert!(Routing::of(&desired).find("h", "/b/x").is_none());
}

#[test]
fn two_operators_cannot_give_one_version_two_meanings() {
    let mut desired = desired();
    desired
        .apply(&route_change(9, Some(route("/b/", 500, WEIGHT_UNIT))))
        .unwrap();

    let conflicting = desired.apply(&route_change(9, Some(route("/c/", 500, WEIGHT_UNIT))));

    assert!(matches!(conflicting, Err(ChangeError::Conflict { .. })));
    assert!(Routing::of(&desired).find("h", "/b/x").is_some());
}

#[test]
fn no_part_of_an_invalid_order_comes_into_force() {
    let invalid_routes = [
        route("/b/", 0, WEIGHT_UNIT),
        route("/b/", 600_001, WEIGHT_UNIT),
        route("/b/", 500, 0),
        route("b/", 500, WEIGHT_UNIT),
        Route {
            backends: vec![Backend {
                service: Service::from("other"),
                weight: WEIGHT_UNIT,
            }],
            ..route("/b/", 500, WEIGHT_UNIT)
        },
    ];

    for route in invalid_routes {
        let mut change = route_change(9, Some(route.clone()));
        let valid = self::route("/good/", 500, WEIGHT_UNIT);
        change
            .routes
            .insert("good".to_owned(), item(9, Some(valid)));
        let mut desired = desired();
        let before = desired.clone();

        assert!(desired.apply(&change).is_err(), "{route:?}");
        assert_eq!(desired, before);
    }
}

#[test]
fn a_route_may_name_a_service_of_the_same_order() {
    let mut change = Change::default();
    change
        .routes
        .insert("r".to_owned(), item(1, Some(route("/a/", 500, 1))));
    change
        .services
        .insert(Service::from("s"), item(1, Some(service_spec())));

    assert_eq!(DesiredState::default().apply(&change), Ok(2));
}

fn service_change(version: u64, spec: Option<ServiceSpec>) -> Change {
    let mut change = Change::default();
    let item = item(version, spec);
    change.services.insert(Service::from("s"), item);
    change
}

#[test]
fn a_service_that_a_route_names_cannot_be_removed() {
    let desired = desired();
    let mut with_its_route = service_change(8, None);
    with_its_route.routes.insert("r".to_owned(), item(8, None));

    let alone = desired.admit(service_change(8, None));
    let together = desired.admit(with_its_route);

    assert!(
        matches!(alone, Err(ChangeError::ServiceInUse { .. })),
        "{alone:?}"
    );
    assert!(together.is_ok(), "{together:?}");
}

#[test]
fn a_route_cannot_name_a_service_that_the_same_or_an_older_change_removes() {
    let mut desired = desired();
    let mut removal = service_change(8, None);
    removal.routes.insert("r".to_owned(), item(8, None));
    let mut both = removal.clone();
    both.routes.insert(
        "r".to_owned(),
        item(9, Some(route("/a/", 500, WEIGHT_UNIT))),
    );
    let mut with_older_service = service_change(7, Some(service_spec()));
    with_older_service.routes = both.routes.clone();

    let same = desired.admit(both);
    desired.apply(&removal).unwrap();
    let older = desired.admit(with_older_service);

    assert!(
        matches!(same, Err(ChangeError::UnknownService { .. })),
        "{same:?}"
    );
    assert!(
        matches!(older, Err(ChangeError::UnknownService { .. })),
        "{older:?}"
    );
}

#[test]
fn an_acknowledged_change_that_was_overtaken_is_acknowledged_again() {
    let mut desired = desired();
    let first = route_change(8, Some(route("/b/", 500, WEIGHT_UNIT)));
    desired.apply(&first).unwrap();
    let mut removal = service_change(8, None);
    removal.routes.insert("r".to_owned(), item(9, None));
    desired.apply(&removal).unwrap();

    let again = desired.admit(first);

    assert_eq!(again, Ok(Change::default()));
}

#[test]
fn the_removal_of_a_service_is_judged_alone() {
    let mut changes = ChangesInFlight::default();
    let to_route = route_change(8, Some(route("/b/", 500, WEIGHT_UNIT)));
    let removal = service_change(8, None);

    changes.begin(1, &to_route);
    let behind_a_route = changes.allows(&removal);
    changes.end(1);
    let alone = changes.allows(&removal);
    changes.begin(2, &removal);
    let behind_a_removal = changes.allows(&to_route);
    changes.end(2);

    assert_eq!(
        (behind_a_route, alone, behind_a_removal),
        (false, true, false)
    );
    assert!(changes.allows(&to_route));
}

/// Changes of a few routes and services at a few versions, each name at most once per change.
#[derive(Debug, Clone)]
struct DrawnChanges(Vec<Change>);

const SERVICES: [&str; 3] = ["s", "t", "u"];

impl Arbitrary for DrawnChanges {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 30;
        DrawnChanges((0..count).map(|_| drawn_change(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let changes = self.0.clone();
        Box::new((0..changes.len()).map(move |left_out| {
            let mut fewer = changes.clone();
            fewer.remove(left_out);
            DrawnChanges(fewer)
        }))
    }
}

fn drawn_change(g: &mut Gen) -> Change {
    let mut change = Change::default();
    for name in ["p", "q", "r"] {
        let version = u64::arbitrary(g) % 12;
        match u8::arbitrary(g) % 4 {
            0 => drop(change.routes.insert(name.to_owned(), item(version, None))),
            1 => {
                // The content depends on the version, as operators do not repeat one.
                let service = Service::from(SERVICES[version as usize % SERVICES.len()]);
                let mut route = route("/a/", 500, WEIGHT_UNIT);
                route.backends[0].service = service;
                let item = item(2 * version + 1, Some(route));
                change.routes.insert(name.to_owned(), item);
            }
            _ => {}
        }
    }
    for name in SERVICES {
        let version = u64::arbitrary(g) % 12;
        let item = match u8::arbitrary(g) % 4 {
            0 => item(2 * version, None),
            1 => item(2 * version + 1, Some(service_spec())),
            _ => continue,
        };
        change.services.insert(Service::from(name), item);
    }
    for item in change
        .routes
        .values_mut()
        .filter(|item| item.value.is_none())
    {
        item.version = ItemVersion(2 * item.version.0);
    }
    change
}

/// Version and content of each item: the service of a route, nothing of a service; `None` if removed.
type Versions = BTreeMap<String, (u64, Option<Option<String>>)>;

/// Highest version of each item by a plain map, and whether each route then has its services.
fn reference(held: &Versions, change: &Change) -> Option<Versions> {
    let mut after = held.clone();
    let routes = change.routes.iter().map(|(name, item)| {
        let service = item.value.as_ref().map(|route| &route.backends[0].service);
        let content = service.map(|service| Some(service.to_string()));
        (format!("route {name}"), item.version.0, content)
    });
    let services = change.services.iter().map(|(name, item)| {
        (
            format!("service {name}"),
            item.version.0,
            item.value.as_ref().map(|_| None),
        )
    });
    let known = |name: &String| {
        let sent = change.services.get(&Service::from(name.as_str()));
        let key = format!("service {name}");
        sent.is_some_and(|item| item.value.is_some()) || held.contains_key(&key)
    };
    for (key, version, content) in routes.chain(services) {
        if let Some(Some(service)) = &content
            && !known(service)
        {
            return None;
        }
        if after.get(&key).is_none_or(|(old, _)| *old < version) {
            after.insert(key, (version, content));
        }
    }
    let services: Vec<String> = after
        .values()
        .filter_map(|(_, content)| content.clone().flatten())
        .collect();
    let in_force = |name: String| {
        after
            .get(&format!("service {name}"))
            .is_some_and(|s| s.1.is_some())
    };
    services.into_iter().all(in_force).then_some(after)
}

crate::properties! {
    fn changes_lead_to_the_highest_versions_and_never_to_an_invalid_state(
        changes: DrawnChanges
    ) -> TestResult {
        let mut desired = DesiredState::default();
        let mut expected = BTreeMap::new();

        for change in changes.0 {
            let admitted = desired.admit(change.clone());
            let next = reference(&expected, &change);
            if admitted.is_ok() != next.is_some() {
                return TestResult::error(format!("{change:?}: {admitted:?}"));
            }
            if let (Ok(admitted), Some(next)) = (admitted, next) {
                // Replicas of another release apply what is left by their own rules.
                if let Err(error) = desired.apply(&admitted) {
                    return TestResult::error(format!("{admitted:?}: {error}"));
                }
                let again = desired.admit(change.clone());
                if again != Ok(Change::default()) {
                    return TestResult::error(format!("sent again: {again:?}"));
                }
                expected = next;
            }
        }

        let routes = desired.routes.iter().map(|(name, item)| (format!("route {name}"), item.version.0));
        let services =
            desired.services.iter().map(|(name, item)| (format!("service {name}"), item.version.0));
        let held: BTreeMap<String, u64> = routes.chain(services).collect();
        let expected = expected.into_iter().map(|(name, (version, _))| (name, version)).collect();
        TestResult::from_bool(held == expected)
    }

    fn a_review_disagrees_with_the_leader(changes: DrawnChanges) -> TestResult {
        let mut desired = DesiredState::default();

        for change in changes.0 {
            let admitted = desired.admit(change.clone());
            let review = Review::of(&change, Some(&desired), false, |_| "word");
            if (review.worst() == Some(Severity::Error)) != admitted.is_err() {
                return TestResult::error(format!("{change:?}: {admitted:?}, {review:?}"));
            }
            let Ok(admitted) = admitted else {
                continue;
            };
            let mut after = desired.clone();
            after.apply(&admitted).expect("an admitted change");
            let in_force = |state: &DesiredState| -> Vec<String> {
                let routes = state.routes.iter().filter(|(_, item)| item.value.is_some());
                let services = state.services.iter().filter(|(_, item)| item.value.is_some());
                let routes = routes.map(|(name, item)| format!("{name} {}", item.version));
                routes.chain(services.map(|(name, item)| format!("{name} {}", item.version))).collect()
            };
            if review.differences.is_empty() != (in_force(&after) == in_force(&desired)) {
                return TestResult::error(format!("{change:?}: {review:?}"));
            }
            desired = after;
        }
        TestResult::passed()
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut change = route_change(9, Some(route("/a/", 500, WEIGHT_UNIT)));
    change.routes.insert(
        "longer".to_owned(),
        item(9, Some(route("/a/b/", 500, WEIGHT_UNIT))),
    );
    let mut desired = desired();
    desired.apply(&change).unwrap();
    let routing = Routing::of(&desired);

    let route_name = |host, path| routing.find(host, path).map(|found| found.name.to_owned());

    assert_eq!(route_name("h", "/a/b/c").as_deref(), Some("longer"));
    assert_eq!(route_name("H", "/a/c").as_deref(), Some("r"));
    assert_eq!(route_name("h", "/c"), None);
    assert_eq!(route_name("other", "/a/c"), None);
}

#[test]
fn the_feed_omits_the_source_text_of_changes() {
    let source = "as the operator wrote it ".repeat(100);
    let mut change = Change::default();
    let mut service_item = item(7, Some(service_spec()));
    service_item.source = source.clone();
    change.services.insert(Service::from("s"), service_item);
    let mut catalog = Catalog::default();
    let update = Update::Desired(change);
    catalog.apply(&update);

    let snapshot = FromCore::snapshot(3, &catalog);
    let updates = FromCore::updates(3, vec![update]);

    for message in [&snapshot, &updates] {
        let bytes = postcard::to_stdvec(message).unwrap();
        assert!(bytes.len() < source.len() / 4, "{} bytes", bytes.len());
    }
    let FromCore::Snapshot(3, replica) = snapshot else {
        panic!("{snapshot:?}");
    };
    assert_eq!(replica.desired.service("s"), Some(&service_spec()));
}

#[test]
fn a_route_is_last_where_a_more_urgent_one_leads_to_a_service_of_it() {
    let route_with_priority = |host: &str, priority, services: &[&str]| {
        let backends = services.iter().map(|name| Backend {
            service: Service::from(*name),
            weight: WEIGHT_UNIT,
        });
        Route {
            host: host.to_owned(),
            priority,
            backends: backends.collect(),
            ..route("/", 500, WEIGHT_UNIT)
        }
    };
    let mut change = Change::default();
    for name in ["s", "t", "u"] {
        let item = item(7, Some(service_spec()));
        change.services.insert(Service::from(name), item);
    }
    for (name, priority, services) in [
        ("first", 0, &["s"][..]),
        ("second", 1, &["t", "s"]),
        ("equal", 0, &["s"]),
        ("apart", 9, &["u"]),
        ("dropped", 0, &["u"]),
    ] {
        let route = route_with_priority(name, priority, services);
        change.routes.insert(name.to_owned(), item(7, Some(route)));
    }
    let mut desired = DesiredState::default();
    desired.apply(&change).unwrap();
    let mut removal = Change::default();
    removal.routes.insert("dropped".to_owned(), item(8, None));
    desired.apply(&removal).unwrap();

    let routing = Routing::of(&desired);

    let is_lowest = |host| routing.find(host, "/x").map(|found| found.lowest_priority);
    assert_eq!(is_lowest("first"), Some(false));
    assert_eq!(is_lowest("second"), Some(true));
    assert_eq!(is_lowest("equal"), Some(false));
    assert_eq!(is_lowest("apart"), Some(false));
    assert_eq!(is_lowest("dropped"), None);
}
