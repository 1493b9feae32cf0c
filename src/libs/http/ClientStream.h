/// \file
/// Reads one HTTP answer incrementally.
#pragma once

#include "base/Time.h"
#include "http/AnswerReader.h"
#include "http/ClientRequest.h"
#include "http/EventParser.h"
#include "kernel/Upstream.h"

#include <array>
#include <optional>

namespace banyanpick {

/// Sends one request on its own connection and reads the answer as a whole or
/// as server-sent events. Used on the executor's thread only.
class ClientStream {
public:
  ClientStream(const net::any_io_executor &Executor, std::size_t MaxEventBytes)
      : Link(Executor), Events(MaxEventBytes) {}

  /// Connects within \p ConnectTimeout, sends the request and reads the header
  /// of the answer. \p Timeout starts when the connection is established and
  /// covers everything after that, including later reads.
  Task<std::optional<ClientFailure>> open(Address At, ClientRequest ClientReq,
                                          Duration ConnectTimeout,
                                          Duration Timeout);

  unsigned status() const { return this->Reader.parser().get().result_int(); }

  /// Reads the remaining answer, up to a connection failure or slightly more
  /// than \p MaxBytes. The flag in the result is true if the answer is complete
  /// and not larger than \p MaxBytes.
  Task<std::pair<std::string, bool>> readRest(std::size_t MaxBytes);

  enum class ReadState { Open, Ended, Aborted };
  /// Waits for events and adds them to \p Out. Throws Error(BadInput) if an
  /// event is too long.
  Task<ReadState> readEvents(std::vector<ServerEvent> &Out);

  /// Returns how the connection ended if the read state is Aborted.
  ClientFailure failure() const { return this->AbortReason; }

  /// Closes the connection. A running operation fails.
  void cancel();

private:
  static constexpr std::size_t ReadBytes = 4096;

  /// Reads part of the body into ReadBuffer and returns a view of the bytes.
  Task<std::string_view> readBodyPart();

  beast::tcp_stream Link;
  AnswerBuffer Buffer;
  AnswerReader<http::buffer_body> Reader{NoBodyLimit};
  EventParser Events;
  std::array<char, ReadBytes> ReadBuffer{};
  ClientFailure AbortReason = ClientFailure::Lost;
  bool WasAborted = false;
  bool Cancelled = false;
};

} // namespace banyanpick
