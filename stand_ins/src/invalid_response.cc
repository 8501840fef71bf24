// Responses that HTTP does not allow, and unusual ones that it allows, for stand-ins of servers in
// trouble.
#include "hawthornlane/stand_ins/invalid_response.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hawthornlane::stand_ins {
namespace asio = boost::asio;
using namespace std::string_view_literals;

namespace {

constexpr std::string_view ok = "HTTP/1.1 200 OK";
constexpr auto piece_interval = std::chrono::milliseconds(1);

unusual_response with_begin(std::string_view name, std::string_view begin) { return {name, begin}; }

unusual_response with_hidden_response(std::string_view name, std::string_view begin) {
  return {.name = name, .begin = begin, .hides_response = true};
}

unusual_response with_header(std::string_view name, std::string_view header) {
  return {name, ok, header};
}

unusual_response with_trailer(std::string_view name, std::string_view trailer) {
  return {name, ok, "", trailer};
}

unusual_response with_framing(std::string_view name, std::string_view header) {
  return {.name = name, .header = header, .is_framed_by_header = true};
}

const std::array invalid_table{
    with_begin("status 000", "HTTP/1.1 000 None"),
    with_begin("status 001", "HTTP/1.1 001 None"),
    with_begin("status 099", "HTTP/1.1 099 None"),
    with_begin("status 101", "HTTP/1.1 101 Switching Protocols"),
    with_begin("status 600", "HTTP/1.1 600 Unknown"),
    with_begin("status 700", "HTTP/1.1 700 Unknown"),
    with_begin("status 999", "HTTP/1.1 999 Unknown"),
    with_begin("status of two digits", "HTTP/1.1 20 OK"),
    with_begin("status of four digits", "HTTP/1.1 2000 OK"),
    with_begin("status with a letter", "HTTP/1.1 2x0 OK"),
    with_begin("no status", "HTTP/1.1 OK"),
    with_begin("version 2.0", "HTTP/2.0 200 OK"),
    with_begin("version 1", "HTTP/1 200 OK"),
    with_begin("another protocol", "ICY 200 OK"),
    with_begin("a control character in the reason", "HTTP/1.1 200 O\x01K"),
    with_begin("a NUL in the reason", "HTTP/1.1 200 O\0K"sv),
    with_begin("a CR in the reason", "HTTP/1.1 200 O\rK"),
    with_begin("a LF alone behind the status line", "HTTP/1.1 200 OK\nX-Odd: a"),
    with_begin("an empty line first", "\r\nHTTP/1.1 200 OK"),
    with_hidden_response("status 000 before a response", "HTTP/1.1 000 None"),
    with_hidden_response("status 099 before a response", "HTTP/1.1 099 None"),
    with_hidden_response("status 100 with a body that is a response", "HTTP/1.1 100 Continue"),
    with_hidden_response("status 101 before a response", "HTTP/1.1 101 Switching Protocols"),
    with_begin("status 100 with a body", "HTTP/1.1 100 Continue"),
    with_begin("status 204 with a body", "HTTP/1.1 204 No Content"),
    with_begin("a blank at the start of the first name", "HTTP/1.1 200 OK\r\n X-Odd: a"),
    with_begin("a tab at the start of the first name", "HTTP/1.1 200 OK\r\n\tX-Odd: a"),
    with_header("a blank at the start of a name", " X-Odd: a\r\n"),
    with_header("a tab at the start of a name", "\tX-Odd: a\r\n"),
    with_header("a folded line", "X-Odd: a\r\n b\r\n"),
    with_header("a blank within a name", "X Odd: a\r\n"),
    with_header("a tab within a name", "X\tOdd: a\r\n"),
    with_header("a blank at the end of a name", "X-Odd : a\r\n"),
    with_header("a tab at the end of a name", "X-Odd\t: a\r\n"),
    with_header("a control character at the start of a name", "\x01X-Odd: a\r\n"),
    with_header("a control character within a name", "X-\x01Odd: a\r\n"),
    with_header("a control character at the end of a name", "X-Odd\x01: a\r\n"),
    with_header("a NUL within a name", "X-\0Odd: a\r\n"sv),
    with_header("a DEL within a name", "X-\x7fOdd: a\r\n"),
    with_header("a CR within a name", "X-\rOdd: a\r\n"),
    with_header("a LF within a name", "X-\nOdd: a\r\n"),
    with_header("a separator within a name", "X(Odd): a\r\n"),
    with_header("obs-text within a name", "X-\xe4Odd: a\r\n"),
    with_header("an empty name", ": a\r\n"),
    with_header("no colon", "X-Odd\r\n"),
    with_header("a NUL in a value", "X-Odd: a\0b\r\n"sv),
    with_header("a control character in a value", "X-Odd: a\x01z\r\n"),
    with_header("a DEL in a value", "X-Odd: a\x7fz\r\n"),
    with_header("a CR in a value", "X-Odd: a\rb\r\n"),
    with_header("a LF in a value", "X-Odd: a\nb\r\n"),
    with_trailer("a blank at the start of a trailer's name", " X-Odd: a\r\n"),
    with_trailer("a folded line in a trailer", "X-Odd: a\r\n b\r\n"),
    with_trailer("a blank within a trailer's name", "X Odd: a\r\n"),
    with_trailer("a blank at the end of a trailer's name", "X-Odd : a\r\n"),
    with_trailer("a control character at the start of a trailer's name", "\x01X-Odd: a\r\n"),
    with_trailer("a control character within a trailer's name", "X-\x01Odd: a\r\n"),
    with_trailer("a control character at the end of a trailer's name", "X-Odd\x01: a\r\n"),
    with_trailer("a NUL in a trailer's value", "X-Odd: a\0b\r\n"sv),
    with_trailer("no colon in a trailer", "X-Odd\r\n"),
    with_framing("an unknown transfer coding", "Transfer-Encoding: xchunked\r\n"),
    with_framing("the transfer coding identity", "Transfer-Encoding: identity\r\n"),
    with_framing("a list with an empty transfer coding", "Transfer-Encoding: chunked,\r\n"),
    with_framing("an unknown transfer coding and a length",
                 "Transfer-Encoding: xchunked\r\nContent-Length: 9\r\n"),
    with_framing("chunks and a length", "Transfer-Encoding: chunked\r\nContent-Length: 9\r\n"),
    with_framing("two lengths", "Content-Length: 9\r\nContent-Length: 4\r\n"),
    with_framing("a list of two lengths", "Content-Length: 9, 4\r\n"),
    with_framing("a negative length", "Content-Length: -9\r\n"),
    with_framing("a length with a letter", "Content-Length: 9x\r\n"),
    with_framing("an empty length", "Content-Length: \r\n"),
    with_framing("a length that has a blank before its colon", "Content-Length : 9\r\n"),
};

const std::array allowed_table{
    with_begin("an empty reason", "HTTP/1.1 200 "),
    with_begin("obs-text in the reason", "HTTP/1.1 200 \xe4"),
    with_begin("status 299", "HTTP/1.1 299 Unknown"),
    with_begin("status 399", "HTTP/1.1 399 Unknown"),
    with_begin("status 499", "HTTP/1.1 499 Unknown"),
    with_begin("status 599", "HTTP/1.1 599 Unknown"),
    with_begin("status 302", "HTTP/1.1 302 Found"),
    with_begin("an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"),
    with_begin("interim responses with headers",
               "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
               "HTTP/1.1 200 OK"),
    with_header("obs-text in a value", "X-Odd: \xe4\r\n"),
    with_header("an empty value", "X-Odd:\r\n"),
    with_header("a tab in a value", "X-Odd: a\tb\r\n"),
    with_header("all characters of a name", "!#$%&'*+-.^_`|~09azAZ: a\r\n"),
    with_trailer("a trailer", "X-Odd: a\r\nX-Even: b\r\n"),
};

/// The status in the last status line of `begin`.
std::string_view status_of(std::string_view begin) {
  const std::size_t at = begin.rfind("HTTP/1.1 ");
  constexpr std::size_t version_size = 9;
  constexpr std::size_t status_size = 3;
  return begin.substr(at + version_size, status_size);
}

std::string framed_body(response_framing framing, std::string_view trailer,
                        const std::string& body) {
  switch (framing) {
    case response_framing::length:
      return fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    case response_framing::chunks: {
      // Two chunks; one of them has an extension.
      const std::size_t half = body.size() / 2;
      return fmt::format(
          "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n{:x};a=b\r\n{}\r\n0\r\n{}\r\n", half,
          body.substr(0, half), body.size() - half, body.substr(half), trailer);
    }
    case response_framing::connection_end:
      return "Connection: close\r\n\r\n" + body;
  }
  return "";
}

std::size_t piece_size(std::string_view rest, response_pieces pieces) {
  switch (pieces) {
    case response_pieces::whole:
      return rest.size();
    case response_pieces::lines:
      return std::min(rest.find('\n'), rest.size() - 1) + 1;
    case response_pieces::bytes:
      return 1;
  }
  return rest.size();
}

}  // namespace

