/// \file
/// A small store of keyed topics that speaks the platform's protocol.
///
/// Beside it, for tests: `POST /standin/put?Topic=T&Key=K` writes a record as
/// the operator or an upstream would (an empty body drops the key),
/// `POST /standin/compact?Topic=T` drops a topic's history, and
/// `POST /standin/down?On=1` makes it refuse everything else.
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
  void serve(Exchange &Each) {
    const std::string Path = "/" + Each.path().front();
    if (Path == "/standin") {
      this->control(Each);
      return;
    }
    if (this->Down) {
      Each.answer(503, json::object());
      return;
    }
    const std::string Topic = Each.queryText("Topic");
    if (Path == platform::path::Read)
      this->read(Each, Topic);
    else if (Path == platform::path::Newest)
      this->newest(Each, Topic);
    else if (Path == platform::path::Append)
      this->append(Each, Topic);
    else
      Each.answer(404, json::object());
  }

private:
  void control(Exchange &Each) {
    const std::string What = Each.path().at(1);
    const std::string Topic = Each.queryText("Topic");
    if (What == "put")
      this->put(Topic, Each.queryText("Key"), Each.body());
    else if (What == "compact")
      this->Topics.compact(Topic);
    else if (What == "down")
      this->Down = Each.queryNumber("On", 1) != 0;
    Each.answer(200, json::object());
  }

  void put(const std::string &Topic, std::string Key, const std::string &Body) {
    KeyedRecord Record;
    Record.Key = std::move(Key);
    if (!Body.empty())
      Record.Value = Body;
    this->Topics.append(Topic, std::move(Record));
  }

  void read(Exchange &Each, const std::string &Topic) {
    const LogOffset From = Each.queryNumber("From", 0);
    const LogOffset First = this->Topics.first(Topic);
    if (From < First) {
      Each.answer(410, json{{"FirstOffset", First}});
      return;
    }
    const milliseconds Wait(Each.queryNumber("WaitMs", 0));
    const auto Records = this->Topics.read(Topic, From, Wait);
    std::string Body = bigEndian(this->Topics.end(Topic)) + bigEndian(First);
    for (const KeyedRecord &Record : Records)
      Body += platform::writeFrame(Record);
    Each.answer(200, Headers{}, Body);
  }

  void newest(Exchange &Each, const std::string &Topic) {
    json Items = json::array();
    const LogOffset End = this->Topics.end(Topic);
    for (const KeyedRecord &Record : this->Topics.newest(Topic))
      Items.push_back({{"Key", Record.Key},
                       {"Value", toBase64(*Record.Value)},
                       {"Offset", Record.Offset}});
    Each.answer(
        200, json{{"Items", Items}, {"Truncated", false}, {"EndOffset", End}});
  }

  void append(Exchange &Each, const std::string &Topic) {
    // A read's body begins with two offsets; an append's with the records.
    const std::string Body = std::string(16, '\0') + Each.body();
    LogOffset Offset = this->Topics.end(Topic);
    for (KeyedRecord &Record : platform::readFrames(Body, 0).Records)
      Offset = this->Topics.append(Topic, std::move(Record));
    Each.answer(200, json{{"Offset", Offset}, {"EndOffset", Offset + 1}});
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
  serveHttp(FLAGS_listen, [&](Exchange &Each) { Service.serve(Each); });
}
