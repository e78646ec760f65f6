//! The texts of `--help`.

use derive_more::Display;

/// What help is asked for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HelpTopic {
    /// All commands and exit codes.
    #[display("{OVERVIEW}")]
    Overview,
    /// `check`.
    #[display("{CHECK}")]
    Check,
    /// `apply`.
    #[display("{APPLY}")]
    Apply,
    /// `rules`.
    #[display("{RULES}")]
    Rules,
    /// `status`.
    #[display("{STATUS}")]
    Status,
    /// `dump`.
    #[display("{DUMP}")]
    Dump,
    /// `explain`.
    #[display("{EXPLAIN}")]
    Explain,
    /// `story`.
    #[display("{STORY}")]
    Story,
}

const OVERVIEW: &str = "\
anvilctl - the operators' command of anvilworks

Usage: anvilctl COMMAND [OPTIONS]

Commands:
  check FILE...         Check rule files without sending them
  apply FILE            Put a rule file in force
  rules show            Show the rules in force
  rules history         Show the changes that a node holds
  status                Show the fleet as a node sees it
  dump                  Show the whole state of a node
  explain METHOD URL    Tell which rule decides a request, and why
  story ID LOG...       Tell what became of a request, by the logs of the nodes

Options of every command that asks a node:
  --node URL            Admin endpoint, such as http://10.0.0.5:7070; else $ANVIL_NODE
  --token-file FILE     File that holds the admin token; else $ANVIL_TOKEN_FILE
  --timeout SPAN        Longest wait for the node, such as 500ms or 30s [15s]
  --json                Print the node's JSON as it came
  -h, --help            Show help for the command

Exit codes:
  0  done
  1  refused: wrong rules, a conflict, a token not accepted, or not applied for sure
  2  usage: the command line or a file can't be used
  3  unreachable: the node can't be reached, nothing was changed
  4  unknown: the answer was lost, the change may have been made
  5  lagging: accepted, but not in force everywhere when --wait ran out
  6  absent: what was asked for isn't there
";

const CHECK: &str = "\
anvilctl check FILE... - check rule files without sending them

Every fault is told with file, line, column, field and reason. Unreachable rules are warned of
with the line of the rule that shadows them; warnings don't change the exit code.

Usage: anvilctl check FILE...

Exit codes: 0 right, 1 faults, 2 a file can't be read.
";

const APPLY: &str = "\
anvilctl apply FILE - put a rule file in force

The file is checked here first, then the node makes a change of it and writes it to the platform's
store. An answer lost on the way is resolved by reading back the change's id.

Usage: anvilctl apply FILE --node URL [OPTIONS]

Options:
  --wait                Wait until all nodes have the new revision, or name those that lag
  --wait-limit SPAN     Longest wait for all nodes [60s]
  --base REVISION       Revision that the file was made from; else its first line as `rules show`
                        writes it, else the newest
  --change ID           Id of the change in hex; give the id of an earlier try to repeat it safely
  --author NAME         Who makes the change [$USER]

Exit codes: 0 in force, 1 faults, conflict or not applied, 2 usage, 3 unreachable, 4 unknown,
5 accepted but lagging.
";

const RULES: &str = "\
anvilctl rules show|history - show the rules of a node

  show      The rules in force as YAML; the first line holds their revision, so that a changed
            copy is refused by `apply` where somebody else was faster
  history   The changes that the node holds, the newest last

Usage: anvilctl rules show --node URL
       anvilctl rules history --node URL [--json]
";

const STATUS: &str = "\
anvilctl status - show the fleet as a node sees it

Usage: anvilctl status --node URL [--json]
";

const DUMP: &str = "\
anvilctl dump - show the whole state of a node

Usage: anvilctl dump --node URL [--json]
";

const STORY: &str = "\
anvilctl story ID FILE|DIR... - tell what became of a request, by the logs of the nodes

The request is followed over all nodes through its calls and repeats, in order of time: who decided
what, where it waited and what each try cost. The last line tells the cause in a sentence. ID is the
id that the caller has, or the root request's.

Usage: anvilctl story ID FILE|DIR...

A file holds the lines of one node and is named after it, or those of many, each behind its node's
name. Files whose names end in .gz are unpacked; - is the standard input. Lines that can't be read
are named on the standard error, and the others hold.

Exit codes: 0 told, 2 a file can't be read, 6 no line names the request.
";

const EXPLAIN: &str = "\
anvilctl explain METHOD URL - tell which rule decides a request, and why

The service is the header anvil-service or the first label of the URL's host, as for a caller. No
request is sent to any target.

Usage: anvilctl explain METHOD URL [-H 'NAME: VALUE']... --node URL [--json]
       anvilctl explain METHOD URL [-H 'NAME: VALUE']... --rules FILE [--json]

Options:
  -H, --header LINE     A header of the request; may be given several times
  --rules FILE          Decide by a file instead of a node's rules
";
