/// \file
/// Measures the overhead of the entry host: the latency of a chunk and of a
/// request between engine and caller, and the memory of an open stream. One run
/// alternates direct turns with turns through the host. docs/MEASURING.md
/// explains the figures.
#include "auto/daemon/LocalHost.h"
#include "http/ClientStream.h"

#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_uint64(requests_per_second, 500, "arrivals");
DEFINE_uint64(chunks, 40, "chunks of each answer");
DEFINE_uint64(chunk_ms, 5, "time between two chunks");
DEFINE_uint64(seconds, 5, "length of each turn");
DEFINE_uint64(turns, 2, "turns of each kind");
DEFINE_uint64(open_streams, 400, "streams held open to measure memory");

namespace banyanpick {

namespace {

using Steady = std::chrono::steady_clock;

std::int64_t nowNs() { return Steady::now().time_since_epoch().count(); }

/// Latencies of one kind of path in microseconds, with counts of requests.
struct Samples {
  std::vector<double> Chunks;      ///< From write by engine to read by caller.
  std::vector<double> FirstChunks; ///< From request start to first chunk.
  std::uint64_t Complete = 0;
  std::uint64_t Failed = 0;
};

double quantile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  const auto At = static_cast<std::ptrdiff_t>(
      Part * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + At, Values.end());
  return Values[static_cast<std::size_t>(At)];
}

/// The address and the content of requests.
struct RequestPath {
  Address At;
  ClientRequest Request;
};

void recordEvent(const ServerEvent &Event, std::int64_t Start, bool &IsFirst,
                 Samples &Result) {
  if (Event.Type == "end")
    ++Result.Complete;
  if (!Event.Type.empty())
    return;
  const std::int64_t Now = nowNs();
  const auto Data = nlohmann::json::parse(Event.Data);
  const std::int64_t Sent = std::stoll(Data["text"].get<std::string>());
  Result.Chunks.push_back(static_cast<double>(Now - Sent) / 1e3);
  if (IsFirst)
    Result.FirstChunks.push_back(static_cast<double>(Now - Start) / 1e3);
  IsFirst = false;
}

Task<void> runOne(const RequestPath &Route, Samples &Result) {
  const net::any_io_executor Executor = co_await net::this_coro::executor;
  ClientStream Stream(Executor, 65536);
  const std::int64_t Start = nowNs();
  ClientRequest Request = Route.Request;
  const auto Failure = co_await Stream.open(Route.At, std::move(Request),
                                            seconds(5), seconds(60));
  if (Failure || Stream.status() != 200) {
    ++Result.Failed;
    co_return;
  }
  bool IsFirst = true;
  std::vector<ServerEvent> Events;
  auto State = ClientStream::ReadState::Open;
  while (State == ClientStream::ReadState::Open) {
    Events.clear();
    State = co_await Stream.readEvents(Events);
    for (const ServerEvent &Event : Events)
      recordEvent(Event, Start, IsFirst, Result);
  }
}

/// Sends requests at the given rate for one turn and waits until all have
/// ended.
void runTurn(const RequestPath &Route, Samples &Result) {
  net::io_context Io(1);
  const auto Pause =
      std::chrono::nanoseconds(1'000'000'000) / FLAGS_requests_per_second;
  const auto Count = FLAGS_requests_per_second * FLAGS_seconds;
  const auto Arrivals = [&]() -> Task<void> {
    net::steady_timer Timer(Io, Steady::now());
    for (std::uint64_t Index = 0; Index < Count; ++Index) {
      net::co_spawn(Io, runOne(Route, Result), net::detached);
      Timer.expires_at(Timer.expiry() + Pause);
      co_await Timer.async_wait(net::use_awaitable);
    }
  };
  net::co_spawn(Io, Arrivals(), net::detached);
  Io.run();
}

double residentBytes() {
  std::ifstream In("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Returns the growth of the process in bytes per open stream.
double bytesPerStream(const RequestPath &Route) {
  net::io_context Io(1);
  Samples Ignored;
  const double Before = residentBytes();
  for (std::uint64_t Index = 0; Index < FLAGS_open_streams; ++Index)
    net::co_spawn(Io, runOne(Route, Ignored), net::detached);
  Io.run_for(seconds(3));
  return (residentBytes() - Before) / static_cast<double>(FLAGS_open_streams);
}

std::string bodyFor(bool Direct, std::uint64_t Chunks) {
  const std::string Prompt(4096, 'p');
  nlohmann::json Body{{"prompt", Prompt}, {"max_tokens", Chunks}};
  if (Direct)
    Body.update({{"model", "m"}, {"start_index", 0}});
  else
    Body.update({{"class", "short"}, {"stream", true}});
  return dumpJson(Body);
}

RequestPath pathTo(const Address &At, bool Direct, std::uint64_t Chunks) {
  RequestPath Result;
  Result.At = At;
  Result.Request.Method = http::verb::post;
  Result.Request.Target = "/v1/completions";
  Result.Request.Headers = {{"Authorization", "Bearer t.key"},
                            {"X-Attempt", "1-1"}};
  Result.Request.Body = bodyFor(Direct, Chunks);
  return Result;
}

void print(const char *Name, const Samples &Measured) {
  fmt::print("{:<12} {:>9} {:>7} {:>10.0f} {:>10.0f} {:>12.0f} {:>12.0f}\n",
             Name, Measured.Complete, Measured.Failed,
             quantile(Measured.Chunks, 0.5), quantile(Measured.Chunks, 0.99),
             quantile(Measured.FirstChunks, 0.5),
             quantile(Measured.FirstChunks, 0.99));
}

int measure() {
  LocalHost Host;
  Host.Platform.ChunkMs = static_cast<int>(FLAGS_chunk_ms);
  Host.Platform.SendsTimestamps = true;
  const Address Engine = Host.Platform.engineAt();
  const RequestPath Direct = pathTo(Engine, true, FLAGS_chunks);
  const RequestPath Relayed = pathTo(Host.callers(), false, FLAGS_chunks);
  Samples DirectSamples;
  Samples RelayedSamples;
  for (std::uint64_t Turn = 0; Turn < FLAGS_turns; ++Turn) {
    runTurn(Direct, DirectSamples);
    runTurn(Relayed, RelayedSamples);
  }
  fmt::print("{} requests/s, {} chunks/s, microseconds\n"
             "path             whole  others  chunk p50  chunk p99  first p50  "
             "  first p99\n",
             FLAGS_requests_per_second,
             FLAGS_requests_per_second * FLAGS_chunks);
  print("direct", DirectSamples);
  print("entry host", RelayedSamples);
  fmt::print("added p50: {:.0f} us a chunk, {:.0f} us a request\n",
             quantile(RelayedSamples.Chunks, 0.5) -
                 quantile(DirectSamples.Chunks, 0.5),
             quantile(RelayedSamples.FirstChunks, 0.5) -
                 quantile(DirectSamples.FirstChunks, 0.5));
  Host.Platform.ChunkMs = 1000;
  const double DirectBytes = bytesPerStream(pathTo(Engine, true, 100));
  const double RelayedBytes =
      bytesPerStream(pathTo(Host.callers(), false, 100));
  fmt::print("memory of an open stream: {:.1f} KB in the entry host ({:.1f} KB "
             "with caller and engine, {:.1f} KB of them alone)\n",
             (RelayedBytes - DirectBytes) / 1024, RelayedBytes / 1024,
             DirectBytes / 1024);
  return RelayedSamples.Complete > 0 ? 0 : 1;
}

} // namespace
} // namespace banyanpick

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  return banyanpick::measure();
}