std::string_view name_of(response_framing framing) {
  constexpr std::array<std::string_view, 3> names{"length", "chunks", "connection end"};
  return names.at(static_cast<std::size_t>(framing));
}

std::span<const unusual_response> invalid_responses() { return invalid_table; }

std::span<const unusual_response> allowed_responses() { return allowed_table; }

bool has_framing(const unusual_response& what, response_framing framing) {
  if (!what.trailer.empty()) {
    return framing == response_framing::chunks;
  }
  const std::string_view status = status_of(what.begin);
  const bool has_no_body = status == "100" || status == "204";
  return has_no_body || what.is_framed_by_header ? framing == response_framing::length : true;
}

std::string bytes_of(const unusual_response& what, response_framing framing,
                     const std::string& headers, const std::string& body) {
  std::string bytes = fmt::format("{}\r\n{}{}", what.begin, headers, what.header);
  if (what.is_framed_by_header) {
    return bytes + "\r\n" + body;
  }
  if (what.hides_response) {
    const std::string hidden = fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                                           headers, body.size(), body);
    return bytes + framed_body(framing, what.trailer, hidden);
  }
  return bytes + framed_body(framing, what.trailer, body);
}

asio::awaitable<void> send_raw_response(net::timed_socket& socket, raw_response what,
                                        net::steady_time until) {
  std::string_view rest = what.bytes;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  net::error_code error;
  while (!rest.empty() && !error) {
    const std::size_t size = piece_size(rest, what.pieces);
    error = co_await socket.write_all(rest.substr(0, size), until);
    rest.remove_prefix(size);
    const bool is_whole = what.pieces == response_pieces::whole;
    timer.expires_after(is_whole ? std::chrono::milliseconds(0) : piece_interval);
    net::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace hawthornlane::stand_ins
