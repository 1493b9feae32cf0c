#include "app/ChunkBuffer.h"

#include <algorithm>

namespace banyanpick {

void ChunkBuffer::append(std::string Text) {
  const std::size_t Cost = costOf(Text);
  const bool IsDelivered = this->end() < this->Delivered;
  this->Chunks.push_back(std::move(Text));
  this->Bytes += Cost;
  if (!IsDelivered)
    return;
  this->DeliveredBytes += Cost;
  this->dropOldest();
}

void ChunkBuffer::markDelivered(std::uint64_t Index) {
  for (; this->Delivered < Index; ++this->Delivered)
    if (this->Delivered < this->end())
      this->DeliveredBytes += costOf(this->at(this->Delivered));
  this->dropOldest();
}

void ChunkBuffer::dropOldest() {
  while (this->DeliveredBytes > this->KeepDeliveredBytes) {
    const std::size_t Cost = costOf(this->Chunks.front());
    this->Chunks.pop_front();
    ++this->First;
    this->Bytes -= Cost;
    this->DeliveredBytes -= Cost;
  }
}

std::string ChunkBuffer::joined() const {
  std::string Result;
  for (const std::string &Chunk : this->Chunks)
    Result += Chunk;
  return Result;
}

} // namespace banyanpick
