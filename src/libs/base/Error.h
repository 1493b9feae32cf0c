/// \file
/// The kinds of error that banyanpick throws. Each message ends with a remedy.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace banyanpick {

/// What a caller of a throwing function may tell apart.
enum class ErrorKind {
  BadInput,    ///< What was given is malformed; mend it and give it again.
  NotAllowed,  ///< The key given does not permit this.
  Conflict,    ///< Somebody else changed the same thing first.
  Unavailable, ///< Something outside does not answer; try again later.
  Internal,    ///< An invariant does not hold; report it.
};

/// The kind's name as it stands in logs and answers.
std::string_view name(ErrorKind Kind);

/// An error with its kind, what happened and what to do about it.
class Error : public std::runtime_error {
public:
  /// \p Remedy says in one sentence what the reader can do.
  Error(ErrorKind Kind, std::string_view What, std::string_view Remedy);

  ErrorKind kind() const { return this->Kind; }
  const std::string &remedy() const { return this->Remedy; }

private:
  ErrorKind Kind;
  std::string Remedy;
};

} // namespace banyanpick
