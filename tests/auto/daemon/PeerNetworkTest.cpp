/// \file
/// Tests that entry hosts exchange messages only with hosts whose keys they
/// know.
#include <gtest/gtest.h>

#include "base/Error.h"
#include "peers/PeerNetwork.h"

#include <condition_variable>

using namespace banyanpick;

namespace {

/// Collects the messages that a network receives.
class Inbox {
public:
  PeerNetwork::Listener listener() {
    return {[this](PeerMessage Message, std::size_t) {
              const std::lock_guard Lock(this->Mutex);
              this->Received.push_back(std::move(Message));
              this->Arrived.notify_all();
            },
            [this](std::string_view) {
              const std::lock_guard Lock(this->Mutex);
              ++this->MalformedCount;
              this->Arrived.notify_all();
            }};
  }

  bool waitForMessage(std::chrono::milliseconds Timeout) {
    std::unique_lock Lock(this->Mutex);
    return this->Arrived.wait_for(Lock, Timeout,
                                  [this] { return !this->Received.empty(); });
  }

  bool waitForMalformed(std::chrono::milliseconds Timeout) {
    std::unique_lock Lock(this->Mutex);
    return this->Arrived.wait_for(Lock, Timeout,
                                  [this] { return this->MalformedCount > 0; });
  }

  std::mutex Mutex;
  std::condition_variable Arrived;
  std::vector<PeerMessage> Received;
  int MalformedCount = 0;
};

/// A listener for networks that only send.
PeerNetwork::Listener ignoringListener() {
  return {[](const PeerMessage &, std::size_t) {}, [](std::string_view) {}};
}

PeerSettings settingsWith(const CurveKeyPair &Own, std::string_view Allowed) {
  PeerSettings Result{Own, AllowedKeys::parse(Allowed), 65536, 100};
  Result.Allowed.add(Own.PublicKey);
  return Result;
}

const Address AnyPort{"127.0.0.1", 0};
constexpr std::chrono::milliseconds LongTimeout(20'000);
constexpr std::chrono::milliseconds ShortTimeout(300);

HostListing listingOf(const std::string &Name, const PeerNetwork &At) {
  HostListing Result;
  Result.Id.Value = Name;
  Result.Peers = {"127.0.0.1", At.port()};
  return Result;
}

/// Sends a message repeatedly until one is received or \p Timeout has passed.
/// Messages sent before the connection is established may be lost.
bool sendUntilReceived(PeerNetwork &From, const std::string &To, Inbox &At,
                       std::chrono::milliseconds Timeout) {
  const auto Until = std::chrono::steady_clock::now() + Timeout;
  while (std::chrono::steady_clock::now() < Until) {
    From.send(HostId(To), RecordsRequest{7});
    if (At.waitForMessage(std::chrono::milliseconds(20)))
      return true;
  }
  return false;
}

TEST(PeerNetwork, ConnectsHostsWithOneKeyPair) {
  const CurveKeyPair Keys = makeCurveKeyPair();
  Inbox InboxOfB;
  PeerNetwork A(HostId("a"), Incarnation(1), AnyPort, settingsWith(Keys, ""),
                ignoringListener());
  PeerNetwork B(HostId("b"), Incarnation(2), AnyPort, settingsWith(Keys, ""),
                InboxOfB.listener());
  A.connect({{listingOf("b", B)}});
  ASSERT_TRUE(sendUntilReceived(A, "b", InboxOfB, LongTimeout));
  const std::lock_guard Lock(InboxOfB.Mutex);
  EXPECT_EQ(InboxOfB.Received.front(),
            (PeerMessage{HostId("a"), Incarnation(1), RecordsRequest{7}}));
}

TEST(PeerNetwork, HostsWithoutEncryptionTalk) {
  PeerSettings Plain{{}, {}, 65536, 100, false};
  Inbox InboxOfB;
  PeerNetwork A(HostId("a"), Incarnation(1), AnyPort, Plain,
                ignoringListener());
  PeerNetwork B(HostId("b"), Incarnation(2), AnyPort, Plain,
                InboxOfB.listener());
  A.connect({{listingOf("b", B)}});
  EXPECT_TRUE(sendUntilReceived(A, "b", InboxOfB, LongTimeout));
}

TEST(PeerNetwork, DeliversTheMessageThatOpensAConnection) {
  PeerSettings Plain{{}, {}, 65536, 100, false};
  Inbox InboxOfB;
  PeerNetwork A(HostId("a"), Incarnation(1), AnyPort, Plain,
                ignoringListener());
  PeerNetwork B(HostId("b"), Incarnation(2), AnyPort, Plain,
                InboxOfB.listener());
  A.connect({{listingOf("b", B)}});
  A.send(HostId("b"), RecordsRequest{7});
  ASSERT_TRUE(InboxOfB.waitForMessage(LongTimeout))
      << "sent once, before the connection";
  const std::lock_guard Lock(InboxOfB.Mutex);
  EXPECT_EQ(InboxOfB.Received.front().Body, PeerMessageBody(RecordsRequest{7}));
}

TEST(PeerNetwork, RejectsAnUnknownKey) {
  const CurveKeyPair KeysOfB = makeCurveKeyPair();
  Inbox InboxOfB;
  PeerNetwork B(HostId("b"), Incarnation(2), AnyPort, settingsWith(KeysOfB, ""),
                InboxOfB.listener());
  // The stranger knows B's key, but B does not know the key of the stranger.
  PeerNetwork Stranger(
      HostId("a"), Incarnation(1), AnyPort,
      settingsWith(makeCurveKeyPair(), "b " + KeysOfB.PublicKey),
      ignoringListener());
  Stranger.connect({{listingOf("b", B)}});
  EXPECT_FALSE(sendUntilReceived(Stranger, "b", InboxOfB, ShortTimeout));
}

TEST(PeerNetwork, RejectsTheKeyOfAnotherHost) {
  const CurveKeyPair KeysOfA = makeCurveKeyPair();
  const CurveKeyPair KeysOfB = makeCurveKeyPair();
  Inbox InboxOfB;
  PeerNetwork B(HostId("b"), Incarnation(2), AnyPort,
                settingsWith(KeysOfB, "a " + KeysOfA.PublicKey),
                InboxOfB.listener());
  PeerNetwork A(HostId("someone-else"), Incarnation(1), AnyPort,
                settingsWith(KeysOfA, "b " + KeysOfB.PublicKey),
                ignoringListener());
  A.connect({{listingOf("b", B)}});
  while (!InboxOfB.waitForMalformed(std::chrono::milliseconds(20)))
    A.send(HostId("b"), RecordsRequest{7});
  EXPECT_FALSE(InboxOfB.waitForMessage(std::chrono::milliseconds(0)));
}

TEST(PeerNetwork, ReportsAnInvalidAddress) {
  Inbox InboxOfA;
  PeerNetwork A(HostId("a"), Incarnation(1), AnyPort,
                settingsWith(makeCurveKeyPair(), ""), InboxOfA.listener());
  HostListing Wrong;
  Wrong.Id.Value = "b";
  Wrong.Peers = {"not an address", 1};
  A.connect({{Wrong}});
  // The connection to a peer is opened by the first message to it.
  A.send(HostId("b"), RecordsRequest{7});
  EXPECT_TRUE(InboxOfA.waitForMalformed(LongTimeout));
}

TEST(PeerNetwork, RejectsMalformedKeys) {
  EXPECT_THROW(AllowedKeys::parse("short"), Error);
  EXPECT_THROW(AllowedKeys::parse("host " + std::string(40, ' ')), Error);
}

} // namespace
