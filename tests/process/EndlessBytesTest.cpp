/// \file
/// Guards against engines and other programs that send bytes without end: the
/// host ran out of memory or used a whole core, and the requests of all its
/// callers ended with it.
#include "auto/http/EndlessAnswers.h"
#include "auto/http/RawPeer.h"
#include "process/Deployment.h"
#include "process/RawEngine.h"

#include <future>
#include <gtest/gtest.h>

namespace banyanpick::process {
namespace {

/// Above the memory of an idle host. The smallest host has 160 MB.
constexpr std::uint64_t MaxGrowth = 16ULL * 1024 * 1024;
/// For the requests of one kind of answer.
constexpr milliseconds MaxProcessorTime(1500);
constexpr std::size_t CallersAtOnce = 3;

/// Answers with the kind of endless answer at \p Index of the kinds whose heads
/// answer the request.
RawAnswer answerTo(std::string_view Head, std::size_t Index, bool Streams) {
  const std::string Headers = markedHeaders(Head);
  auto Kinds =
      endlessFramings(Streams ? "text/event-stream" : "text/plain", Headers);
  if (Streams)
    for (const EndlessAnswer &Item : endlessEvents(Headers))
      Kinds.push_back(Item);
  return Kinds.at(Index).bytes();
}

class EndlessBytes : public testing::Test {
protected:
  void SetUp() override {
    this->IdleMemory = this->host().peakMemoryBytes();
    ASSERT_GT(this->IdleMemory, 0U);
  }
  ChildProcess &host() { return *this->Gateway.host(0).Process; }
  std::uint64_t growth() {
    return this->host().peakMemoryBytes() - this->IdleMemory;
  }
  /// Sends requests at the same time and checks that each gets an answer.
  void askAll(const std::string &Path, const std::string &Name) {
    std::vector<std::future<standins::HttpReply>> Replies;
    for (std::size_t Caller = 0; Caller < CallersAtOnce; ++Caller)
      Replies.push_back(std::async(std::launch::async, [this, Path, Name,
                                                        Caller] {
        return this->Gateway.ask(0, Path, fmt::format("{}-{}", Name, Caller));
      }));
    for (auto &Reply : Replies)
      EXPECT_TRUE(Reply.get().isComplete()) << Name;
  }
  /// Lets an engine give the answer and checks what the host needs for it.
  void playKind(std::size_t Index, bool Streams, const std::string &Name) {
    const milliseconds Before = this->host().processorTime();
    const RawEngine Engine(
        this->Gateway, fmt::format("raw-{}", Name),
        [=](std::string_view Head) { return answerTo(Head, Index, Streams); });
    this->askAll(Streams ? "/stream/x" : "/safe/x", Name);
    EXPECT_LT(this->host().processorTime() - Before, MaxProcessorTime) << Name;
    EXPECT_LT(this->growth(), MaxGrowth) << Name;
  }

  GatewayDeployment Gateway{{}, 1};
  std::uint64_t IdleMemory = 0;
};

TEST_F(EndlessBytes, FromEnginesAreBounded) {
  for (const bool Streams : {false, true}) {
    auto Kinds = endlessFramings("");
    if (Streams)
      for (const EndlessAnswer &Item : endlessEvents())
        Kinds.push_back(Item);
    for (std::size_t Index = 0; Index < Kinds.size(); ++Index)
      this->playKind(Index, Streams,
                     fmt::format("{}-{}", Kinds[Index].Name, Streams));
  }
  EXPECT_TRUE(this->host().isAlive());
}

/// The port for other hosts takes any bytes for its own protocol.
TEST_F(EndlessBytes, AtThePortForHostsAreBounded) {
  const std::string &Peers = this->Gateway.host(0).Peers;
  const auto Port =
      static_cast<std::uint16_t>(std::stoul(Peers.substr(Peers.find(':') + 1)));
  for (const std::string_view First :
       {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", ""}) {
    RawPeer Stranger({"127.0.0.1", Port});
    Stranger.send(First);
    // In ZeroMQ's first protocol each of these bytes announces a further part.
    const std::string Endless = repeated("aaaaaaaaaa");
    const auto Until = std::chrono::steady_clock::now() + seconds(2);
    while (std::chrono::steady_clock::now() < Until && Stranger.send(Endless)) {
    }
    EXPECT_LT(this->growth(), MaxGrowth);
  }
  EXPECT_EQ(this->Gateway.readiness(0), 200U);
}

} // namespace
} // namespace banyanpick::process
