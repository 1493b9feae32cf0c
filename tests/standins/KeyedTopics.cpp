#include "standins/KeyedTopics.h"

namespace banyanpick::standins {

LogOffset KeyedTopics::append(const std::string &Topic, KeyedRecord Record) {
  const std::lock_guard Lock(this->Mutex);
  Log &TopicLog = this->Logs[Topic];
  Record.Offset = TopicLog.end();
  if (Record.Value)
    TopicLog.Newest[Record.Key] = Record;
  else
    TopicLog.Newest.erase(Record.Key);
  TopicLog.Records.push_back(std::move(Record));
  this->Appended.notify_all();
  return TopicLog.Records.back().Offset;
}

std::vector<KeyedRecord> KeyedTopics::read(const std::string &Topic,
                                           LogOffset From, Duration Wait) {
  std::unique_lock Lock(this->Mutex);
  this->Appended.wait_for(Lock, Wait,
                          [&] { return this->Logs[Topic].end() > From; });
  const Log &TopicLog = this->Logs[Topic];
  std::vector<KeyedRecord> Result;
  for (const KeyedRecord &Record : TopicLog.Records)
    if (Record.Offset >= From)
      Result.push_back(Record);
  return Result;
}

std::vector<KeyedRecord> KeyedTopics::newest(const std::string &Topic) {
  const std::lock_guard Lock(this->Mutex);
  std::vector<KeyedRecord> Result;
  for (const auto &[Key, Record] : this->Logs[Topic].Newest)
    Result.push_back(Record);
  return Result;
}

LogOffset KeyedTopics::end(const std::string &Topic) {
  const std::lock_guard Lock(this->Mutex);
  return this->Logs[Topic].end();
}

LogOffset KeyedTopics::first(const std::string &Topic) {
  const std::lock_guard Lock(this->Mutex);
  return this->Logs[Topic].First;
}

void KeyedTopics::compact(const std::string &Topic) {
  const std::lock_guard Lock(this->Mutex);
  Log &TopicLog = this->Logs[Topic];
  TopicLog.First = TopicLog.end();
  TopicLog.Records.clear();
}

} // namespace banyanpick::standins
