#include "app/OperatorService.h"

#include "app/StatusJson.h"
#include "catalogue/CatalogueJson.h"
#include "http/BoundedJson.h"
#include "native/IdText.h"

namespace banyanpick {

namespace {

constexpr std::string_view Root = "/v1/operator/";
constexpr seconds AnswerTimeout(30);

[[noreturn]] void throwNoSuchTarget() {
  throw Error(ErrorKind::BadInput, "no such target for operators",
              "see docs/PROTOCOLS.md");
}

Fingerprint fingerprintFrom(std::string_view Text) {
  const auto Value = fromHex(Text);
  if (!Value)
    throw Error(ErrorKind::BadInput, "the fingerprint is malformed",
                "give it as status shows it");
  return Fingerprint(*Value);
}

} // namespace

OperatorQuestion operatorQuestionFrom(const HttpExchange &Exchange) {
  const HttpTarget &Target = Exchange.target();
  const std::string Name = Target.afterPrefix(Root).value_or("");
  const bool IsGet = Exchange.method() == http::verb::get;
  if (Name == "changes" && Exchange.method() == http::verb::post)
    return ApplyChanges{changeSetFromJson(parseBoundedJson(Exchange.body()))};
  if (IsGet && Name == "catalogue")
    return ShowCatalogue{};
  if (IsGet && Name == "history")
    return ShowHistory{Target.number("from", 0)};
  if (IsGet && Name == "status")
    return ShowStatus{};
  constexpr std::string_view Changes = "changes/";
  if (IsGet && Name.starts_with(Changes))
    return QueryVerdict{ChangeId(Name.substr(Changes.size()))};
  constexpr std::string_view Quarantine = "quarantine/";
  if (Exchange.method() == http::verb::delete_ && Name.starts_with(Quarantine))
    return ReleaseQuarantine{fingerprintFrom(Name.substr(Quarantine.size()))};
  throwNoSuchTarget();
}

Task<void> OperatorService::serve(HttpExchange &Exchange,
                                  TrafficThread &Thread) {
  OperatorRequest Req;
  const std::uint64_t Id = Thread.relays().takeId();
  Req.Id = OperatorRequestId(Id);
  Req.OperatorKey = bearerKey(Exchange);
  Req.Question = operatorQuestionFrom(Exchange);
  const bool IsChange = std::holds_alternative<ApplyChanges>(Req.Question);
  this->Events.send(std::move(Req));
  const auto Answer = co_await Thread.operatorAnswers().wait(Id, AnswerTimeout);
  if (Answer) {
    HttpAnswer Response = answerTo(*Answer);
    co_await Exchange.respond(std::move(Response));
    co_return;
  }
  if (!IsChange)
    throw Error(ErrorKind::Unavailable, "no answer within 30 s",
                "ask another entry host");
  HttpAnswer Pending = answerTo(
      VerdictPending{"no verdict within 30 s; ask for it by the change id"});
  co_await Exchange.respond(std::move(Pending));
}

} // namespace banyanpick
