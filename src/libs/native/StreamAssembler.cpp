#include "native/StreamAssembler.h"

namespace banyanpick {

StreamAssembler::Verdict
StreamAssembler::acceptChunk(std::string_view ChunkAttempt,
                             std::uint64_t Index) {
  if (this->Closed || ChunkAttempt != this->Attempt || Index < this->Next)
    return this->drop();
  if (Index > this->Next) {
    this->Closed = true;
    return Verdict::Broken;
  }
  ++this->Next;
  return Verdict::Deliver;
}

StreamAssembler::Verdict StreamAssembler::acceptEnd(std::string_view EndAttempt,
                                                    std::uint64_t Count) {
  if (this->Closed || EndAttempt != this->Attempt)
    return this->drop();
  this->Closed = true;
  return Count == this->Next ? Verdict::Complete : Verdict::Broken;
}

StreamAssembler::Verdict StreamAssembler::drop() {
  ++this->Dropped;
  return Verdict::Drop;
}

} // namespace banyanpick
