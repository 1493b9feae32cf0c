/// \file
/// From the process's arguments to Options, by gflags.
#pragma once

#include "tools/CommandTable.h"
#include "tools/Options.h"

namespace banyanpick::tools {

/// What was asked for.
struct CommandLine {
  const CommandHelp *Command = nullptr; ///< Null: the overview.
  bool Help = false;
  bool Json = false;
  std::string CertificatesFile;
  Options Opts;
};

/// Throws Error(BadInput) on unknown commands and flags and malformed values.
CommandLine parseCommandLine(int ArgumentCount, char **Arguments);

/// `ip:port[,ip:port]`. Throws Error(BadInput).
std::vector<Address> parseHosts(std::string_view Text);

} // namespace banyanpick::tools
