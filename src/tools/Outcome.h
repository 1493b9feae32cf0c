/// \file
/// What a command of the command line comes to.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace banyanpick::tools {

/// The process's exit code.
enum class ExitCode {
  Ok = 0,
  Rejected = 1,
  BadInput = 2, ///< Wrong file, flag or argument.
  Unavailable = 3,
  NotAllowed = 4,
  NotInForceEverywhere = 5,
  Internal = 6,
};

/// Printed on standard output: the text, or with --json the JSON.
struct Outcome {
  ExitCode Code = ExitCode::Ok;
  std::string Text;
  nlohmann::json Json;
};

} // namespace banyanpick::tools
