#include "tools/OperatorClient.h"

#include "base/Error.h"
#include "catalogue/CatalogueJson.h"

#include <fmt/format.h>

namespace banyanpick::tools {

namespace {

using Method = HostRequest::Method;
using ReplyState = HostReply::ReplyState;
using nlohmann::json;

constexpr std::string_view OperatorPath = "/v1/operator/";
/// Timeout of one call. A host answers a change set as pending before this
/// time.
constexpr Duration CallTimeout = seconds(10);
constexpr Duration PollInterval = milliseconds(250);

json parse(const HostReply &Reply) {
  json Result = json::parse(Reply.Body, nullptr, false);
  if (Result.is_discarded())
    throw Error(ErrorKind::Unavailable, "no valid JSON in the host's answer",
                "check that --host names an entry host of banyanpick");
  return Result;
}

/// Returns the message of an error body, which includes the remedy.
std::string messageOf(const json &Body) {
  const auto Found = Body.find("error");
  if (Found == Body.end() || !Found->is_object())
    return Body.dump();
  return Found->value("message", "no message");
}

/// Whether the host failed to serve the request, so that another host may serve
/// it.
bool isServerError(const HostReply &Reply) { return Reply.Status >= 500; }

void throwIfRefused(const HostReply &Reply) {
  if (Reply.Status < 400 || Reply.Status == 409)
    return;
  const bool KeyRefused = Reply.Status == 401 || Reply.Status == 403;
  if (KeyRefused)
    throw Error(ErrorKind::NotAllowed, messageOf(parse(Reply)),
                "give the owner's key in BANYANPICK_KEY or --key_file");
  throw Error(ErrorKind::BadInput, messageOf(parse(Reply)),
              "see docs/PROTOCOLS.md");
}

std::string addressText(const Address &Host) {
  return fmt::format("{}:{}", Host.Ip, Host.Port);
}

[[noreturn]] void throwNoHost(const std::string &Problems) {
  throw Error(ErrorKind::Unavailable, "no host gives an answer:" + Problems,
              "look whether the hosts run, or name others with --host");
}

std::string problemOf(const Address &Host, const HostReply &Reply) {
  return fmt::format(" {} ({})", addressText(Host),
                     Reply.State == ReplyState::Complete
                         ? fmt::format("status {}", Reply.Status)
                         : Reply.Problem);
}

} // namespace

HostRequest OperatorClient::makeRequest(Method Verb,
                                        const std::string &Target) const {
  return {Verb, Target, "", this->Opts.Key};
}

json OperatorClient::ask(const HostRequest &Req) {
  std::string Problems;
  for (const Address &Host : this->Opts.Hosts) {
    const HostReply Reply = this->Transport.ask(Host, Req, CallTimeout);
    if (Reply.State != ReplyState::Complete || isServerError(Reply)) {
      Problems += problemOf(Host, Reply);
      continue;
    }
    throwIfRefused(Reply);
    return parse(Reply);
  }
  throwNoHost(Problems);
}

json OperatorClient::get(const std::string &Target) {
  return this->ask(this->makeRequest(Method::Get, Target));
}

json OperatorClient::remove(const std::string &Target) {
  return this->ask(this->makeRequest(Method::Delete, Target));
}

CatalogueShown OperatorClient::catalogue() {
  return catalogueShownFromJson(
      this->get(std::string(OperatorPath) + "catalogue"));
}

StatusReport OperatorClient::status() {
  return statusFromJson(this->get(std::string(OperatorPath) + "status"));
}

ChangeAnswer OperatorClient::submit(const ChangeSet &Set, Duration Timeout) {
  const Time Deadline = this->WallClock.now() + Timeout;
  HostRequest Req =
      this->makeRequest(Method::Post, std::string(OperatorPath) + "changes");
  Req.Body = toJson(Set).dump();
  ChangeAnswer Answer = this->post(Req);
  while (std::holds_alternative<VerdictPending>(Answer) &&
         this->WallClock.now() < Deadline) {
    this->WallClock.sleep(PollInterval);
    Answer = this->verdict(Set.Id);
  }
  return Answer;
}

ChangeAnswer OperatorClient::post(const HostRequest &Req) {
  std::string Problems;
  for (const Address &Host : this->Opts.Hosts) {
    const HostReply Reply = this->Transport.ask(Host, Req, CallTimeout);
    if (Reply.State == ReplyState::NotSent) {
      Problems += problemOf(Host, Reply);
      continue;
    }
    // The change set may have taken effect, so it is never sent again.
    if (Reply.State == ReplyState::Lost || isServerError(Reply))
      return VerdictPending{"no answer from" + problemOf(Host, Reply)};
    throwIfRefused(Reply);
    return changeAnswerFromJson(parse(Reply));
  }
  throwNoHost(Problems);
}

ChangeAnswer OperatorClient::verdict(const ChangeId &Id) {
  const HostRequest Req = this->makeRequest(
      Method::Get, std::string(OperatorPath) + "changes/" + Id.Value);
  ChangeAnswer Latest = VerdictPending{"no host answers"};
  for (const Address &Host : this->Opts.Hosts) {
    const HostReply Reply = this->Transport.ask(Host, Req, CallTimeout);
    if (Reply.State != ReplyState::Complete || isServerError(Reply))
      continue;
    throwIfRefused(Reply);
    Latest = changeAnswerFromJson(parse(Reply));
    if (!std::holds_alternative<VerdictPending>(Latest))
      return Latest;
  }
  return Latest;
}

} // namespace banyanpick::tools
