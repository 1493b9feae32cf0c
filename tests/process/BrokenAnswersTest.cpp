/// \file
/// Guards against broken answers of engines that callers of a real host got as
/// complete ones.
#include "auto/http/BrokenAnswers.h"
#include "process/Deployment.h"
#include "process/RawEngine.h"

#include <gtest/gtest.h>

namespace banyanpick::process {
namespace {

constexpr unsigned NotFound = 404;
constexpr unsigned BadGateway = 502;
constexpr unsigned GatewayTimeout = 504;

/// Returns whether a host answers with this status when an engine fails.
bool isOwnFailure(unsigned Status) {
  return Status >= BadGateway && Status <= GatewayTimeout;
}

/// Inserts headers behind the status line, without which no answer is taken for
/// that of an engine.
std::string withHeaders(std::string Bytes, const std::string &Headers) {
  constexpr std::string_view LineEnd = "\r\n";
  const std::size_t Found = Bytes.find(LineEnd);
  Bytes.insert(Found + LineEnd.size(), Headers);
  return Bytes;
}

class BrokenAnswersOfEngines : public testing::Test {
protected:
  /// Sends one request of each kind to a host whose only engine gives the
  /// answer. Callers get an answer of the host itself, or a cut stream.
  void play(const std::string &Name, const RawAnswer &Answer,
            const std::string &Body = "hello") {
    std::atomic<int> Runs = 0;
    const RawEngine Engine(
        this->Gateway, "raw-" + Name, [&](std::string_view Head) {
          if (Head.starts_with("POST"))
            ++Runs;
          RawAnswer Marked = Answer;
          Marked.First = withHeaders(Answer.First, markedHeaders(Head));
          return Marked;
        });
    // A host that does not know the engine yet refuses without a run.
    standins::HttpReply Once;
    EXPECT_TRUE(eventually([&] {
      Once = this->Gateway.ask(0, "/once/x", Name + "-once", Body);
      return Runs > 0;
    })) << Name;
    EXPECT_EQ(Runs, 1) << Name;
    EXPECT_EQ(Once.Status, BadGateway) << Name;
    for (const std::string_view Kind : {"safe", "stream"}) {
      const auto Reply =
          this->Gateway.ask(0, fmt::format("/{}/x", Kind),
                            fmt::format("{}-{}", Name, Kind), Body);
      EXPECT_TRUE(!Reply.isComplete() || isOwnFailure(Reply.Status))
          << Name << " " << Kind << " " << Reply.Status;
    }
  }
  void playAll(const std::string &Group,
               const std::vector<BrokenAnswer> &Answers) {
    for (const BrokenAnswer &Item : Answers)
      this->play(Group + "-" + Item.Name, Item.bytes());
  }

  /// Waits until the host lets callers send bodies of this size.
  void allowBodies(std::size_t MaxBytes) {
    constexpr std::uint64_t NextVersion = 100;
    this->Gateway.configure(NextVersion, true, MaxBytes);
    ASSERT_TRUE(eventually([this] {
      return this->Gateway.ask(0, "/extra/x", "extra").Status != NotFound;
    }));
  }

  GatewayDeployment Gateway{{}, 1};
};

TEST_F(BrokenAnswersOfEngines, AreNotPassedOn) {
  this->playAll("status", brokenStatuses());
  this->playAll("coding", brokenCodings());
  this->playAll("folded", foldedLines());
}

TEST_F(BrokenAnswersOfEngines, AreNotPassedOnDuringAnUpload) {
  constexpr std::size_t UploadBytes = 4ULL * 1024 * 1024;
  ASSERT_NO_FATAL_FAILURE(this->allowBodies(UploadBytes));
  const std::string Upload(UploadBytes, 'x');
  for (const std::string_view Type : {"text/plain", "text/event-stream"}) {
    RawAnswer Answer;
    Answer.First = fmt::format("HTTP/1.1 200 OK\r\nContent-Type: {}\r\n\r\n"
                               "id: 1\ndata: a\n\n",
                               Type);
    Answer.Pause = milliseconds(100);
    Answer.Resets = true;
    this->play(Type == "text/plain" ? "whole" : "events", Answer, Upload);
  }
}

} // namespace
} // namespace banyanpick::process
