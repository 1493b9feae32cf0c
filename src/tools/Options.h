/// \file
/// The command line, parsed.
#pragma once

#include "base/Time.h"
#include "kernel/Upstream.h"

#include <string>
#include <vector>

namespace banyanpick::tools {

/// What the flags and arguments say.
struct Options {
  std::vector<std::string> Arguments; ///< Behind the command's name.
  std::vector<Address> Hosts;
  std::string Key; ///< `OWNER.SECRET`; empty when none was given.
  Duration Timeout = seconds(20);
  bool Prune = false;
  std::string ChangeId; ///< Empty: a fresh one.
  std::uint64_t FromOffset = 0;
  std::string Team;
  std::string Zone;
  std::string NewKeyName; ///< Of `digest`: make a key of this name.
};

} // namespace banyanpick::tools
