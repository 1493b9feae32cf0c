#include "StateSlopes.h"

#include "BenchWorld.h"
#include "SlopeTable.h"
#include "catalogue/Catalogue.h"
#include "harness/TestCatalogue.h"
#include "wire/LogCodec.h"

#include <chrono>
#include <fmt/format.h>
#include <malloc.h>

namespace banyanpick {

namespace {

using Clock = std::chrono::steady_clock;

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double millisecondsSince(Clock::time_point Begin) {
  return std::chrono::duration<double, std::milli>(Clock::now() - Begin)
      .count();
}

/// Returns a log of \p Count changes to the weight of one team.
std::vector<LogRecord> changesOfOneTeam(std::uint32_t Count) {
  std::vector<LogRecord> Records;
  for (std::uint32_t Number = 0; Number < Count; ++Number) {
    TeamEntry Team = testTeam("t");
    Team.Weight = 1.0 + Number;
    ChangeSet Set;
    Set.Id = ChangeId(fmt::format("change-{}", Number));
    Set.Author = OwnerId(TestOwner);
    // Entry versions are log offsets, which begin at 1.
    Set.Changes = {declared(EntryKind::Team, "t", Team, Number)};
    Records.push_back({{Incarnation(1), Number}, ConfigurationRecord{Set}});
  }
  return Records;
}

/// Decodes and folds every record. Returns the number of bytes read.
std::size_t recoverCatalogue(const std::vector<std::string> &Stored,
                             Catalogue &Target) {
  std::size_t Bytes = 0;
  LogOffset Offset = 0;
  for (const std::string &Batch : Stored) {
    Bytes += Batch.size();
    ++Offset;
    for (const LogRecord &Record : decodeLogBatch(Batch))
      Target.fold(std::get<ConfigurationRecord>(Record.Body).Set, Offset);
  }
  return Bytes;
}

/// The append rate of all hosts together and the waiting time of their callers.
struct AppendCost {
  double PerSecond = 0;
  double MeanAnswerMs = 0; ///< Milliseconds until the final answer.
};

std::string hostName(std::uint32_t Number) {
  return fmt::format("host-{:03}", Number);
}

double meanAnswerTime(VirtualDeployment &Deployed) {
  double Sum = 0;
  std::size_t Count = 0;
  for (const CallerRecord &Caller : Deployed.callers()) {
    if (!Caller.EndedAt)
      continue;
    Sum += inSeconds(*Caller.EndedAt - Caller.SentAt) * 1000;
    ++Count;
  }
  return Count == 0 ? 0 : Sum / static_cast<double>(Count);
}

AppendCost appendsAt(std::uint32_t CallsPerSecond, std::uint32_t Hosts) {
  DeploymentOptions Options;
  Options.CheckEveryEvent = false;
  VirtualDeployment Deployed(Options);
  Deployed.addApplication("booking-1", TestService, "zone-0");
  Deployed.seedCatalogue(testCatalogue({"t"}));
  for (std::uint32_t Number = 0; Number < Hosts; ++Number)
    Deployed.addHost(hostName(Number), "zone-0");
  Deployed.runFor(seconds(15));
  constexpr std::uint32_t Seconds = 5;
  const LogOffset Before = Deployed.log().end();
  for (std::uint32_t Call = 0; Call < CallsPerSecond * Seconds; ++Call) {
    Deployed.runFor(Duration(1'000'000 / CallsPerSecond));
    RequestHead Head = testRequest("t", "confirm", 100, Call);
    Head.Streamed = false;
    Head.Operation = Deployed.makeOperationKey();
    Deployed.send(hostName(Call % Hosts), Head);
  }
  AppendCost Cost;
  Cost.PerSecond = static_cast<double>(Deployed.log().end() - Before) / Seconds;
  Deployed.runFor(seconds(5));
  Cost.MeanAnswerMs = meanAnswerTime(Deployed);
  return Cost;
}

} // namespace

void measureCatalogueMemory() {
  SlopeTable Table{
      "Catalogue memory against teams (36 models)", "teams", "bytes", {}};
  for (const std::uint32_t Teams : {10, 1000, 10000, 36000}) {
    const std::vector<Change> All = catalogueOf({0, 0, Teams, 36});
    const double Before = heapBytes();
    Catalogue InForce;
    InForce.fold({ChangeId("c"), OwnerId(TestOwner), All}, 1);
    Table.add(Teams, heapBytes() - Before);
  }
  Table.print();
}

void measureRecovery() {
  SlopeTable Times{
      "Recovery by fold, against change records", "records", "ms", {}};
  SlopeTable Sizes{"Bytes read in a recovery", "records", "bytes", {}};
  for (const std::uint32_t Count : {100, 1000, 3500, 10000}) {
    std::vector<std::string> Stored;
    for (const LogRecord &Record : changesOfOneTeam(Count))
      Stored.push_back(encodeLogBatch(std::span(&Record, 1)));
    Catalogue Recovered;
    const auto Begin = Clock::now();
    const std::size_t Bytes = recoverCatalogue(Stored, Recovered);
    Times.add(Count, millisecondsSince(Begin));
    Sizes.add(Count, static_cast<double>(Bytes));
  }
  Times.print();
  Sizes.print();
}

void measureAppends() {
  SlopeTable Table{
      "Log appends by group commit (one host)", "calls/s", "appends/s", {}};
  for (const std::uint32_t Calls : {10, 50, 200, 1000, 3700})
    Table.add(Calls, appendsAt(Calls, 1).PerSecond);
  Table.print();
}

void measureAppendsOfManyHosts() {
  constexpr std::uint32_t Calls = 370;
  SlopeTable Appends{"Log appends with 370 calls/s", "hosts", "appends/s", {}};
  SlopeTable Answers{
      "Answer to a claimed call, 370 calls/s", "hosts", "ms", {}};
  for (const std::uint32_t Hosts : {1, 9, 40, 100, 320}) {
    const AppendCost Cost = appendsAt(Calls, Hosts);
    Appends.add(Hosts, Cost.PerSecond);
    Answers.add(Hosts, Cost.MeanAnswerMs);
  }
  Appends.print();
  Answers.print();
}

} // namespace banyanpick
