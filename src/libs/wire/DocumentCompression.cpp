#include "wire/DocumentCompression.h"

#include "base/Error.h"

#include <algorithm>
#include <memory>
#include <zlib.h>

namespace banyanpick {

namespace {

/// A low compression level, because small hosts compress on their control
/// thread.
constexpr int CompressionLevel = 2;
/// Window of 32 KB. Negative: a raw deflate stream, without zlib's header and
/// checksum.
constexpr int WindowBits = -15;
constexpr int MemoryLevel = 8;

/// Number of bytes by which the output buffer grows during decompression.
constexpr std::size_t OutputStep = 65'536;

/// zlib does not change its input, but takes a pointer to mutable bytes.
Bytef *inputBytes(std::string_view Input) {
  return reinterpret_cast<Bytef *>(const_cast<char *>(Input.data()));
}

Bytef *outputBytes(std::string &Output, std::size_t From) {
  return reinterpret_cast<Bytef *>(Output.data() + From);
}

} // namespace

std::string compressDocument(std::string_view Document) {
  z_stream Stream{};
  if (deflateInit2(&Stream, CompressionLevel, Z_DEFLATED, WindowBits,
                   MemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK)
    throw Error(ErrorKind::Internal, "zlib can't start a compression",
                "give the process more memory");
  const std::unique_ptr<z_stream, decltype(&deflateEnd)> Guard(&Stream,
                                                               deflateEnd);
  std::string Result(deflateBound(&Stream, Document.size()), '\0');
  Stream.next_in = inputBytes(Document);
  Stream.avail_in = static_cast<uInt>(Document.size());
  Stream.next_out = outputBytes(Result, 0);
  Stream.avail_out = static_cast<uInt>(Result.size());
  if (deflate(&Stream, Z_FINISH) != Z_STREAM_END)
    throw Error(ErrorKind::Internal, "zlib did not finish a compression",
                "report it with the document");
  Result.resize(Stream.total_out);
  return Result;
}

std::optional<std::string> decompressDocument(std::string_view Compressed,
                                              std::size_t MaxBytes) {
  z_stream Stream{};
  if (inflateInit2(&Stream, WindowBits) != Z_OK)
    return std::nullopt;
  const std::unique_ptr<z_stream, decltype(&inflateEnd)> Guard(&Stream,
                                                               inflateEnd);
  Stream.next_in = inputBytes(Compressed);
  Stream.avail_in = static_cast<uInt>(Compressed.size());
  std::string Result;
  for (int Status = Z_OK; Status != Z_STREAM_END;) {
    const std::size_t OldSize = Result.size();
    const std::size_t Available = std::min(OutputStep, MaxBytes - OldSize);
    Result.resize(OldSize + Available);
    Stream.next_out = outputBytes(Result, OldSize);
    Stream.avail_out = static_cast<uInt>(Available);
    Status = inflate(&Stream, Z_NO_FLUSH);
    Result.resize(OldSize + Available - Stream.avail_out);
    // Z_BUF_ERROR: the stream is truncated, or its document exceeds MaxBytes.
    if (Status != Z_OK && Status != Z_STREAM_END)
      return std::nullopt;
  }
  return Result;
}

} // namespace banyanpick
