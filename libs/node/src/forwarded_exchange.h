// The response to a request that another host has forwarded.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string_view>
#include <utility>

#include "hawthornlane/http/server.h"
#include "hawthornlane/peer/peer_network.h"

namespace hawthornlane {

/// Sends a handler's response back over the peer network.
class forwarded_exchange final : public http::exchange {
public:
  explicit forwarded_exchange(forward_reply to) : reply(std::move(to)) {}

  boost::asio::awaitable<bool> respond(http::response answer) override {
    this->reply.head(answer.status, answer.content_type);
    this->reply.chunk(answer.body);
    this->reply.end(true);
    co_return true;
  }
  boost::asio::awaitable<bool> start_stream(http::response head) override {
    this->reply.head(head.status, head.content_type);
    co_return true;
  }
  boost::asio::awaitable<bool> write(std::string_view chunk) override {
    this->reply.chunk(chunk);
    co_return true;
  }
  boost::asio::awaitable<bool> finish_stream() override {
    this->reply.end(true);
    co_return true;
  }

private:
  forward_reply reply;
};

}  // namespace hawthornlane
