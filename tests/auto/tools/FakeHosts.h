/// \file
/// Entry hosts for tests of the command line: scripted replies, and a clock
/// that passes time without waiting.
#pragma once

#include "tools/HostTransport.h"

#include <functional>
#include <vector>

namespace banyanpick::tools {

inline HostReply whole(unsigned Status, std::string Body) {
  return {HostReply::End::Whole, Status, std::move(Body), ""};
}
inline HostReply unreachable() {
  return {HostReply::End::NotSent, 0, "", "refused"};
}
inline HostReply lost() { return {HostReply::End::Lost, 0, "", "timeout"}; }

class FakeHosts : public HostTransport {
public:
  using Answer =
      std::function<HostReply(const Address &, const HostQuestion &)>;

  explicit FakeHosts(Answer Script) : Script(std::move(Script)) {}

  HostReply ask(const Address &Host, const HostQuestion &Question,
                Duration) override {
    this->Asked.push_back(Question);
    return this->Script(Host, Question);
  }

  std::size_t posts() const {
    std::size_t Count = 0;
    for (const HostQuestion &Each : this->Asked)
      Count += Each.How == HostQuestion::Method::Post;
    return Count;
  }

  std::vector<HostQuestion> Asked;

private:
  Answer Script;
};

class FakeClock : public Clock {
public:
  Time now() override { return this->Present; }
  void sleep(Duration Length) override { this->Present += Length; }

private:
  Time Present{};
};

} // namespace banyanpick::tools
