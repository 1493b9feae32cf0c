#include "tools/CommandTable.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace banyanpick::tools {

namespace {

constexpr std::array<CommandHelp, 12> Commands{{
    {"check", "FILE", 1, "", "Checks a file of declarations; needs no host.",
     R"(Every problem is reported with file, line, key, allowed values and remedy.
FILE may be - for standard input.
)"},
    {"fields", "", 0, "",
     "Prints the keys of a file of declarations, as a page.", ""},
    {"apply", "FILE", 1, "--prune --timeout --change_id",
     "Changes the catalogue in force to what FILE declares.",
     R"(Changes only the entries of the key's owner. Ends when the change is in force
on every live host, or names the hosts that are behind. After a lost answer,
asks for the verdict and never sends the change again.
)"},
    {"diff", "FILE", 1, "--prune", "Shows what apply would change.", ""},
    {"show", "", 0, "", "Prints the catalogue in force, in INI.", ""},
    {"history", "", 0, "--from", "Prints change sets with their verdicts.", ""},
    {"verdict", "CHANGE", 1, "", "Prints the verdict of a change set.", ""},
    {"status", "", 0, "", "Shows hosts, upstreams and quarantine.", ""},
    {"resolve", "", 0, "--team --zone",
     "Shows which hosts a caller is told to use; needs no key.", ""},
    {"digest", "", 0, "--new", "Prints the salted hash of a key.",
     R"(The key, NAME.SECRET, is read from --key_file, BANYANPICK_KEY or standard
input. The catalogue contains only the hash.
)"},
    {"keys", "", 0, "", "Makes the CURVE key pair of an entry host.", ""},
    {"quarantine", "release FINGERPRINT", 2, "",
     "Releases a quarantined request.", ""},
}};

constexpr std::string_view CommonHelp =
    R"(Common flags:
  --host IP:PORT[,IP:PORT]  entry hosts, tried in turn (default 127.0.0.1:7101)
  --key_file FILE           file with the owner's key, OWNER.SECRET
  --ca_file FILE            certificates in PEM; calls then go over TLS
  --json                    prints JSON
  --help                    this help, or that of a command
The key is read from --key_file or the environment variable BANYANPICK_KEY.

Exit codes:
  0  done
  1  rejected: somebody changed the same entry, or the change is not allowed
  2  wrong file, flag or argument
  3  no host answers, or the outcome is not known yet
  4  the key does not allow it
  5  accepted, but not in force on every live host
  6  internal error
)";

constexpr std::string_view FlagHelp[][2] = {
    {"--prune", "remove the owner's entries that FILE does not declare"},
    {"--timeout", "how long to wait for verdict and hosts (default 20s)"},
    {"--change_id", "id of the change set, to try an earlier one again"},
    {"--from", "first offset (default 0)"},
    {"--team", "team of the caller"},
    {"--zone", "data centre nearest to the caller"},
    {"--new", "NAME: make a new random key of this owner or team"},
};

} // namespace

std::span<const CommandHelp> allCommands() { return Commands; }

const CommandHelp *findCommand(std::string_view Name) {
  const auto Found = std::find_if(
      Commands.begin(), Commands.end(),
      [&](const CommandHelp &Command) { return Command.Name == Name; });
  return Found == Commands.end() ? nullptr : &*Found;
}

std::string overview() {
  std::string Result =
      "usage: banyanpick COMMAND [ARGUMENTS] [FLAGS]\n\n"
      "Operates a deployment through its catalogue.\n\nCommands:\n";
  for (const CommandHelp &Command : Commands)
    Result += fmt::format("  {:<32}{}\n",
                          fmt::format("{} {}", Command.Name, Command.Arguments),
                          Command.Summary);
  return Result + "\n" + std::string(CommonHelp);
}

std::string commandHelp(const CommandHelp &Command) {
  std::string Result =
      fmt::format("usage: banyanpick {}{}{} [FLAGS]\n\n{}\n{}\n", Command.Name,
                  Command.Arguments.empty() ? "" : " ", Command.Arguments,
                  Command.Summary, Command.Text);
  for (const auto &[Name, Text] : FlagHelp) {
    if (Command.Flags.find(Name) != std::string_view::npos)
      Result += fmt::format("  {:<14}{}\n", Name, Text);
  }
  return Result + (Command.Flags.empty() ? "" : "\n") + std::string(CommonHelp);
}

} // namespace banyanpick::tools
