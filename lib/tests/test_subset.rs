//! Targets of a pool that each entry of a zone prefers.

use cornelrail_lib::{
    request::balance::{Rank, preferred},
    version::catalog::TargetId,
};
use std::collections::{BTreeMap, BTreeSet};

fn targets(count: u32) -> BTreeSet<TargetId> {
    (1..=count).map(|number| TargetId(number * 3)).collect()
}

/// Guards against targets that most entries of a zone prefer, or none.
#[test]
fn each_target_is_preferred_by_as_many_entries() {
    for (entries, total, count) in [(20, 36, 8), (21, 24, 8), (63, 8, 4), (2, 300, 8)] {
        let targets = targets(total);
        let mut entries_of: BTreeMap<TargetId, usize> = BTreeMap::new();

        for place in 0..entries {
            let preferred = preferred(Rank { place, entries }, &targets, count);
            assert_eq!(preferred.len(), count);
            for id in preferred {
                *entries_of.entry(id).or_default() += 1;
            }
        }

        let mean = (entries * count) as f64 / f64::from(total);
        let most = entries_of.values().max().copied().unwrap_or_default();
        assert!(most as f64 <= mean + 2.0, "{most} of {mean}");
        if entries * count >= 2 * total as usize {
            assert_eq!(entries_of.len(), total as usize, "some have none");
        }
    }
}

/// Guards against a change of all preferences, and so of all connections, when one target joins.
#[test]
fn a_target_that_joins_changes_few_preferences() {
    let (before, after) = (targets(36), targets(37));
    for place in 0..20 {
        let rank = Rank { place, entries: 20 };

        let kept = preferred(rank, &before, 8)
            .into_iter()
            .filter(|id| preferred(rank, &after, 8).contains(id))
            .count();

        assert!(kept >= 6, "{kept} of 8 at place {place}");
    }
}

/// Guards against an empty choice in a zone with fewer targets than are preferred.
#[test]
fn a_small_zone_is_preferred_as_a_whole() {
    let rank = Rank {
        place: 3,
        entries: 7,
    };
    assert_eq!(preferred(rank, &targets(5), 8).len(), 5);
    assert!(preferred(rank, &targets(0), 8).is_empty());
}
