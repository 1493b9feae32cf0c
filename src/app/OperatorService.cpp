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

OperatorQuestion operatorQuestionFrom(const HttpExchange &Each) {
  const HttpTarget &Target = Each.target();
  const std::string Name = Target.afterPrefix(Root).value_or("");
  const bool IsGet = Each.method() == http::verb::get;
  if (Name == "changes" && Each.method() == http::verb::post)
    return ApplyChanges{changeSetFromJson(parseBoundedJson(Each.body()))};
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
  if (Each.method() == http::verb::delete_ && Name.starts_with(Quarantine))
    return ReleaseQuarantine{fingerprintFrom(Name.substr(Quarantine.size()))};
  throwNoSuchTarget();
}

Task<void> OperatorService::serve(HttpExchange &Each, TrafficThread &Thread) {
  OperatorRequest Asked;
  const std::uint64_t Id = Thread.relays().takeId();
  Asked.Id = OperatorRequestId(Id);
  Asked.OperatorKey = bearerKey(Each);
  Asked.Question = operatorQuestionFrom(Each);
  const bool IsChange = std::holds_alternative<ApplyChanges>(Asked.Question);
  this->Events.send(std::move(Asked));
  const auto Answer = co_await Thread.operatorAnswers().wait(Id, AnswerTimeout);
  if (Answer) {
    HttpAnswer Given = answerTo(*Answer);
    co_await Each.respond(std::move(Given));
    co_return;
  }
  if (!IsChange)
    throw Error(ErrorKind::Unavailable, "no answer within 30 s",
                "ask another entry host");
  HttpAnswer Pending = answerTo(
      VerdictPending{"no verdict within 30 s; ask for it by the change id"});
  co_await Each.respond(std::move(Pending));
}

} // namespace banyanpick
