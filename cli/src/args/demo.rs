//! Arguments of `demo` and `stand-in`.

use super::{Command, reader::Reader};
use crate::{
    command::stand_in::StandInOptions,
    demo::{DemoOptions, Fault, Policy, Workload},
    error::CommandError,
};
use cornelrail_lib::process::unit::HumanDuration;

/// Most stand-ins of one process.
const COUNT_MAX: u32 = 1_000;
/// Most slots of a stand-in.
const SLOTS_MAX: u32 = 10_000;
/// Most requests of a demo.
const REQUESTS_MAX: u64 = 100_000_000;

/// Reads the rest of a `demo` command; `None` asks for help.
pub(super) fn parse_demo(reader: &mut Reader) -> Result<Option<Command>, CommandError> {
    let mut options = DemoOptions::default();
    let mut values = Vec::new();
    while let Some(option) = reader.option(&mut values)? {
        match option.as_str() {
            "help" => return Ok(None),
            "requests" => options.requests = reader.number("requests", REQUESTS_MAX)?,
            "seed" => options.seed = reader.parse("seed", "a whole number")?,
            "load" => options.load = load(reader)?,
            "workload" => options.workload = reader.one_of("workload", &WORKLOADS)?,
            "fault" => options.fault = reader.one_of("fault", &FAULTS)?,
            "policy" => options.policy = reader.one_of("policy", &POLICIES)?,
            _ => return Err(reader.unknown(&option)),
        }
    }
    let [] = reader.exact(values, "no further words")?;
    Ok(Some(Command::Demo(options)))
}

const WORKLOADS: [(&str, Workload); 2] = [
    ("kindloon", Workload::Kindloon),
    ("nilebay", Workload::Nilebay),
];
const FAULTS: [(&str, Fault); 5] = [
    ("none", Fault::None),
    ("slow", Fault::Slow),
    ("zone-out", Fault::ZoneOut),
    ("kill", Fault::Kill),
    ("cold", Fault::Cold),
];
const POLICIES: [(&str, Policy); 4] = [
    ("weighted", Policy::Weighted),
    ("modulo", Policy::Modulo),
    ("consistent", Policy::Consistent),
    ("direct", Policy::Direct),
];

/// Share of the targets' capacity.
fn load(reader: &mut Reader) -> Result<f64, CommandError> {
    const MAX: f64 = 10.0;
    let load: f64 = reader.parse("load", "a share such as 0.5")?;
    match load > 0.0 && load <= MAX {
        true => Ok(load),
        false => Err(CommandError::arguments(
            format!("`{load}` is no value for --load"),
            "write a share above 0 and up to 10, such as 0.5",
        )),
    }
}

/// Reads the rest of a `stand-in` command; `None` asks for help.
pub(super) fn parse_stand_in(reader: &mut Reader) -> Result<Option<Command>, CommandError> {
    let mut options = StandInOptions::default();
    let mut values = Vec::new();
    while let Some(option) = reader.option(&mut values)? {
        match option.as_str() {
            "help" => return Ok(None),
            "service" => options.service = reader.value()?,
            "zone" => options.zone = reader.value()?,
            "entry" => options
                .entries
                .push(reader.parse("entry", "an address such as 10.0.0.1:7102")?),
            "count" => options.count = reader.number("count", COUNT_MAX.into())? as u32,
            "slots" => options.slots = reader.number("slots", SLOTS_MAX.into())? as u32,
            "pool" => options.keyed = false,
            "median" => {
                options.median = reader
                    .parse::<HumanDuration>("median", "a span such as 20ms")?
                    .0
            }
            "drain" => {
                options.drain = reader
                    .parse::<HumanDuration>("drain", "a span such as 30s")?
                    .0
            }
            _ => return Err(reader.unknown(&option)),
        }
    }
    let [name] = reader.exact(values, "NAME")?;
    if options.entries.is_empty() {
        return Err(CommandError::arguments(
            "no entry to announce to",
            "add --entry ADDR, the targets' address of an entry",
        ));
    }
    options.name = name;
    Ok(Some(Command::StandIn(options)))
}
