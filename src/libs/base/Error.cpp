#include "base/Error.h"

namespace banyanpick {

std::string_view name(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::BadInput:
    return "bad-input";
  case ErrorKind::NotAllowed:
    return "not-allowed";
  case ErrorKind::Conflict:
    return "conflict";
  case ErrorKind::Unavailable:
    return "unavailable";
  case ErrorKind::Internal:
    return "internal";
  }
  return "unknown";
}

Error::Error(ErrorKind Kind, std::string_view Problem, std::string_view Remedy)
    : std::runtime_error(std::string(Problem) + "; " + std::string(Remedy)),
      Kind(Kind), Remedy(Remedy) {}

} // namespace banyanpick
