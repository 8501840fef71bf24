// Requests and responses of test callers.
#include "test_caller.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

namespace hawthornlane::scenarios {
namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr const char* host_name = "a.example";

constexpr const char* configuration_text = R"({"version":VERSION,"routes":[
 {"name":"kept","host":"a.example","path-prefix":"/kept/","kind":"stream","timeout-ms":3000,
  "service":"models","max-attempts":1,"kept":true,"retain-s":60,"sticky":true,"resumable":false,
  "priority":1},
 {"name":"resumed","host":"a.example","path-prefix":"/resumed/","kind":"stream","timeout-ms":3000,
  "service":"models","max-attempts":2,"kept":false,"retain-s":60,"sticky":true,"resumable":true},
 {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe","timeout-ms":1500,
  "service":"apps","max-attempts":2,"priority":2},
 {"name":"once","host":"a.example","path-prefix":"/once/","kind":"unsafe","timeout-ms":700,
  "service":"apps","max-attempts":1,"priority":2}],
 "services":[{"name":"models","max-conns":100,"health-path":"/healthz",
   "engine":{"slots":4,"kv-capacity":100000,"tokens-per-event":10,"pin-ms":4000}},
  {"name":"apps","max-conns":100,"health-path":"/healthz"}],
 "limits":{"max-header-bytes":4096,"max-body-bytes":10000,"header-timeout-ms":400,
  "idle-timeout-ms":5000}})";

}  // namespace

std::optional<std::string> call_result::header(const std::string& name) const {
  http::response holder;
  holder.headers = this->headers;
  return holder.find_header(name);
}

// Ports lie below the kernel's ephemeral range and in a range of this process, so that
// tests that run in parallel do not take each other's port between its choice and use.
std::uint16_t free_port() {
  constexpr int first = 10'000;
  constexpr int ranges = 80;
  // A soak with 40 front hosts needs 206 ports.
  constexpr int range_size = 250;
  static int next = first + ::getpid() % ranges * range_size;
  while (true) {
    asio::io_context context;
    tcp::acceptor probe(context);
    boost::system::error_code error;
    const tcp::endpoint at(asio::ip::make_address(loopback), static_cast<std::uint16_t>(next));
    ++next;
    probe.open(at.protocol(), error);
    probe.bind(at, error);
    if (!error) {
      return at.port();
    }
  }
}

std::string bytes_of(const call_request& what) {
  std::string bytes = fmt::format("{} {} HTTP/{}\r\nHost: {}\r\n", what.method, what.path,
                                  what.http_version, host_name);
  if (!what.id.empty()) {
    bytes += fmt::format("X-Request-Id: {}\r\n", what.id);
  }
  for (const http::header& item : what.headers) {
    bytes += fmt::format("{}: {}\r\n", item.name, item.value);
  }
  bytes += fmt::format("Content-Length: {}\r\n\r\n{}", what.body.size(), what.body);
  return bytes;
}

asio::awaitable<void> read_answer(net::timed_socket& socket, std::string& buffer,
                                  net::steady_time until, call_result& into,
                                  std::function<bool(const std::string& body)> is_enough) {
  bhttp::response_parser<bhttp::string_body> parser;
  parser.eager(true);
  parser.body_limit(boost::none);
  constexpr std::size_t step = 4096;
  while (!parser.is_done()) {
    while (!buffer.empty() && !parser.is_done()) {
      net::error_code parsed;
      const std::size_t taken = parser.put(asio::buffer(buffer), parsed);
      buffer.erase(0, taken);
      if (parsed == bhttp::error::need_more) {
        break;
      }
      if (parsed) {
        into.malformed = true;
        co_return;
      }
    }
    into.left = is_enough && !parser.is_done() && is_enough(parser.get().body());
    if (parser.is_done() || into.left) {
      break;
    }
    const net::error_code error = co_await socket.read_more(buffer, step, until);
    if (error == asio::error::eof && parser.is_header_done() && parser.need_eof()) {
      net::error_code ended;
      parser.put_eof(ended);
    }
    if (error) {
      break;
    }
  }
  if (parser.is_header_done()) {
    into.status = static_cast<int>(parser.get().result_int());
    for (const auto& item : parser.get()) {
      into.headers.push_back({std::string(item.name_string()), std::string(item.value())});
    }
  }
  into.body = parser.get().body();
  into.whole = parser.is_done();
}

call_request turn_request_of(const std::string& path, const std::string& id,
                             const std::string& program, const std::string& previous, int budget) {
  call_request call;
  call.path = path;
  call.id = id;
  call.body = "in-" + id + ";";
  call.headers = {{"X-Program-Id", program},
                  {"X-Session-Id", "s"},
                  {"X-Token-Budget", std::to_string(budget)},
                  {"X-Token-Count", "100,30"}};
  if (!previous.empty()) {
    call.headers.push_back({"X-Previous-Turn", previous});
  }
  return call;
}

std::string configuration_of(int version) {
  std::string text = configuration_text;
  constexpr std::string_view mark = "VERSION";
  text.replace(text.find(mark), mark.size(), std::to_string(version));
  return text;
}

}  // namespace hawthornlane::scenarios
