/// \file
/// Guards against odd records of other writers in the store: a record that
/// can't be read ended a host, or hid the records that were written after it.
#include "platform/RecordFrames.h"
#include "platform/WireNames.h"
#include "process/Deployment.h"
#include "process/GatewayDeployment.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <iostream>
#include <iterator>
#include <thread>

namespace banyanpick::process {
namespace {

using standins::HttpReply;

constexpr std::size_t Hosts = 2;
/// Until hosts must use a record.
constexpr seconds MaxDelay(2);
constexpr std::size_t RecordsAtOnce = 1000;
/// Most records of a topic that are written alone, as each takes a quarter of a
/// second. The others are only written together.
constexpr std::size_t MaxAlone = 68;
/// The longest key of the store's frames, in bytes.
constexpr std::size_t MaxKeyBytes = 255;
constexpr std::size_t LargeTextBytes = 200'000;
/// Values above this length are written once per topic, as the answer of the
/// stand-in store must stay below 4 MB.
constexpr std::size_t LargeBytes = 20'000;

std::string repeated(std::string_view Text, std::size_t Count) {
  std::string Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result += Text;
  return Result;
}

std::string nested(std::string_view Open, std::string_view Close,
                   std::size_t Depth) {
  return repeated(Open, Depth) + "1" + repeated(Close, Depth);
}

/// Returns JSON values that are out of range, of a wrong type or broken.
std::vector<std::string> oddMembers() {
  return {nested("[", "]", 4000),
          nested(R"({"a":)", "}", 4000),
          "1e400",
          "1e308",
          "-1",
          "4294967296",
          "18446744073709551615",
          "18446744073709551616",
          "null",
          "true",
          "[]",
          "{}",
          R"("")",
          R"("127.0.0.1")",
          R"("127.0.0.1:")",
          R"("127.0.0.1:0")",
          R"("127.0.0.1:65536")",
          R"("127.0.0.1:-1")",
          "\"\xff\xfe\xc3\"",
          "\"\\ud800\""};
}

/// Returns values that are no document of any topic.
std::vector<std::string> oddTexts() {
  std::vector<std::string> Result{nested("[", "]", 130'000),
                                  repeated("[", 200'000),
                                  nested(R"({"a":)", "}", 40'000),
                                  std::string(LargeTextBytes, 'x'),
                                  "\xff\xfe\xc3",
                                  std::string(3, '\0'),
                                  " ",
                                  "\n"};
  for (std::string &Member : oddMembers())
    Result.push_back(std::move(Member));
  return Result;
}

std::vector<std::string> withMembers(std::string_view Before,
                                     std::string_view After) {
  std::vector<std::string> Result;
  for (const std::string &Member : oddMembers())
    Result.push_back(fmt::format("{}{}{}", Before, Member, After));
  return Result;
}

void append(std::vector<std::string> &To, std::vector<std::string> Values) {
  std::ranges::move(Values, std::back_inserter(To));
}

std::vector<std::string> oddEngines() {
  std::vector<std::string> Result = oddTexts();
  append(Result, withMembers(R"({"Service":"desk","Address":)",
                             R"(,"Zone":"east","Slots":6,"State":"ready"})"));
  append(Result, withMembers(R"({"Service":"other","Address":"127.0.0.1:1",)"
                             R"("Zone":"east","State":"ready","Slots":)",
                             "}"));
  append(Result, withMembers(R"({"Service":"other","Address":"127.0.0.1:1",)"
                             R"("Zone":"east","Slots":6,"State":"ready",)"
                             R"("born":7,"ColdRemainingMs":)",
                             "}"));
  return Result;
}

/// Returns values of the configuration's key. No value is a sound configuration
/// with a high version, which would rightly supersede those of the test.
std::vector<std::string> oddConfigurations() {
  std::vector<std::string> Result = oddTexts();
  append(Result, withMembers(R"({"Version":9000,"Routes":)", "7}"));
  append(Result, withMembers(R"({"Version":"v","Services":[)", "]}"));
  append(Result, withMembers(R"({"Version":2,"Routes":[{"HomeRegions":)",
                             R"(,"Name":"r"}]})"));
  return Result;
}

std::vector<std::string> oddHosts() {
  std::vector<std::string> Result = oddTexts();
  for (const std::string_view Address :
       {"127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1", ":", "[]",
        "[:1", "\xff:1", "1e400:1"})
    for (const std::string_view Rest : {" 127.0.0.1:1 east 1000", " ", ""})
      Result.push_back(fmt::format("{}{}", Address, Rest));
  // Hosts take these for addresses of hosts that don't answer.
  const std::string Dead = "127.0.0.1:1 127.0.0.1:1";
  append(Result,
         {"127.0.0.1:0 127.0.0.1:0 east 1000", Dead,
          Dead + " \xff\xfe\xc3 1000", Dead + " east -1",
          Dead + " east 4294967295", Dead + " east 18446744073709551616",
          Dead + " " + std::string(LargeTextBytes, 'z') + " 1000"});
  return Result;
}

/// Returns keys of other writers. The first one is that of an ordinary record.
std::vector<std::string> oddKeys() {
  return {"odd",
          "",
          std::string(MaxKeyBytes, 'k'),
          "two\nlines",
          "evacuate/",
          "quarantine/",
          "quarantine/zz",
          "broken\xff\xfe\xc3",
          std::string("zero\0", 5)};
}

struct OddTopic {
  std::string_view Name;
  std::vector<std::string> Values;
};

std::vector<OddTopic> oddTopics() {
  return {{platform::topic::Engines, oddEngines()},
          {platform::topic::Declarations, oddConfigurations()},
          {platform::topic::Hosts, oddHosts()}};
}

class OddRecords : public testing::Test {
protected:
  void SetUp() override {
    this->Gateway.unregister(this->Gateway.upstream(1).Id);
    this->expectSound("the start");
  }
  void TearDown() override {
    if (HasFailure())
      std::cerr << "logs: " << this->Gateway.keepLogs() << '\n';
  }
  /// Appends frames, as keys may have any bytes.
  void write(std::string_view Topic, std::string Frames) {
    standins::OutgoingRequest Req;
    Req.Method = boost::beast::http::verb::post;
    Req.Target =
        fmt::format("{}?Topic={}&part=0", platform::path::Append, Topic);
    Req.Body = std::move(Frames);
    const HttpReply Reply = standins::sendHttpRequest(
        this->Gateway.host(0).Store, Req, seconds(10));
    ASSERT_EQ(Reply.Status, 200U);
  }
  /// Returns the record, and that of the configuration's key among its topic.
  static std::string frame(const OddTopic &Topic, std::size_t Index) {
    const std::vector<std::string> Keys = oddKeys();
    const std::string &Value = Topic.Values[Index % Topic.Values.size()];
    std::string Result =
        platform::writeFrame({Keys[Index % Keys.size()], Value, 0});
    if (Topic.Name == platform::topic::Declarations)
      Result += platform::writeFrame(
          {std::string(platform::topic::ConfigurationKey), Value, 0});
    return Result;
  }
  bool within(const std::function<bool()> &Condition) {
    const auto Until = std::chrono::steady_clock::now() + MaxDelay;
    while (!Condition()) {
      if (std::chrono::steady_clock::now() > Until)
        return false;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
  }
  std::string nextAttempt() { return fmt::format("odd{}", ++this->Sent); }
  /// Registers the one of two engines that isn't registered and removes the
  /// other one. A host that uses the new one has read the removal too, so that
  /// the engine is new to it when its turn comes again.
  void registerOtherEngine() {
    this->Gateway.unregister(this->newEngine().Id);
    this->Newest = this->Newest == 1 ? 2 : 1;
    this->Gateway.put(
        std::string(platform::topic::Engines), this->newEngine().Id,
        fmt::format(R"({{"Service":"desk","Address":"{}","Zone":"east",)"
                    R"("Version":"v1","Slots":6,"State":"ready"}})",
                    this->newEngine().Address));
  }
  GatewayDeployment::Upstream &newEngine() {
    return this->Gateway.upstream(this->Newest);
  }
  bool hasConfiguration(std::size_t Host) {
    const unsigned Expected = this->HasExtra ? 200 : 404;
    return this->Gateway.ask(Host, "/extra/x", this->nextAttempt()).Status ==
           Expected;
  }
  /// Sends a request and returns whether the new engine ran it.
  bool reachesNewEngine(std::size_t Host) {
    const std::string Attempt = this->nextAttempt();
    const HttpReply Reply = this->Gateway.ask(Host, "/safe/x", Attempt);
    EXPECT_EQ(Reply.Status, 200U) << Reply.Body;
    return Reply.Body.find("by " + this->newEngine().Id + ":") !=
               std::string::npos &&
           this->Gateway.runCount(Attempt) == 1;
  }
  void expectAlive(const std::string &Step) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      ASSERT_TRUE(this->Gateway.host(Host).Process->isAlive())
          << "host " << Host << " after " << Step;
  }
  /// Writes a configuration and an engine and checks that hosts use them.
  void expectSound(const std::string &Step) {
    this->HasExtra = !this->HasExtra;
    this->Gateway.configure(++this->Version, this->HasExtra);
    this->registerOtherEngine();
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      EXPECT_TRUE(this->within([&] { return this->hasConfiguration(Host); }))
          << "configuration at host " << Host << " after " << Step;
      EXPECT_TRUE(this->within([&] { return this->reachesNewEngine(Host); }))
          << "engine at host " << Host << " after " << Step;
    }
    this->expectAlive(Step);
  }
  void writeAllAtOnce() {
    for (const OddTopic &Topic : oddTopics()) {
      std::string Frames;
      for (std::size_t Index = 0; Index < RecordsAtOnce; ++Index) {
        const std::string Frame = frame(Topic, Index);
        if (Frame.size() < LargeBytes || Index < Topic.Values.size())
          Frames += Frame;
      }
      this->write(Topic.Name, std::move(Frames));
    }
  }
  /// Sends requests to \p Host until told to stop and checks each answer.
  void sendUntil(const std::atomic<bool> &Stop, std::size_t Host) {
    for (int Round = 0; !Stop; ++Round) {
      const HttpReply Reply = this->Gateway.ask(
          Host, "/safe/x", fmt::format("during{}-{}", Host, Round));
      EXPECT_TRUE(Reply.isComplete());
      EXPECT_EQ(Reply.Status, 200U) << Reply.Body;
      EXPECT_TRUE(Reply.Body.ends_with(": hello")) << Reply.Body;
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  /// Runs \p Work while requests reach each host.
  void duringRequests(const std::function<void()> &Work) {
    std::atomic<bool> Stop = false;
    std::vector<std::thread> Callers;
    Callers.reserve(Hosts);
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      Callers.emplace_back([&, Host] { this->sendUntil(Stop, Host); });
    Work();
    Stop = true;
    for (std::thread &Caller : Callers)
      Caller.join();
  }
  void restartAllHosts() {
    this->Gateway.restartAllHosts();
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      EXPECT_TRUE(eventually([&] {
        return this->Gateway.readiness(Host) == 200 &&
               this->Gateway.directory(Host).size() == Hosts;
      })) << "host "
          << Host;
  }

  GatewayDeployment Gateway{{"", "", ""}, Hosts};
  std::size_t Newest = 2; ///< Index of the engine that was registered last.
  std::uint64_t Version = 10;
  int Sent = 0;
  bool HasExtra = false;
};

TEST_F(OddRecords, EachAloneHidesNoLaterRecord) {
  const std::vector<OddTopic> Topics = oddTopics();
  std::size_t Steps = 0;
  for (const OddTopic &Topic : Topics)
    Steps = std::max(Steps, Topic.Values.size());
  Steps = std::min(Steps, MaxAlone);
  for (std::size_t Index = 0; Index < Steps; ++Index) {
    const std::string Step = fmt::format("record {}", Index);
    for (const OddTopic &Topic : Topics)
      if (Index < Topic.Values.size())
        this->write(Topic.Name, frame(Topic, Index));
    this->expectSound(Step);
    if (HasFailure())
      return;
  }
}

TEST_F(OddRecords, AThousandAtOnceAndARestartHideNoLaterRecord) {
  this->duringRequests([this] {
    this->writeAllAtOnce();
    this->expectSound("a thousand records");
  });
  this->restartAllHosts();
  this->duringRequests([this] { this->expectSound("a restart"); });
}

} // namespace
} // namespace banyanpick::process
