/// \file
/// Test doubles for the command line: entry hosts with scripted replies, and a
/// clock whose sleep() advances the time without waiting.
#pragma once

#include "tools/HostTransport.h"

#include <functional>
#include <vector>

namespace banyanpick::tools {

inline HostReply completeReply(unsigned Status, std::string Body) {
  return {HostReply::ReplyState::Complete, Status, std::move(Body), ""};
}
inline HostReply unreachableHost() {
  return {HostReply::ReplyState::NotSent, 0, "", "refused"};
}
inline HostReply lostReply() {
  return {HostReply::ReplyState::Lost, 0, "", "timeout"};
}

class FakeHosts : public HostTransport {
public:
  using Answer = std::function<HostReply(const Address &, const HostRequest &)>;

  explicit FakeHosts(Answer Script) : Script(std::move(Script)) {}

  HostReply ask(const Address &Host, const HostRequest &Req,
                Duration) override {
    this->Requests.push_back(Req);
    return this->Script(Host, Req);
  }

  std::size_t postCount() const {
    std::size_t Count = 0;
    for (const HostRequest &Req : this->Requests)
      Count += Req.Verb == HostRequest::Method::Post;
    return Count;
  }

  std::vector<HostRequest> Requests;

private:
  Answer Script;
};

class FakeClock : public Clock {
public:
  Time now() override { return this->Current; }
  void sleep(Duration Length) override { this->Current += Length; }

private:
  Time Current{};
};

} // namespace banyanpick::tools
