//! Tests of the package.

mod hosts;
mod links;
#[path = "../../lib/tests/property.rs"]
mod property;
mod test_answers;
mod test_capacity;
mod test_crashing;
mod test_detour;
mod test_docs;
mod test_drawn;
mod test_endless;
mod test_feed;
mod test_front;
mod test_full_disk;
mod test_hostile;
mod test_intent;
mod test_limits;
mod test_logging;
mod test_lost_words;
mod test_message;
mod test_notices;
mod test_odd_heartbeats;
mod test_operator;
mod test_pool;
mod test_processes;
mod test_program;
mod test_releases;
mod test_replica;
mod test_seeded;
mod test_stopping;
mod test_store;
mod test_streams;
mod test_targets_end;
mod test_trials;
mod test_voter;
mod test_voters;
