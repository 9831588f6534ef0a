//! Partitions and splits of key ranges have neither gaps nor overlaps.

use cornelrail_lib::key::{KeyHash, KeyRange};

crate::properties! {
    fn a_partition_covers_the_hash_space(count: u16) -> bool {
        let ranges = KeyRange::partition(u64::from(count));
        let width: u128 = ranges.iter().map(KeyRange::width).sum();
        width == KeyRange::FULL.width() && ranges.windows(2).all(|w| !w[0].overlaps(&w[1]))
    }

    fn the_parts_of_a_split_cover_the_range(first: u64, last: u64, at: u64) -> bool {
        let Some(range) = KeyRange::new(KeyHash(first), KeyHash(last)) else {
            return first > last;
        };
        match range.split(KeyHash(at)) {
            None => at <= first || at > last,
            Some((below, above)) => {
                below.width() + above.width() == range.width() && !below.overlaps(&above)
            }
        }
    }
}
