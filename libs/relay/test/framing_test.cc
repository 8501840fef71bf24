// Guards against request smuggling: a head whose end two parsers can place differently must not be
// forwarded, nor must hop-by-hop headers.
#include "hawthornlane/relay/framing.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;
using namespace hawthornlane::relay;

TEST_CASE("a head with ambiguous or invalid framing is refused") {
  struct row {
    const char* what;
    const char* head;
    bool valid;
  };
  const row rows[] = {
      {"plain", "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n", true},
      {"with a length", "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n", true},
      {"chunked", "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", true},
      {"two lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", false},
      {"the same length twice",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", false},
      {"a list of lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n", false},
      {"a signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n", false},
      {"length and chunks",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
       false},
      {"chunks twice",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
       "chunked\r\n\r\n",
       false},
      {"another encoding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
       false},
      {"space before the colon", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n", false},
      {"folded header", "GET / HTTP/1.1\r\nHost: h\r\nX-A: b\r\n c\r\n\r\n", false},
      {"bare line feed", "GET / HTTP/1.1\nHost: h\r\n\r\n", false},
      {"bare carriage return", "GET / HTTP/1.1\r\nHost: h\r\nX-A: b\rX-B: c\r\n\r\n", false},
      {"no host", "GET / HTTP/1.1\r\nX-A: b\r\n\r\n", false},
      {"two hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", false},
      {"an absolute URL as target", "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", false},
      {"a space in the target", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", false},
      {"no version", "GET /\r\nHost: h\r\n\r\n", false},
      {"an unknown version", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", false},
      {"a control character in a value", "GET / HTTP/1.1\r\nHost: h\r\nX-A: \x01\r\n\r\n", false},
  };
  for (const row& item : rows) {
    INFO(item.what);
    CHECK(find_framing_error(item.head).has_value() != item.valid);
  }
}

TEST_CASE("hop-by-hop headers are not forwarded") {
  const std::vector<http::header> given{{"Host", "h"},
                                        {"Connection", "keep-alive, X-Own"},
                                        {"Keep-Alive", "timeout=5"},
                                        {"x-own", "1"},
                                        {"TE", "trailers"},
                                        {"Upgrade", "other"},
                                        {"Content-Length", "3"},
                                        {"X-Request-Id", "r"}};
  const std::vector<http::header> kept = end_to_end_headers(given);
  REQUIRE(kept.size() == 2);
  CHECK(kept[0].name == "Host");
  CHECK(kept[1].name == "X-Request-Id");
}
