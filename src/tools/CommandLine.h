/// \file
/// Parses the arguments of the process with gflags.
#pragma once

#include "tools/CommandTable.h"
#include "tools/Options.h"

namespace banyanpick::tools {

/// The parsed command line.
struct CommandLine {
  const CommandHelp *Command =
      nullptr; ///< Null if only the overview is wanted.
  bool Help = false;
  bool Json = false;
  std::string CertificatesFile;
  Options Opts;
};

/// Throws Error(BadInput) for unknown commands, unknown flags and malformed
/// values.
CommandLine parseCommandLine(int ArgumentCount, char **Arguments);

/// Parses `ip:port[,ip:port]`. Throws Error(BadInput) if malformed or empty.
std::vector<Address> parseHosts(std::string_view Text);

} // namespace banyanpick::tools
