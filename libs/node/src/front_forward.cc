// Forwards a request to the host that owns the program.
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "front_answers.h"
#include "hawthornlane/node/front_routes.h"

namespace hawthornlane {
namespace asio = boost::asio;
namespace json = boost::json;

asio::awaitable<void> front_routes::forward_to_owner(const http::request& http_request,
                                                     http::exchange& reply, shard_id shard) {
  const auto owner = this->owner_of(shard);
  if (!owner || owner->id == this->dependencies.hosts.self().id) {
    http::response refusal = error_response(error_kind::not_owner, "the owner is not known yet");
    co_await reply.respond(std::move(refusal));
    co_return;
  }
  struct reply_part {
    int status = 0;
    std::string content_type;
    std::string chunk;
    bool last = false;
    bool whole = true;
  };
  using reply_channel =
      asio::experimental::concurrent_channel<void(boost::system::error_code, reply_part)>;
  constexpr std::size_t capacity = 8192;
  auto channel = std::make_shared<reply_channel>(co_await asio::this_coro::executor, capacity);
  const auto push = [channel](reply_part item) {
    channel->try_send(boost::system::error_code{}, std::move(item));
  };
  forward_reply events;
  events.head = [push](int status, const std::string& type) {
    reply_part item;
    item.status = status;
    item.content_type = type;
    push(std::move(item));
  };
  events.chunk = [push](std::string_view chunk) {
    reply_part item;
    item.chunk = std::string(chunk);
    push(std::move(item));
  };
  events.end = [push](bool whole) {
    reply_part item;
    item.last = true;
    item.whole = whole;
    push(std::move(item));
  };
  forwarded_request forwarded;
  forwarded.method = http_request.method;
  forwarded.target = http_request.target;
  forwarded.authorization = http_request.find_header("authorization").value_or("");
  forwarded.body = http_request.body;
  this->dependencies.forward(owner->peer_address, forwarded, events);
  http::response head;
  head.headers.push_back({"X-Better-Address", owner->front_address});
  bool streaming = false;
  bool answered = false;
  while (true) {
    reply_part item = co_await channel->async_receive(asio::use_awaitable);
    if (item.status != 0) {
      head.status = item.status;
      head.content_type = item.content_type;
      answered = true;
      streaming = item.content_type == "text/event-stream";
      if (streaming) {
        co_await reply.start_stream(head);
      }
    }
    if (streaming && !item.chunk.empty()) {
      co_await reply.write(item.chunk);
    } else {
      head.body += item.chunk;
    }
    if (!item.last) {
      continue;
    }
    if (streaming) {
      if (!item.whole) {
        json::object broken;
        put_error(broken, error_kind::may_have_run,
                  "the connection to the owner broke; fetch the answer");
        const std::string event_text = server_sent_event("answer", broken);
        co_await reply.write(event_text);
      }
      co_await reply.finish_stream();
      co_return;
    }
    if (!answered || !item.whole) {
      // The owner may have started the call, so its outcome is unknown.
      head = error_response(
          http_request.method == "POST" ? error_kind::may_have_run : error_kind::peer_unavailable,
          "the owner did not answer; retry with the same ticket");
    }
    co_await reply.respond(std::move(head));
    co_return;
  }
}

}  // namespace hawthornlane
