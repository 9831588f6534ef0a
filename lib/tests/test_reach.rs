//! When an entry takes itself for cut off from targets, and by which other entries it sends.

use cornelrail_lib::{
    moment::Moment,
    name::Zone,
    request::balance::{LinkCheck, NoPeer, Peers, Reach},
    version::{catalog::TargetId, feed::Peer},
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::{collections::BTreeSet, net::SocketAddr};

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn check(reached: usize, has_peer: bool) -> LinkCheck {
    LinkCheck {
        targets: 5,
        reached,
        has_peer,
    }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8_000 + number))
}

fn peers(zones: &[&str]) -> Peers {
    let list = zones.iter().enumerate().map(|(number, zone)| Peer {
        address: address(number as u16),
        zone: Zone::from(*zone),
        is_helpful: true,
    });
    let mut peers = Peers::default();
    peers.update(list.collect(), address(99));
    peers
}

/// All entries that are chosen over many draws.
fn chosen(peers: &Peers, zone: &str) -> BTreeSet<SocketAddr> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut draw = |below: usize| rng.next_u32() as usize % below;
    let choices = (0..100).map(|_| peers.choose(at(0), &Zone::from(zone), &[], &mut draw));
    choices.filter_map(Result::ok).collect()
}

#[test]
fn failures_of_one_target_call_for_no_check() {
    let mut reach = Reach::default();

    let first = reach.record_failure(at(0), TargetId(1));
    let same = reach.record_failure(at(10), TargetId(1));
    let old = reach.record_failure(at(4_000), TargetId(2));
    let other = reach.record_failure(at(5_000), TargetId(3));

    assert_eq!((first, same, old, other), (false, false, false, true));
}

#[test]
fn an_entry_that_reaches_other_entries_and_no_target_is_detached_until_most_are_back() {
    let mut reach = Reach::default();

    let lost = reach.record_check(at(0), check(0, true));
    let partly = reach.record_check(at(500), check(2, true));
    let still = reach.is_detached();
    let back = reach.record_check(at(1_000), check(3, true));

    assert_eq!((lost, partly, still, back), (true, false, true, true));
    assert!(!reach.is_detached());
}

/// A detour fills the link of a small entry now and then.
#[test]
fn a_detached_entry_whose_own_link_is_full_takes_its_links_to_targets_for_mended() {
    let mut reach = Reach::default();
    reach.record_check(at(0), check(0, true));

    let full = reach.record_check(at(500), check(0, false));
    let still = reach.is_detached();
    let back = reach.record_check(at(1_000), check(5, false));

    assert_eq!((full, still, back), (false, true, true));
}

/// Its own link is full, or it reaches some targets, such as those of another zone.
#[test]
fn an_entry_that_reaches_nobody_or_some_targets_is_not_detached() {
    let mut reach = Reach::default();

    let full = reach.record_check(at(0), check(0, false));
    let zone = reach.record_check(at(500), check(1, true));

    assert_eq!((full, zone, reach.is_detached()), (false, false, false));
}

#[test]
fn targets_that_are_down_make_every_entry_check_all_the_time() {
    let mut reach = Reach::default();
    let mut checks = 0;
    for millis in 0..5_000 {
        if reach.record_failure(at(millis), TargetId(millis as u32)) {
            reach.record_check(at(millis), check(1, true));
            checks += 1;
        }
    }

    assert!((4..=5).contains(&checks), "{checks} checks in 5 s");
}

#[test]
fn entries_of_the_own_zone_are_used_until_they_have_much_under_way() {
    let mut peers = peers(&["a", "a", "b", "c"]);

    let near = chosen(&peers, "a");
    for number in [0, 1] {
        (0..16).for_each(|_| peers.record_sent(address(number)));
    }
    let busy = chosen(&peers, "a");

    assert_eq!(near, [address(0), address(1)].into());
    assert!(
        busy.contains(&address(2)) && busy.contains(&address(3)),
        "{busy:?}"
    );
}

/// Each detached entry counts its own requests only, so what they send together is bounded by shares.
#[test]
fn the_rest_of_a_zone_serves_all_that_is_cut_off_there() {
    let mut list: Vec<Peer> = (0..8)
        .map(|number| Peer {
            address: address(number),
            zone: Zone::from("a"),
            is_helpful: number == 0,
        })
        .collect();
    list.extend((8..20).map(|number| Peer {
        address: address(number),
        zone: Zone::from("b"),
        is_helpful: true,
    }));
    let mut peers = Peers::default();
    peers.update(list, address(99));
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut draw = |below: usize| rng.next_u32() as usize % below;

    let choices = (0..800).map(|_| peers.choose(at(0), &Zone::from("a"), &[], &mut draw));
    let near = choices.filter(|choice| *choice == Ok(address(0))).count();

    assert!(
        (100..=250).contains(&near),
        "{near} of 800 by the one of the own zone"
    );
}

/// Requests that find no room on the way are refused at once.
#[test]
fn a_way_that_is_full_is_told_from_one_that_is_not_there() {
    let mut peers = peers(&["a", "b"]);
    let choose = |peers: &Peers| peers.choose(at(100), &Zone::from("a"), &[], |_| 0);
    for number in [0, 1] {
        (0..64).for_each(|_| peers.record_sent(address(number)));
    }
    let full = choose(&peers);
    peers.record_end(address(1));
    let room = choose(&peers);
    peers.record_unreached(at(50), address(0));
    peers.record_unreached(at(50), address(1));
    let unreached = choose(&peers);

    assert_eq!(full, Err(NoPeer::Full));
    assert_eq!(room, Ok(address(1)));
    assert_eq!(unreached, Err(NoPeer::Unreached));
}

#[test]
fn neither_itself_nor_entries_without_links_are_asked() {
    let mut peers = Peers::default();
    let peer = |number: u16, is_helpful: bool| Peer {
        address: address(number),
        zone: Zone::from("a"),
        is_helpful,
    };
    peers.update(
        vec![peer(1, true), peer(2, false), peer(3, true)],
        address(1),
    );

    assert_eq!(chosen(&peers, "a"), [address(3)].into());
}
