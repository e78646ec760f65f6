//! The texts of `--help`.

use derive_more::Display;

/// The command whose help text is shown.
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
  apply FILE            Apply a rule file
  rules show            Show the rules in force
  rules history         Show the rule changes that a node retains
  status                Show the fleet as a node sees it
  dump                  Show the whole state of a node
  explain METHOD URL    Show which rule decides a request, and why
  story ID LOG...       Reconstruct what happened to a request from the nodes' logs

Options of every command that contacts a node:
  --node URL            Admin endpoint, such as http://10.0.0.5:7070 [$ANVIL_NODE]
  --token-file FILE     File with the admin token [$ANVIL_TOKEN_FILE]
  --timeout SPAN        Timeout of each request, such as 500ms or 30s [15s]
  --json                Print the node's JSON unchanged
  -h, --help            Show help for the command

Exit codes:
  0  done
  1  refused: invalid rules, a conflict, a rejected token, or certainly not applied
  2  usage: the command line or a file can't be used
  3  unreachable: the node can't be reached, nothing was changed
  4  unknown: the answer was lost, the change may have been applied
  5  lagging: accepted, but not in force everywhere when --wait ran out
  6  absent: the requested item was not found
";

const CHECK: &str = "\
anvilctl check FILE... - check rule files without sending them

Every fault is reported with file, line, column, field and reason. A rule that can't be reached
causes a warning with the line of the rule that shadows it; warnings don't change the exit code.

Usage: anvilctl check FILE...

Exit codes: 0 valid, 1 faults, 2 a file can't be read.
";

const APPLY: &str = "\
anvilctl apply FILE - apply a rule file

The file is checked locally first. The node then writes it as a change to the platform's store. If
the answer is lost, the change is looked up by its id in the node's history.

Usage: anvilctl apply FILE --node URL [OPTIONS]

Options:
  --wait                Wait until all nodes have the new revision, or list those that lag
  --wait-limit SPAN     Longest wait for all nodes [60s]
  --base REVISION       Revision that the file is based on [its first line if written by
                        `rules show`, else the newest revision]
  --change ID           Id of the change in hex; use the id of an earlier attempt to repeat it safely
  --author NAME         Author of the change [$USER]

Exit codes: 0 in force, 1 faults, conflict or not applied, 2 usage, 3 unreachable, 4 unknown,
5 accepted but lagging.
";

const RULES: &str = "\
anvilctl rules show|history - show the rules of a node

  show      The rules in force as YAML; the first line contains their revision, so that
            `apply` refuses an edited copy if the rules have changed since
  history   The changes that the node retains, the newest last

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
anvilctl story ID FILE|DIR... - reconstruct what happened to a request from the nodes' logs

Shows the request's calls and attempts on all nodes in order of time, with decisions, waits and
durations. The last line gives the cause of the result. ID is the caller's id of the request, or the
root request's id.

Usage: anvilctl story ID FILE|DIR...

A file contains the log lines of one node and is named after it, or those of several nodes, each
line preceded by its node's name. Files that end in .gz are decompressed; - is the standard input.
Lines that can't be read are reported on the standard error and skipped.

Exit codes: 0 found, 2 a file can't be read, 6 no line names the request.
";

const EXPLAIN: &str = "\
anvilctl explain METHOD URL - show which rule decides a request, and why

The service is taken from the header anvil-service or the first label of the URL's host, as for a
caller. No request is sent to a target.

Usage: anvilctl explain METHOD URL [-H 'NAME: VALUE']... --node URL [--json]
       anvilctl explain METHOD URL [-H 'NAME: VALUE']... --rules FILE [--json]

Options:
  -H, --header LINE     A header of the request; may be given several times
  --rules FILE          Use a rule file instead of a node's rules
";
