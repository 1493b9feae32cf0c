#include "standins/PlatformLog.h"

#include <algorithm>

namespace banyanpick::standins {

namespace {

constexpr std::size_t MaxRecordsPerRead = 512;

} // namespace

LogOffset PlatformLog::append(std::string Bytes) {
  const std::lock_guard Lock(this->Mutex);
  this->Records.push_back(std::move(Bytes));
  if (this->RetainRecords != 0 && this->Records.size() > this->RetainRecords) {
    this->Records.pop_front();
    ++this->Start;
  }
  this->Appended.notify_all();
  return this->Start + this->Records.size() - 1;
}

LogSlice PlatformLog::read(LogOffset From, milliseconds MaxWait) {
  std::unique_lock Lock(this->Mutex);
  const auto End = [this] { return this->Start + this->Records.size(); };
  this->Appended.wait_for(Lock, MaxWait, [&] { return From < End(); });
  LogSlice Slice;
  Slice.Start = this->Start;
  Slice.End = End();
  Slice.FirstOffset = std::clamp(From, Slice.Start, Slice.End);
  const std::size_t Skipped = Slice.FirstOffset - Slice.Start;
  const std::size_t Count =
      std::min(this->Records.size() - Skipped, MaxRecordsPerRead);
  const auto First =
      this->Records.begin() + static_cast<std::ptrdiff_t>(Skipped);
  Slice.Records.assign(First, First + static_cast<std::ptrdiff_t>(Count));
  return Slice;
}

void PlatformLog::setFaults(const LogFaults &NewFaults) {
  const std::lock_guard Lock(this->Mutex);
  this->Faults = NewFaults;
}

LogFaults PlatformLog::faults() {
  const std::lock_guard Lock(this->Mutex);
  return this->Faults;
}

bool PlatformLog::consumeAnswerLoss() {
  const std::lock_guard Lock(this->Mutex);
  if (this->Faults.LoseAnswers == 0)
    return false;
  --this->Faults.LoseAnswers;
  return true;
}

} // namespace banyanpick::standins
