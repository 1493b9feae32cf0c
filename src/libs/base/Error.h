/// \file
/// The error class that banyanpick throws. Each message ends with a remedy.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace banyanpick {

/// The category of an error.
enum class ErrorKind {
  BadInput,    ///< The input is malformed; correct it and retry.
  NotAllowed,  ///< The key does not permit the operation.
  Conflict,    ///< A concurrent change was applied first.
  Unavailable, ///< An external service does not answer; retry later.
  Internal,    ///< An invariant is violated; report a bug.
};

/// Returns the kind's name as written in logs and answers.
std::string_view name(ErrorKind Kind);

/// An error with its kind, its cause and its remedy.
class Error : public std::runtime_error {
public:
  /// \p Remedy says in one sentence what the user can do.
  Error(ErrorKind Kind, std::string_view Problem, std::string_view Remedy);

  ErrorKind kind() const { return this->Kind; }
  const std::string &remedy() const { return this->Remedy; }

private:
  ErrorKind Kind;
  std::string Remedy;
};

} // namespace banyanpick
