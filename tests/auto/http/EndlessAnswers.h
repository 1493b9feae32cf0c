/// \file
/// Answers of faulty servers: bytes without end where the protocol expects an
/// answer.
#pragma once

#include "RawServer.h"

#include <array>
#include <ostream>

namespace banyanpick {

/// A way in which the bytes of an answer never end.
struct EndlessAnswer {
  const char *Name;
  std::string First;
  std::string Repeated;

  RawAnswer bytes() const {
    RawAnswer Result;
    Result.First = this->First;
    Result.Endless = repeated(this->Repeated);
    return Result;
  }
};

inline std::ostream &operator<<(std::ostream &Out, const EndlessAnswer &Item) {
  return Out << Item.Name;
}

inline std::string chunkedHead(const std::string &Type,
                               const std::string &ExtraHeaders = "") {
  return "HTTP/1.1 200 OK\r\nContent-Type: " + Type +
         "\r\nTransfer-Encoding: chunked\r\n" + ExtraHeaders + "\r\n";
}

/// Returns the kinds that have no end in the framing of HTTP, with bodies of
/// this type.
inline std::vector<EndlessAnswer>
endlessFramings(const std::string &Type, const std::string &Headers = "") {
  const std::string Head = chunkedHead(Type, Headers);
  return {{"Interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
          {"Hints", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
          {"Header", "HTTP/1.1 200 OK\r\n", "X-More: more\r\n"},
          {"HeaderLine", "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxx"},
          {"Garbage", "", "no answer\n"},
          {"ChunkExtension", Head + "5;a=", "bbbbbbbbbb"},
          {"ChunkSize", Head, "0000000000"},
          {"Trailers", Head + "0\r\n", "X-More: more\r\n"},
          {"TrailerLine", Head + "0\r\nX: ", "xxxxxxxxxx"}};
}

/// Returns the kinds that have no end in the body of an event stream.
inline std::vector<EndlessAnswer>
endlessEvents(const std::string &Headers = "") {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + Headers +
      "\r\n";
  const std::string Chunked = chunkedHead("text/event-stream", Headers);
  return {{"DataLines", Head, "data: x\n"},
          {"DataLinesInChunks", Chunked, "8\r\ndata: x\n\r\n"},
          {"Comments", Head, ": x\n\n"},
          {"CommentLines", Head, ": x\n"},
          {"UnknownFields", Head, "other: x\n\n"},
          {"UnknownLines", Head, "other\n"},
          {"LineWithoutEnd", Head, "data: xxxxxxxxx"}};
}

} // namespace banyanpick
