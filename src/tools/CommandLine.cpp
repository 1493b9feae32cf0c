#include "tools/CommandLine.h"

#include "base/Error.h"
#include "base/Text.h"
#include "catalogue/EntryValue.h"
#include "settings/SettingValue.h"
#include "tools/DeclarationFile.h"

#include <charconv>
#include <cstdlib>
#include <gflags/gflags.h>

DEFINE_string(host, "127.0.0.1:7101", "entry hosts");
DEFINE_string(key_file, "", "file with the owner's key");
DEFINE_string(ca_file, "", "certificates in PEM");
DEFINE_string(timeout, "20s", "how long to wait");
DEFINE_string(change_id, "", "id of the change set");
DEFINE_string(from, "0", "first offset");
DEFINE_string(team, "", "team of the caller");
DEFINE_string(zone, "", "data centre of the caller");
DEFINE_string(new, "", "name of a new key");
DEFINE_bool(prune, false, "remove undeclared entries");
DEFINE_bool(json, false, "print JSON");
DECLARE_bool(help);

namespace banyanpick::tools {

namespace {

constexpr const char *KeyVariable = "BANYANPICK_KEY";

[[noreturn]] void throwUsage(const std::string &Problem) {
  throw Error(ErrorKind::BadInput, Problem, "see banyanpick --help");
}

/// The name of one flag and whether its value is part of the argument.
struct ParsedFlag {
  std::string Name;
  bool HasValue = false; ///< `--name=value`
};

ParsedFlag splitFlag(std::string_view Text) {
  Text.remove_prefix(std::min(Text.find_first_not_of('-'), Text.size()));
  const std::size_t Equals = Text.find('=');
  return {std::string(Text.substr(0, Equals)), Equals != Text.npos};
}

/// Checks the flags before gflags parses them, because gflags ends the process
/// with its own exit code on an unknown flag.
void checkFlags(int ArgumentCount, char **Arguments) {
  for (int Index = 1; Index < ArgumentCount; ++Index) {
    const std::string_view Text = Arguments[Index];
    if (!Text.starts_with("-") || Text == "-")
      continue;
    const ParsedFlag Flag = splitFlag(Text);
    gflags::CommandLineFlagInfo Info;
    if (!gflags::GetCommandLineFlagInfo(Flag.Name.c_str(), &Info))
      throwUsage("--" + Flag.Name + ": no such flag");
    if (Info.type == "bool" && Flag.HasValue)
      throwUsage("--" + Flag.Name + " takes no value");
    if (Info.type == "bool" || Flag.HasValue)
      continue;
    if (++Index >= ArgumentCount)
      throwUsage("--" + Flag.Name + " needs a value");
  }
}

std::string readKey() {
  if (!FLAGS_key_file.empty()) {
    const std::string Text = readWholeFile(FLAGS_key_file);
    return std::string(
        trimmed(std::string_view(Text).substr(0, Text.find('\n'))));
  }
  const char *Value = std::getenv(KeyVariable);
  return Value ? Value : "";
}

Duration parseTimeout() {
  const auto Value = parseDuration(FLAGS_timeout);
  if (!Value || *Value < Duration::zero())
    throwUsage("--timeout " + FLAGS_timeout +
               ": no valid duration; give one such as 20s or 500ms");
  return *Value;
}

std::uint64_t parseOffset() {
  const auto Value = parseNumber(SettingKind::Whole, FLAGS_from);
  if (!Value || *Value < 0 || *Value > 1e18)
    throwUsage("--from " + FLAGS_from + ": no valid offset");
  return static_cast<std::uint64_t>(*Value);
}

Options optionsFromFlags() {
  Options Result;
  Result.Hosts = parseHosts(FLAGS_host);
  Result.Key = readKey();
  Result.Timeout = parseTimeout();
  Result.Prune = FLAGS_prune;
  Result.ChangeId = FLAGS_change_id;
  Result.FromOffset = parseOffset();
  Result.Team = FLAGS_team;
  Result.Zone = FLAGS_zone;
  Result.NewKeyName = FLAGS_new;
  return Result;
}

} // namespace

CommandLine parseCommandLine(int ArgumentCount, char **Arguments) {
  checkFlags(ArgumentCount, Arguments);
  gflags::ParseCommandLineNonHelpFlags(&ArgumentCount, &Arguments, true);
  CommandLine Result;
  Result.Help = FLAGS_help;
  Result.Json = FLAGS_json;
  Result.CertificatesFile = FLAGS_ca_file;
  if (ArgumentCount < 2) {
    if (!Result.Help)
      throwUsage("no command is given");
    return Result;
  }
  Result.Command = findCommand(Arguments[1]);
  if (!Result.Command)
    throwUsage("'" + std::string(Arguments[1]) + "': no such command");
  if (Result.Help)
    return Result;
  Result.Opts = optionsFromFlags();
  Result.Opts.Arguments.assign(Arguments + 2, Arguments + ArgumentCount);
  if (Result.Opts.Arguments.size() != Result.Command->ArgumentCount)
    throw Error(ErrorKind::BadInput,
                std::string(Result.Command->Name) + " takes other arguments",
                "see banyanpick " + std::string(Result.Command->Name) +
                    " --help");
  return Result;
}

std::vector<Address> parseHosts(std::string_view Text) {
  std::vector<Address> Result;
  while (!Text.empty()) {
    const std::size_t Comma = std::min(Text.find(','), Text.size());
    const std::string_view HostText = trimmed(Text.substr(0, Comma));
    const SettingDeclaration Host{.Section = "",
                                  .Key = "host",
                                  .Kind = SettingKind::Address,
                                  .Default = "",
                                  .Help = ""};
    const std::string Problem = problemWith(Host, HostText);
    if (!Problem.empty())
      throwUsage("--host " + Problem);
    const std::size_t Colon = HostText.rfind(':');
    Address Parsed{std::string(HostText.substr(0, Colon)), 0};
    std::from_chars(HostText.data() + Colon + 1,
                    HostText.data() + HostText.size(), Parsed.Port);
    Result.push_back(std::move(Parsed));
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
  }
  if (Result.empty())
    throwUsage("no host is given in --host");
  return Result;
}

} // namespace banyanpick::tools
