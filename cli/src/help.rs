//! Help texts, each line at most 48 columns wide.

/// What help is asked about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Topic {
    /// The command as a whole.
    Command,
    /// `check`.
    Check,
    /// `note`.
    Note,
    /// `status`.
    Status,
    /// `explain`.
    Explain,
    /// `settings`.
    Settings,
    /// `keys`.
    Keys,
    /// `demo`.
    Demo,
    /// `stand-in`.
    StandIn,
}

const COMMAND: &str = "\
cornelrail check|note|status|explain|settings|
           keys|demo|stand-in [--json] [--help]";

const CHECK: &str = "\
cornelrail check FILE [--against FILE]
  what is wrong with a change of a seeded fleet,
  or with a set of all its items; sends nothing

--against FILE     all items in force; shows
                   what would differ
--json             one JSON object";

const NOTE: &str = "\
cornelrail note check FILE [--to ADDR]
  what a release note would do; changes nothing
cornelrail note apply FILE [--wait 6s]
  puts it in force; sending it again is safe
cornelrail note status FILE
  on which entries it is in force

--to ADDR[,ADDR]   operators' addresses; the
                   next if one is silent;
                   or CORNELRAIL_TO
--token-file FILE  or CORNELRAIL_TOKEN_FILE
--wait SPAN        wait till it is in force
--json             one JSON object";

const STATUS: &str = "\
cornelrail status [--to ADDR]
  leader, version, zones, services, entries

--to ADDR[,ADDR]   operators' addresses; the
                   next if one is silent;
                   or CORNELRAIL_TO
--token-file FILE  or CORNELRAIL_TOKEN_FILE
--json             one JSON object";

const EXPLAIN: &str = "\
cornelrail explain SERVICE/KEY [--to ADDR]
  who owns the key, under which fence, and why

--to ADDR[,ADDR]   operators' addresses; the
                   next if one is silent;
                   or CORNELRAIL_TO
--token-file FILE  or CORNELRAIL_TOKEN_FILE
--json             one JSON object";

const SETTINGS: &str = "\
cornelrail settings check FILE
  reads a daemon's settings; changes nothing

--json             one JSON object";

const KEYS: &str = "\
cornelrail keys make FOLDER --nodes N
  an authority and keys for entries 1 to N
cornelrail keys add FOLDER --node N
  keys for one more entry
cornelrail keys token FILE
  an operator's token, and its digest

--json             one JSON object";

const DEMO: &str = "\
cornelrail demo [--requests N]
  three entries and stand-in targets in one
  process; ends with a table of figures

--requests N       requests to send, 1000
--workload NAME    kindloon or nilebay
--fault NAME       none, slow, zone-out, kill
                   or cold
--policy NAME      weighted, modulo, consistent
                   or direct
--seed S           seed of all random choices
--load SHARE       of the targets' capacity, 0.5
--json             one JSON object";

const STAND_IN: &str = "\
cornelrail stand-in NAME --entry ADDR
  targets for trials; they run until the process
  is told to stop, then drain

--entry ADDR       an entry's targets' address;
                   may stand several times
--service NAME     payroll-core
--zone NAME        a
--count N          targets in this process, 1
--slots N          requests at once, 4
--pool             the service's keys have no
                   owners
--median SPAN      time of a request, 20ms
--drain SPAN       time to finish, 30s";

/// Help about a topic.
pub(crate) fn text(topic: Topic) -> &'static str {
    match topic {
        Topic::Command => COMMAND,
        Topic::Check => CHECK,
        Topic::Note => NOTE,
        Topic::Status => STATUS,
        Topic::Explain => EXPLAIN,
        Topic::Settings => SETTINGS,
        Topic::Keys => KEYS,
        Topic::Demo => DEMO,
        Topic::StandIn => STAND_IN,
    }
}

impl Topic {
    /// Name of the subcommand.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Topic::Command => "cornelrail",
            Topic::Check => "check",
            Topic::Note => "note",
            Topic::Status => "status",
            Topic::Explain => "explain",
            Topic::Settings => "settings",
            Topic::Keys => "keys",
            Topic::Demo => "demo",
            Topic::StandIn => "stand-in",
        }
    }

    /// Command line that prints the help about the topic.
    pub(crate) fn help_command(self) -> String {
        match self {
            Topic::Command => "cornelrail --help".to_owned(),
            _ => format!("cornelrail {} --help", self.name()),
        }
    }
}
