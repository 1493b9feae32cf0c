/// \file
/// Guards against requests that a host has read and drops when it exits after a
/// planned stop, while callers go on using its address and open connections.
#include "process/GatewayDeployment.h"
#include "standins/GatewayDemo.h"

#include <array>
#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace banyanpick::process {
namespace {

using standins::HttpReply;
using standins::KeptConnection;

constexpr seconds CallerTimeLimit(3);
constexpr seconds ReadTimeout(10);
constexpr milliseconds BetweenRequests(150);
constexpr int CallerCount = 8;

/// Callers that know no other host and go on until they are told to end.
class LoyalCallers {
public:
  /// No two objects may have the same \p Name.
  LoyalCallers(const std::string &Address, const std::string &Name) {
    for (int Caller = 0; Caller < CallerCount; ++Caller)
      this->Threads.emplace_back([this, Address, Name, Caller] {
        this->run(Address, fmt::format("{}-{}", Name, Caller));
      });
  }
  ~LoyalCallers() { this->end(); }
  LoyalCallers(const LoyalCallers &) = delete;
  LoyalCallers &operator=(const LoyalCallers &) = delete;

  void end() {
    this->Ends = true;
    for (std::thread &Caller : this->Threads)
      Caller.join();
    this->Threads.clear();
  }

  /// Returns the attempts whose connections closed without a whole answer. May
  /// be called after end().
  const std::vector<std::string> &unanswered() const {
    return this->Unanswered;
  }
  std::size_t served() const { return this->Served; }

private:
  void run(const std::string &Address, const std::string &Name) {
    constexpr std::array Paths{"/safe/x", "/once/x", "/stream/x"};
    KeptConnection Link(Address, ReadTimeout);
    for (std::size_t Round = 0; !this->Ends; ++Round) {
      const std::string Attempt = fmt::format("{}-{}", Name, Round);
      const HttpReply Reply = Link.exchange(standins::demoRequest(
          {}, Paths[Round % Paths.size()], Attempt, "hello", CallerTimeLimit));
      if (Reply.Status == 200 && Reply.isComplete())
        ++this->Served;
      if (!Reply.isComplete()) {
        const std::lock_guard Lock(this->Mutex);
        this->Unanswered.push_back(Attempt);
      }
      std::this_thread::sleep_for(BetweenRequests);
    }
  }

  std::atomic<bool> Ends = false;
  std::atomic<std::size_t> Served = 0;
  std::mutex Mutex;
  std::vector<std::string> Unanswered;
  std::vector<std::thread> Threads;
};

TEST(StoppingHost, DropsNoRequestThatItHasSent) {
  GatewayDeployment Gateway({"", "", ""}, 3);
  for (std::size_t Host = 0; Host < Gateway.hosts(); ++Host) {
    LoyalCallers Callers(Gateway.host(Host).Callers, Gateway.host(Host).Name);
    std::this_thread::sleep_for(milliseconds(500));
    ChildProcess &Stopped = *Gateway.host(Host).Process;
    Stopped.signal(SIGTERM);
    EXPECT_EQ(Stopped.wait(), 0);
    Callers.end();
    EXPECT_GT(Callers.served(), 0U);
    const auto Runs = Gateway.recordedRuns();
    for (const std::string &Attempt : Callers.unanswered())
      EXPECT_FALSE(Runs.contains(Attempt))
          << Attempt << " ran and got no answer from host " << Host;
  }
}

} // namespace
} // namespace banyanpick::process
