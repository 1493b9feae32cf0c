/// \file
/// Requests for tests of plug-ins: `RequestMaker(7).team("a").build()`.
#pragma once

#include "kernel/Request.h"

namespace banyanpick {

/// Builds a request of an idempotent class on the model "m".
class RequestMaker {
public:
  explicit RequestMaker(std::uint64_t Id) {
    this->Made.Head.Id = RequestId(Id);
    this->Made.Head.Content = Fingerprint(Id);
    this->Made.Head.PromptTokens = 1000;
    this->Made.Class.TargetName = "m";
    this->Made.Class.Urgency = 5;
    this->Made.OutputTokens = 100;
    this->team("a").arrived(Time(seconds(1000)), seconds(10));
  }

  RequestMaker &team(std::string Name, double Weight = 1) {
    this->Made.Team = TeamId(std::move(Name));
    this->Made.TeamWeight = Weight;
    return *this;
  }
  RequestMaker &prompt(std::uint64_t Tokens) {
    this->Made.Head.PromptTokens = Tokens;
    return *this;
  }
  RequestMaker &output(std::uint64_t Tokens) {
    this->Made.OutputTokens = Tokens;
    return *this;
  }
  RequestMaker &urgency(std::uint32_t Urgency) {
    this->Made.Class.Urgency = Urgency;
    return *this;
  }
  RequestMaker &content(std::uint64_t Content) {
    this->Made.Head.Content = Fingerprint(Content);
    return *this;
  }
  RequestMaker &notIdempotent() {
    this->Made.Class.Idempotent = false;
    return *this;
  }
  /// Promised \p Promise after \p Now, first token and whole answer.
  RequestMaker &arrived(Time Now, Duration Promise) {
    this->Made.ArrivedAt = Now;
    this->Made.FirstTokenBy = Now + Promise;
    this->Made.Deadline = Now + Promise;
    return *this;
  }

  Request build() const { return this->Made; }
  operator Request() const { return this->Made; }

private:
  Request Made;
};

/// A try of the request on an upstream.
inline Attempt attemptOf(const Request &Asked, std::uint64_t Sequence,
                         const std::string &Upstream, std::uint64_t Life = 1) {
  Attempt Try;
  Try.Id = {Incarnation(1), Sequence};
  Try.Request = Asked.id();
  Try.Upstream = UpstreamId(Upstream);
  Try.UpstreamLife = Incarnation(Life);
  Try.UncachedTokens = Asked.Head.PromptTokens;
  return Try;
}

} // namespace banyanpick
