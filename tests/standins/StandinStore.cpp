/// \file
/// A small store of keyed topics that implements the platform's protocol.
///
/// Control requests for tests: `POST /standin/put?Topic=T&Key=K` writes a
/// record as the operator or an upstream would (an empty body deletes the key),
/// `POST /standin/compact?Topic=T` drops a topic's history, and
/// `POST /standin/down?On=1` makes the store refuse all other requests.
#include "base/Base64.h"
#include "platform/RecordFrames.h"
#include "platform/WireNames.h"
#include "standins/HttpServer.h"
#include "standins/KeyedTopics.h"

#include <atomic>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:7400", "where it listens");

namespace banyanpick::standins {

namespace {

using nlohmann::json;

std::string bigEndian(std::uint64_t Number) {
  std::string Result;
  for (int Byte = 7; Byte >= 0; --Byte)
    Result += static_cast<char>(Number >> (Byte * 8));
  return Result;
}

class StoreService {
public:
  void serve(Exchange &Incoming) {
    const std::string Path = "/" + Incoming.path().front();
    if (Path == "/standin") {
      this->control(Incoming);
      return;
    }
    if (this->Down) {
      Incoming.answer(503, json::object());
      return;
    }
    const std::string Topic = Incoming.queryText("Topic");
    if (Path == platform::path::Read)
      this->read(Incoming, Topic);
    else if (Path == platform::path::Newest)
      this->newest(Incoming, Topic);
    else if (Path == platform::path::Append)
      this->append(Incoming, Topic);
    else
      Incoming.answer(404, json::object());
  }

private:
  void control(Exchange &Incoming) {
    const std::string Operation = Incoming.path().at(1);
    const std::string Topic = Incoming.queryText("Topic");
    if (Operation == "put")
      this->put(Topic, Incoming.queryText("Key"), Incoming.body());
    else if (Operation == "compact")
      this->Topics.compact(Topic);
    else if (Operation == "down")
      this->Down = Incoming.queryNumber("On", 1) != 0;
    Incoming.answer(200, json::object());
  }

  void put(const std::string &Topic, std::string Key, const std::string &Body) {
    KeyedRecord Record;
    Record.Key = std::move(Key);
    if (!Body.empty())
      Record.Value = Body;
    this->Topics.append(Topic, std::move(Record));
  }

  void read(Exchange &Incoming, const std::string &Topic) {
    const LogOffset From = Incoming.queryNumber("From", 0);
    const LogOffset First = this->Topics.first(Topic);
    if (From < First) {
      Incoming.answer(410, json{{"FirstOffset", First}});
      return;
    }
    const milliseconds Wait(Incoming.queryNumber("WaitMs", 0));
    const auto Records = this->Topics.read(Topic, From, Wait);
    std::string Body = bigEndian(this->Topics.end(Topic)) + bigEndian(First);
    for (const KeyedRecord &Record : Records)
      Body += platform::writeFrame(Record);
    Incoming.answer(200, Headers{}, Body);
  }

  void newest(Exchange &Incoming, const std::string &Topic) {
    json Items = json::array();
    const LogOffset End = this->Topics.end(Topic);
    for (const KeyedRecord &Record : this->Topics.newest(Topic))
      Items.push_back({{"Key", Record.Key},
                       {"Value", toBase64(*Record.Value)},
                       {"Offset", Record.Offset}});
    Incoming.answer(
        200, json{{"Items", Items}, {"Truncated", false}, {"EndOffset", End}});
  }

  void append(Exchange &Incoming, const std::string &Topic) {
    // The body of a read begins with two offsets, which the parser expects. The
    // body of an append has only the records.
    const std::string Body = std::string(16, '\0') + Incoming.body();
    LogOffset Offset = this->Topics.end(Topic);
    for (KeyedRecord &Record : platform::readFrames(Body, 0).Records)
      Offset = this->Topics.append(Topic, std::move(Record));
    Incoming.answer(200, json{{"Offset", Offset}, {"EndOffset", Offset + 1}});
  }

  KeyedTopics Topics;
  std::atomic<bool> Down = false;
};

} // namespace
} // namespace banyanpick::standins

int main(int Count, char **Values) {
  using namespace banyanpick::standins;
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  StoreService Service;
  serveHttp(FLAGS_listen, [&](Exchange &Incoming) { Service.serve(Incoming); });
}
