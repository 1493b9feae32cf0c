/// \file
/// Reads HTTP answers from servers that may send anything.
#pragma once

#include "http/AnswerHead.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace banyanpick {

/// Maximum number of bytes of an answer that were read and not parsed yet.
/// Headers, chunk sizes, chunk extensions and trailers are parsed only when
/// they are complete, so this is also their maximum size.
inline constexpr std::size_t MaxUnparsedBytes = 32ULL * 1024;

/// Maximum number of interim answers before the final one.
inline constexpr unsigned MaxInterimAnswers = 16;

/// For bodies whose size the caller limits itself. boost::none does not work:
/// Beast 1.74 compares it as less than any length.
inline constexpr std::uint64_t NoBodyLimit =
    std::numeric_limits<std::uint64_t>::max();

/// The bytes that were read from a connection and not parsed yet.
class AnswerBuffer : public beast::flat_buffer {
public:
  AnswerBuffer() : beast::flat_buffer(MaxUnparsedBytes) {}
};

/// Reads one answer with the body type \p Body of Beast. Every read fails as
/// soon as a limit is exceeded. Timeouts are those of the caller, who closes
/// the connection.
template <class Body> class AnswerReader {
public:
  using Parser = http::response_parser<Body>;

  /// Reading fails if the body is larger than \p MaxBodyBytes.
  explicit AnswerReader(std::uint64_t MaxBodyBytes)
      : MaxBodyBytes(MaxBodyBytes), Answer(std::in_place) {}

  /// Reads the header of the final answer and discards the interim answers
  /// before it.
  template <class Stream>
  Task<ErrorCode> readHead(Stream &Link, AnswerBuffer &Buffer) {
    for (unsigned Interim = 0; Interim <= MaxInterimAnswers; ++Interim) {
      this->Answer.emplace();
      this->Answer->body_limit(this->MaxBodyBytes);
      const ErrorCode Failure = co_await this->readOneHead(Link, Buffer);
      if (Failure)
        co_return Failure;
      if (!isInterimStatus(this->parser().get().result_int()))
        co_return checkFinalHead(this->parser().get());
    }
    co_return http::make_error_code(http::error::bad_status);
  }

  /// Reads the header and the complete body of the final answer.
  template <class Stream>
  Task<ErrorCode> readWhole(Stream &Link, AnswerBuffer &Buffer) {
    ErrorCode Failure = co_await this->readHead(Link, Buffer);
    if (!Failure)
      co_await http::async_read(Link, Buffer, *this->Answer, into(Failure));
    co_return Failure;
  }

  /// Returns the parser of the final answer, which is empty before readHead().
  Parser &parser() { return *this->Answer; }
  const Parser &parser() const { return *this->Answer; }

private:
  /// Reads the header of one answer, final or not. Used in place of
  /// http::async_read_header(), whose parser joins folded lines and leaves no
  /// trace of them.
  template <class Stream>
  Task<ErrorCode> readOneHead(Stream &Link, AnswerBuffer &Buffer) {
    ErrorCode Failure = this->parseHead(Buffer);
    while (Failure == http::error::need_more) {
      Failure = co_await this->readMore(Link, Buffer);
      if (!Failure)
        Failure = this->parseHead(Buffer);
    }
    co_return Failure;
  }

  /// Parses and consumes complete lines of the header. Returns need_more if
  /// the header does not end within the buffer.
  ErrorCode parseHead(AnswerBuffer &Buffer) {
    if (Buffer.size() == 0)
      return http::make_error_code(http::error::need_more);
    ErrorCode Failure;
    const std::size_t Parsed = this->parser().put(Buffer.cdata(), Failure);
    const std::string_view Lines(
        static_cast<const char *>(Buffer.cdata().data()), Parsed);
    const bool IsFolded = hasFoldedLine(Lines);
    Buffer.consume(Parsed);
    return IsFolded ? http::make_error_code(http::error::bad_field) : Failure;
  }

  /// Reads bytes of an incomplete header into the buffer.
  template <class Stream>
  Task<ErrorCode> readMore(Stream &Link, AnswerBuffer &Buffer) {
    const std::size_t MaxBytes = beast::read_size(Buffer, MaxUnparsedBytes);
    if (MaxBytes == 0)
      co_return http::make_error_code(http::error::buffer_overflow);
    ErrorCode Failure;
    const std::size_t Count =
        co_await Link.async_read_some(Buffer.prepare(MaxBytes), into(Failure));
    Buffer.commit(Count);
    if (Failure == net::error::eof)
      Failure = this->parser().got_some()
                    ? http::make_error_code(http::error::partial_message)
                    : http::make_error_code(http::error::end_of_stream);
    co_return Failure;
  }

  std::uint64_t MaxBodyBytes;
  std::optional<Parser> Answer;
};

} // namespace banyanpick
