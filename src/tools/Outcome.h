/// \file
/// The result of a command of the command line.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace banyanpick::tools {

/// The exit code of the process.
enum class ExitCode {
  Ok = 0,
  Rejected = 1,
  BadInput = 2, ///< Invalid file, flag or argument.
  Unavailable = 3,
  NotAllowed = 4,
  NotInForceEverywhere = 5,
  Internal = 6,
};

/// Printed to standard output: the text, or the JSON with --json.
struct Outcome {
  ExitCode Code = ExitCode::Ok;
  std::string Text;
  nlohmann::json Json;
};

} // namespace banyanpick::tools
