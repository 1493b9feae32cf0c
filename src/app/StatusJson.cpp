#include "app/StatusJson.h"

#include "http/BoundedJson.h"
#include "operators/OperatorJson.h"

namespace banyanpick {

HttpAnswer answerTo(const OperatorAnswer &Answer) {
  constexpr unsigned Forbidden = 403;
  if (const auto *Refused = std::get_if<OperatorRefused>(&Answer))
    return errorAnswer(Forbidden, ErrorKind::NotAllowed, Refused->Message);
  HttpAnswer Result;
  Result.Body = dumpJson(toJson(Answer));
  return Result;
}

} // namespace banyanpick
