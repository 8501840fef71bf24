// Writes the responses of one connection of the HTTP server.
#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "hawthornlane/http/server.h"

namespace hawthornlane::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::system::error_code;

inline std::chrono::steady_clock::duration steady(duration time) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
}

/// HTTP/1.0 in Beast's version numbers.
constexpr unsigned http_1_0 = 10;

class connection_exchange final : public exchange {
public:
  /// `version` is the request's, in Beast's numbers.
  connection_exchange(beast::tcp_stream& to, duration limit, bool keep, unsigned version)
      : stream(to), write_time(limit), keep_alive(keep), uses_chunks(version > http_1_0) {}
  connection_exchange(const connection_exchange&) = delete;
  connection_exchange& operator=(const connection_exchange&) = delete;
  /// Closes the connection if a stream is unfinished.
  ~connection_exchange() override {
    if (this->is_streaming) {
      // Asio's destructor would turn the reset off.
      this->stream.close();
    }
  }

  asio::awaitable<bool> respond(response answer) override {
    bhttp::response<bhttp::string_body> message;
    this->fill(message, answer);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    this->stream.expires_after(steady(this->write_time));
    error_code error;
    co_await bhttp::async_write(this->stream, message,
                                asio::redirect_error(asio::use_awaitable, error));
    this->answered = true;
    co_return this->record_error(error);
  }

  asio::awaitable<bool> start_stream(response head) override {
    this->is_streaming = true;
    this->keep_alive = this->keep_alive && this->uses_chunks;
    if (!this->uses_chunks) {
      this->set_reset_at_end(true);
    }
    bhttp::response<bhttp::empty_body> message;
    this->fill(message, head);
    message.chunked(this->uses_chunks);
    bhttp::response_serializer<bhttp::empty_body> serializer{message};
    this->stream.expires_after(steady(this->write_time));
    error_code error;
    co_await bhttp::async_write_header(this->stream, serializer,
                                       asio::redirect_error(asio::use_awaitable, error));
    this->answered = true;
    co_return this->record_error(error);
  }

  asio::awaitable<bool> write(std::string_view chunk) override {
    if (this->gone || chunk.empty()) {
      co_return !this->gone;
    }
    this->stream.expires_after(steady(this->write_time));
    error_code error;
    const auto bytes = asio::buffer(chunk.data(), chunk.size());
    if (this->uses_chunks) {
      co_await asio::async_write(this->stream, bhttp::make_chunk(bytes),
                                 asio::redirect_error(asio::use_awaitable, error));
    } else {
      co_await asio::async_write(this->stream, bytes,
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    co_return this->record_error(error);
  }

  asio::awaitable<bool> finish_stream() override {
    if (this->gone) {
      co_return false;
    }
    error_code error;
    if (this->uses_chunks) {
      this->stream.expires_after(steady(this->write_time));
      co_await asio::async_write(this->stream, bhttp::make_chunk_last(),
                                 asio::redirect_error(asio::use_awaitable, error));
    } else {
      this->set_reset_at_end(false);
    }
    this->is_streaming = error.failed();
    co_return this->record_error(error);
  }

  [[nodiscard]] bool usable() const {
    return this->answered && !this->gone && this->keep_alive && !this->is_streaming;
  }
  [[nodiscard]] bool was_answered() const { return this->answered; }

private:
  template <class Message>
  void fill(Message& message, const response& from) const {
    message.version(11);
    message.result(static_cast<unsigned>(from.status));
    message.set(bhttp::field::content_type, from.content_type);
    message.keep_alive(this->keep_alive);
    for (const header& item : from.headers) {
      message.set(item.name, item.value);
    }
  }

  /// While on, every end of the connection is a reset, also the one by the kernel when the process
  /// ends: without chunks, an end in order marks the end of a stream.
  void set_reset_at_end(bool on) {
    error_code ignored;
    this->stream.socket().set_option(asio::socket_base::linger(on, 0), ignored);
  }

  bool record_error(const error_code& error) {
    this->gone = this->gone || error.failed();
    return !this->gone;
  }

  beast::tcp_stream& stream;
  duration write_time;
  bool keep_alive;
  /// False for HTTP/1.0, which has no chunks.
  bool uses_chunks;
  /// A stream has been started and not finished.
  bool is_streaming = false;
  bool answered = false;
  bool gone = false;
};

}  // namespace hawthornlane::http
