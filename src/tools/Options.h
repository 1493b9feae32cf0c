/// \file
/// The options of the command line.
#pragma once

#include "base/Time.h"
#include "kernel/Upstream.h"

#include <string>
#include <vector>

namespace banyanpick::tools {

/// The parsed flags and arguments.
struct Options {
  std::vector<std::string> Arguments; ///< After the name of the command.
  std::vector<Address> Hosts;
  std::string Key; ///< `OWNER.SECRET`; empty if not given.
  Duration Timeout = seconds(20);
  bool Prune = false;
  std::string ChangeId; ///< If empty, a new id is used.
  std::uint64_t FromOffset = 0;
  std::string Team;
  std::string Zone;
  std::string NewKeyName; ///< Name of the key that `digest` creates.
};

} // namespace banyanpick::tools
