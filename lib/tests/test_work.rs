//! Factors of the work of routes.

use cornelrail_lib::{name::Service, request::balance::WorkFactors};
use std::time::Duration;

fn factors(answers: impl Iterator<Item = (&'static str, u64)>) -> impl Fn(&str) -> f64 {
    let service = Service::from("pool");
    let mut factors = WorkFactors::default();
    for (route, millis) in answers {
        factors.record(&service, route, Duration::from_millis(millis));
    }
    move |route| factors.factor(&service, route)
}

#[test]
fn a_factor_is_the_mean_of_a_route_over_that_of_its_service() {
    let both = factors((0..200).flat_map(|_| [("short", 130), ("long", 750)]));
    let few = factors((0..7).flat_map(|_| [("short", 130), ("long", 750)]));
    let alone = factors((0..200).map(|_| ("short", 130)));

    assert!((both("short") - 0.3).abs() < 0.02, "{}", both("short"));
    assert!((both("long") - 1.7).abs() < 0.03, "{}", both("long"));
    assert_eq!((both("new"), few("short"), alone("short")), (1.0, 1.0, 1.0));
}

/// A mean of the times themselves would triple for a while.
#[test]
fn a_request_of_the_long_tail_hardly_moves_a_factor() {
    let usual = || (0..100).flat_map(|_| [("short", 130), ("long", 750)]);
    let tail = [("short", 7 * 130)];

    let before = factors(usual())("short");
    let after = factors(usual().chain(tail))("short");

    assert!(after / before < 1.05, "{before} {after}");
}

#[test]
fn a_factor_stays_in_its_bounds_and_a_route_out_of_use_is_forgotten() {
    let extreme = factors((0..2_000).map(|n| {
        if n % 100 == 0 {
            ("long", 60_000)
        } else {
            ("short", 1)
        }
    }));
    let left = factors((0..1_000).map(|n| {
        if n < 100 && n % 2 == 0 {
            ("long", 750)
        } else {
            ("short", 130)
        }
    }));

    assert_eq!(extreme("long"), 10.0);
    assert!((left("short") - 1.0).abs() < 0.01, "{}", left("short"));
}
