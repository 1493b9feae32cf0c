/// \file
/// Builds requests for tests of plug-ins:
/// `TestRequestBuilder(7).team("a").build()`.
#pragma once

#include "kernel/Request.h"

namespace banyanpick {

/// Builds a request of an idempotent class for the model "m".
class TestRequestBuilder {
public:
  explicit TestRequestBuilder(std::uint64_t Id) {
    this->Req.Head.Id = RequestId(Id);
    this->Req.Head.Content = Fingerprint(Id);
    this->Req.Head.PromptTokens = 1000;
    this->Req.Class.TargetName = "m";
    this->Req.Class.Urgency = 5;
    this->Req.OutputTokens = 100;
    this->team("a").arrived(Time(seconds(1000)), seconds(10));
  }

  TestRequestBuilder &team(std::string Name, double Weight = 1) {
    this->Req.Team = TeamId(std::move(Name));
    this->Req.TeamWeight = Weight;
    return *this;
  }
  TestRequestBuilder &prompt(std::uint64_t Tokens) {
    this->Req.Head.PromptTokens = Tokens;
    return *this;
  }
  TestRequestBuilder &output(std::uint64_t Tokens) {
    this->Req.OutputTokens = Tokens;
    return *this;
  }
  TestRequestBuilder &urgency(std::uint32_t Urgency) {
    this->Req.Class.Urgency = Urgency;
    return *this;
  }
  TestRequestBuilder &content(std::uint64_t Content) {
    this->Req.Head.Content = Fingerprint(Content);
    return *this;
  }
  TestRequestBuilder &notIdempotent() {
    this->Req.Class.Idempotent = false;
    return *this;
  }
  /// Sets the arrival to \p Now. The first token and the complete answer are
  /// due \p TimeLimit later.
  TestRequestBuilder &arrived(Time Now, Duration TimeLimit) {
    this->Req.ArrivedAt = Now;
    this->Req.FirstTokenBy = Now + TimeLimit;
    this->Req.Deadline = Now + TimeLimit;
    return *this;
  }

  Request build() const { return this->Req; }
  operator Request() const { return this->Req; }

private:
  Request Req;
};

/// Returns an attempt of the request on an upstream.
inline Attempt attemptOf(const Request &Req, std::uint64_t Sequence,
                         const std::string &Upstream, std::uint64_t Life = 1) {
  Attempt Result;
  Result.Id = {Incarnation(1), Sequence};
  Result.Request = Req.id();
  Result.Upstream = UpstreamId(Upstream);
  Result.UpstreamLife = Incarnation(Life);
  Result.UncachedTokens = Req.Head.PromptTokens;
  return Result;
}

} // namespace banyanpick
