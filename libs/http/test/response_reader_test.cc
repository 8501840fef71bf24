// Guards against responses that HTTP does not allow, whatever the pieces in which they arrive, and
// against those that are found to be invalid only once they have ended.
#include "hawthornlane/http/response_reader.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using http::response_reader;

namespace {

struct reading {
  std::optional<std::string> error;
  std::string body;
  int status = 0;
  bool is_done = false;
  std::string rest;
};

reading read(std::string_view bytes, std::size_t piece, bool to_head = false) {
  response_reader reader({}, to_head);
  reading result;
  while (!bytes.empty() && !result.error && !reader.is_done()) {
    result.rest += bytes.substr(0, piece);
    bytes.remove_prefix(std::min(piece, bytes.size()));
    result.error = reader.feed(result.rest);
  }
  result.rest += bytes;
  result.is_done = !result.error && reader.is_done();
  if (!result.error && reader.has_head()) {
    result.status = reader.status();
    result.body = reader.take_body();
  }
  return result;
}

constexpr std::size_t whole = 1'000'000;

}  // namespace

TEST_CASE("an invalid response is refused before its end has arrived") {
  struct row {
    const char* what;
    const char* begin;
  };
  const row rows[] = {
      {"no status line", "these bytes"},
      {"a status of letters", "HTTP/1.1 2x"},
      {"status 000", "HTTP/1.1 000 None\r\n"},
      {"status 600", "HTTP/1.1 600 None\r\n"},
      {"status 101", "HTTP/1.1 101 Other\r\n"},
      {"a control character in the reason", "HTTP/1.1 200 \x01"},
      {"a folded header", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n"},
      {"a control character in a header", "HTTP/1.1 200 OK\r\nA\x01"},
      {"a blank in a name", "HTTP/1.1 200 OK\r\nA B: c\r\n"},
      {"a blank behind a name", "HTTP/1.1 200 OK\r\nA : c\r\n"},
      {"an unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n"},
      {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n"},
      {"an interim response with a length", "HTTP/1.1 100 C\r\nContent-Length: 1\r\n\r\n"},
      {"no content with chunks", "HTTP/1.1 204 N\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {"no chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"},
      {"a chunk without an end",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"},
      {"a blank at the start of a trailer",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n A: b\r\n"},
      {"a control character in a trailer",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA\x01"},
  };
  for (const row& item : rows) {
    for (const std::size_t piece : {whole, std::size_t{1}, std::size_t{7}}) {
      INFO(item.what << ", pieces of " << piece);
      CHECK(read(item.begin, piece).error);
    }
  }
}

TEST_CASE("a valid response is read in any pieces, and what follows it is left") {
  struct row {
    const char* what;
    const char* bytes;
    int status;
    const char* body;
    bool to_head = false;
  };
  const row rows[] = {
      {"a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
      {"the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody", 200, "body"},
      {"chunks",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
       "Chunked\r\n\r\n2;a=\"b\"\r\nbo\r\n02\r\ndy\r\n0\r\n\r\n",
       200, "body"},
      {"a trailer",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n", 200,
       "body"},
      {"an unknown status", "HTTP/1.1 599 \r\nContent-Length: 4\r\n\r\nbody", 599, "body"},
      {"obs-text", "HTTP/1.1 200 \xe4\r\nA: \xe4\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
      {"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
      {"interim responses",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"
       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
       200, "body"},
      {"no content", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
      {"not modified, with a length", "HTTP/1.1 304 N\r\nContent-Length: 4\r\n\r\n", 304, ""},
      {"to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", 200, "", true},
      {"to HEAD, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200, "", true},
  };
  for (const row& item : rows) {
    for (const std::size_t piece : {whole, std::size_t{1}, std::size_t{7}}) {
      INFO(item.what << ", pieces of " << piece);
      const reading result = read(std::string(item.bytes) + "next", piece, item.to_head);
      CHECK(result.error.value_or("") == "");
      CHECK(result.is_done);
      CHECK(result.status == item.status);
      CHECK(result.body == item.body);
      CHECK(result.rest == "next");
    }
  }
}

TEST_CASE("interim responses without an end are refused") {
  std::string bytes;
  while (bytes.size() < std::size_t{100} * 1024) {
    bytes += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  CHECK(read(bytes, 1000).error == "the interim responses are too large");
}
