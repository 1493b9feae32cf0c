/// \file
/// The main program of the entry host, banyanpickd.
#include "app/Daemon.h"
#include "app/GatewayDaemon.h"
#include "app/SettingsFile.h"
#include "app/TrafficSettings.h"
#include "logging/LineLog.h"
#include "settings/SettingsPage.h"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sodium.h>

DEFINE_string(settings, "", "settings file (INI)");
DEFINE_bool(check, false, "only check the settings");
DEFINE_bool(settings_page, false, "print the page of all settings");
namespace banyanpick {

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

std::uint64_t randomNumber() {
  std::uint64_t Result = 0;
  randombytes_buf(&Result, sizeof(Result));
  return Result;
}

int runDaemon(const Settings &Values) {
  configureLog(Values);
  if (servingFrom(Values) == ServingMode::Gateway) {
    // A change of the settings may be signalled before the host handles
    // signals. The host looks at the file again without a signal.
    std::signal(SIGHUP, SIG_IGN);
    GatewayDaemon Host(Values, FLAGS_settings, Incarnation(randomNumber()),
                       randomNumber());
    Host.run();
    return 0;
  }
  Daemon Host(Values, Incarnation(randomNumber()), randomNumber());
  Host.run();
  return 0;
}

int runProgram() {
  if (FLAGS_settings_page) {
    fmt::print("{}", settingsPage(daemonSettingDeclarations()));
    return 0;
  }
  const auto Values = readSettingsFile(FLAGS_settings);
  if (!Values)
    return ExitBadSettings;
  if (FLAGS_check) {
    fmt::print("{}: all settings are right\n", FLAGS_settings);
    return 0;
  }
  return runDaemon(*Values);
}

} // namespace
} // namespace banyanpick

int main(int Count, char **Values) {
  using namespace banyanpick;
  gflags::SetUsageMessage("runs an entry host: banyanpickd --settings FILE");
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  std::signal(SIGPIPE, SIG_IGN);
  if (sodium_init() < 0)
    return ExitFailed;
  try {
    return runProgram();
  } catch (const Error &Failure) {
    fmt::print(stderr, "banyanpickd: {}\n", Failure.what());
    return Failure.kind() == ErrorKind::BadInput ? ExitBadSettings : ExitFailed;
  }
}
