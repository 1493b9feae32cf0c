#include "standins/KeyedTopics.h"

namespace banyanpick::standins {

LogOffset KeyedTopics::append(const std::string &Topic, KeyedRecord Record) {
  const std::lock_guard Lock(this->Guard);
  Log &Of = this->Logs[Topic];
  Record.Offset = Of.end();
  if (Record.Value)
    Of.Newest[Record.Key] = Record;
  else
    Of.Newest.erase(Record.Key);
  Of.Records.push_back(std::move(Record));
  this->Came.notify_all();
  return Of.Records.back().Offset;
}

std::vector<KeyedRecord> KeyedTopics::read(const std::string &Topic,
                                           LogOffset From, Duration Wait) {
  std::unique_lock Lock(this->Guard);
  this->Came.wait_for(Lock, Wait,
                      [&] { return this->Logs[Topic].end() > From; });
  const Log &Of = this->Logs[Topic];
  std::vector<KeyedRecord> Result;
  for (const KeyedRecord &Each : Of.Records)
    if (Each.Offset >= From)
      Result.push_back(Each);
  return Result;
}

std::vector<KeyedRecord> KeyedTopics::newest(const std::string &Topic) {
  const std::lock_guard Lock(this->Guard);
  std::vector<KeyedRecord> Result;
  for (const auto &[Key, Each] : this->Logs[Topic].Newest)
    Result.push_back(Each);
  return Result;
}

LogOffset KeyedTopics::end(const std::string &Topic) {
  const std::lock_guard Lock(this->Guard);
  return this->Logs[Topic].end();
}

LogOffset KeyedTopics::first(const std::string &Topic) {
  const std::lock_guard Lock(this->Guard);
  return this->Logs[Topic].First;
}

void KeyedTopics::compact(const std::string &Topic) {
  const std::lock_guard Lock(this->Guard);
  Log &Of = this->Logs[Topic];
  Of.First = Of.end();
  Of.Records.clear();
}

} // namespace banyanpick::standins
