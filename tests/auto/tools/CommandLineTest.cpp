#include "tools/CommandLine.h"
#include "auto/tools/FakeHosts.h"
#include "base/Error.h"
#include "catalogue/KeyDigest.h"
#include "tools/BeastTransport.h"
#include "tools/LocalCommands.h"
#include "tools/ViewCommands.h"

#include <gtest/gtest.h>

namespace banyanpick::tools {
namespace {

CommandLine parse(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(), "banyanpick");
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size());
  for (std::string &Argument : Arguments)
    Pointers.push_back(Argument.data());
  return parseCommandLine(static_cast<int>(Pointers.size()), Pointers.data());
}

TEST(CommandLine, ReadsCommandFlagsAndArguments) {
  const CommandLine Parsed =
      parse({"apply", "--prune", "--host", "10.0.0.1:7101, 10.0.0.2:7102",
             "f.ini", "--timeout=500ms"});
  EXPECT_EQ(Parsed.Command->Name, "apply");
  EXPECT_TRUE(Parsed.Opts.Prune);
  EXPECT_EQ(Parsed.Opts.Arguments, std::vector<std::string>{"f.ini"});
  EXPECT_EQ(Parsed.Opts.Timeout, milliseconds(500));
  EXPECT_EQ(Parsed.Opts.Hosts,
            (std::vector<Address>{{"10.0.0.1", 7101}, {"10.0.0.2", 7102}}));
}

TEST(CommandLine, RefusesUnknownAndMalformedInput) {
  const std::vector<std::vector<std::string>> Wrong{
      {},
      {"shwo"},
      {"show", "extra"},
      {"show", "--bogus"},
      {"show", "--host"},
      {"show", "--host", "localhost:1"},
      {"show", "--json=maybe"},
      {"history", "--from", "-3"},
      {"apply", "f", "--timeout", "20"},
      {"show", "--key_file", "/no/such/file"}};
  for (const auto &Arguments : Wrong) {
    try {
      parse(Arguments);
      ADD_FAILURE() << (Arguments.empty() ? "" : Arguments.back());
    } catch (const Error &Caught) {
      EXPECT_EQ(Caught.kind(), ErrorKind::BadInput);
    }
  }
}

TEST(CommandLine, PrintsHelpForEachCommand) {
  for (const CommandHelp &Command : allCommands()) {
    EXPECT_NE(overview().find(std::string(Command.Name)), std::string::npos);
    EXPECT_NE(commandHelp(Command).find("Exit codes"), std::string::npos);
  }
}

TEST(Digest, MatchesTheSecretOfTheKey) {
  const Outcome Made = digest({}, " ring.a.b\n");
  EXPECT_TRUE(matchesDigest("a.b", {Made.Json.at("digest")}));
  EXPECT_THROW(digest({}, "nodot"), Error);
  Options New;
  New.NewKeyName = "ring";
  const Outcome Generated = digest(New, "");
  const std::string Key = Generated.Json.at("key");
  EXPECT_TRUE(
      matchesDigest(splitKey(Key)->Secret, {Generated.Json.at("digest")}));
  New.NewKeyName = "a.b";
  EXPECT_THROW(digest(New, ""), Error);
}

TEST(Resolve, ShowsHostsAndTtl) {
  FakeHosts Hosts([](const Address &, const HostRequest &Req) {
    EXPECT_EQ(Req.Target, "/v1/resolve?team=t&zone=z");
    return completeReply(200, R"({"hosts": ["127.0.0.1:1"], "ttl_ms": 5000})");
  });
  FakeClock WallClock;
  Options Opts;
  Opts.Hosts = {{"127.0.0.1", 1}};
  Opts.Team = "t";
  Opts.Zone = "z";
  OperatorClient Client(Hosts, WallClock, Opts);
  EXPECT_EQ(resolve(Client, Opts).Text, "127.0.0.1:1\nvalid for 5s\n");
}

TEST(BeastTransport, ReportsThatNothingWasSent) {
  BeastTransport Plain("");
  EXPECT_EQ(Plain.ask({"127.0.0.1", 1}, {}, seconds(5)).State,
            HostReply::ReplyState::NotSent);
  EXPECT_EQ(Plain.ask({"not-an-ip", 1}, {}, seconds(5)).State,
            HostReply::ReplyState::NotSent);
  EXPECT_THROW(BeastTransport("/no/such/file"), Error);
}

} // namespace
} // namespace banyanpick::tools
