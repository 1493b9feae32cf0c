/// \file
/// Guards against a host that runs out of memory because messages wait in its
/// connections to peers that take none in.
#include "base/Error.h"
#include "peers/PeerNetwork.h"
#include "peers/PeerSettings.h"
#include "settings/Settings.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace banyanpick {
namespace {

/// Both hosts together hold no more for one connection, with the buffers of
/// the system.
constexpr std::size_t MaxHeldBytes = 16'000'000;

constexpr std::size_t MessageBytes = 32'768;
constexpr std::size_t Messages = 1500;

const Address AnyPort{"127.0.0.1", 0};

/// Takes in nothing until it is opened.
class ClosedInbox {
public:
  PeerNetwork::Listener listener() {
    return {[this](const PeerMessage &, std::size_t) {
              this->Opened.wait(false);
              ++this->Count;
            },
            [](std::string_view) {}};
  }
  void open() {
    this->Opened = true;
    this->Opened.notify_all();
  }
  std::size_t count() const { return this->Count; }

private:
  std::atomic<bool> Opened = false;
  std::atomic<std::size_t> Count = 0;
};

PeerSettings plainSettings() {
  PeerSettings Result{{}, {}, 1'000'000, 0, false};
  for (const SettingDeclaration &Declared : peerSettingDeclarations())
    if (Declared.Key == "queue_messages")
      Result.QueueMessages = std::stoull(Declared.Default);
  return Result;
}

TEST(SlowPeer, HoldsFewMessages) {
  ClosedInbox Inbox;
  PeerNetwork Sender(
      HostId("a"), Incarnation(1), AnyPort, plainSettings(),
      {[](const PeerMessage &, std::size_t) {}, [](std::string_view) {}});
  PeerNetwork Receiver(HostId("b"), Incarnation(2), AnyPort, plainSettings(),
                       Inbox.listener());
  HostListing Listing;
  Listing.Id = HostId("b");
  Listing.Peers = {"127.0.0.1", Receiver.port()};
  Sender.connect({{Listing}});
  const ConfigurationRelayed Chunk{1, std::string(MessageBytes, 'x'), 0,
                                   MessageBytes};
  for (std::size_t Sent = 0; Sent < Messages; ++Sent) {
    Sender.send(HostId("b"), Chunk);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  Inbox.open();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  EXPECT_GT(Inbox.count(), 0U);
  EXPECT_LE(Inbox.count() * MessageBytes, MaxHeldBytes);
}

} // namespace
} // namespace banyanpick
