//! Benchmark of the slopes of docs/CAPACITY.md that need no socket and no disk.
//!
//! A slope is the growth of a cost (time, bytes or memory) with a size, such as the number of
//! ranges or targets.
//!
//! Usage: `cargo run --release -p cornelrail-lib --example slopes -- docs/capacity`. Writes
//! `lib.csv` and one plot per slope to the folder, and prints the fitted lines.

mod control;
mod fit;
mod fixtures;
mod memory;
mod plot;
mod request;
mod state;
mod table;
mod voters;

use fit::Fit;
use std::{env, error::Error, path::PathBuf};
use table::{RUNS, Table};

fn main() -> Result<(), Box<dyn Error>> {
    let folder = PathBuf::from(env::args().nth(1).unwrap_or("docs/capacity".to_owned()));
    let mut table = Table::default();
    memory::measure(&mut table);
    for run in 1..=RUNS {
        control::measure(&mut table, run);
        state::measure(&mut table, run);
        request::measure(&mut table, run);
    }
    table.write(&folder.join("lib.csv"))?;
    plot::write(&table, &folder)?;
    for slope in table.slopes() {
        let points: Vec<_> = table.of(slope).collect();
        println!("{slope}: {}", Fit::of(&points));
    }
    Ok(())
}
