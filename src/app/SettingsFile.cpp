#include "app/SettingsFile.h"

#include "app/GatewaySettings.h"
#include "app/TrafficSettings.h"
#include "base/Error.h"
#include "http/HttpSettings.h"
#include "http/TlsServer.h"
#include "native/PlatformSettings.h"
#include "peers/PeerSettings.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace banyanpick {

namespace {

/// Runs a check and converts an Error that it throws into a problem.
template <class Function>
void check(Function Run, std::vector<SettingsProblem> &Problems) {
  try {
    Run();
  } catch (const Error &Failure) {
    Problems.push_back({0, "", "", Failure.what()});
  }
}

std::string place(const SettingsProblem &Problem) {
  if (Problem.Key.empty())
    return "";
  return fmt::format("[{}] {} ", Problem.Section, Problem.Key);
}

void report(const std::string &File, const SettingsProblem &Problem) {
  const std::string Line =
      Problem.Line > 0 ? fmt::format(":{}", Problem.Line) : "";
  fmt::print(stderr, "{}{}: {}{}\n", File, Line, place(Problem),
             Problem.Message);
}

} // namespace

std::optional<Settings>
readDaemonSettings(std::string_view Text,
                   std::vector<SettingsProblem> &Problems) {
  const auto Declarations = daemonSettingDeclarations();
  Settings Result = readSettings(Text, Declarations, Problems);
  std::ranges::copy(missingPeerKeys(Result), std::back_inserter(Problems));
  if (!Problems.empty())
    return std::nullopt;
  check([&] { identityFrom(Result, Incarnation(1)); }, Problems);
  check([&] { platformSettings(Result); }, Problems);
  check([&] { peerSettings(Result); }, Problems);
  if (servingFrom(Result) == ServingMode::Gateway)
    check([&] { gatewaySettings(Result); }, Problems);
  check([&] { makeTlsContext(httpSettings(Result)); }, Problems);
  if (!Problems.empty())
    return std::nullopt;
  return Result;
}

std::optional<Settings> readSettingsFile(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream) {
    fmt::print(stderr, "{}: can't be read; give --settings FILE\n",
               File.empty() ? "settings" : File);
    return std::nullopt;
  }
  std::ostringstream Text;
  Text << Stream.rdbuf();
  std::vector<SettingsProblem> Problems;
  auto Result = readDaemonSettings(Text.str(), Problems);
  std::stable_sort(Problems.begin(), Problems.end(),
                   [](const auto &First, const auto &Second) {
                     return First.Line < Second.Line;
                   });
  for (const SettingsProblem &Problem : Problems)
    report(File, Problem);
  return Result;
}

} // namespace banyanpick
