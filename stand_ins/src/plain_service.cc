// The plain service stand-in.
#include "hawthornlane/stand_ins/plain_service.h"

#include <boost/json.hpp>

namespace hawthornlane::stand_ins {
namespace asio = boost::asio;
namespace json = boost::json;

plain_service::plain_service(asio::io_context& context, const http::endpoint& listen_at) {
  const auto make_error_response = [](error_kind kind, std::string_view) {
    http::response answer;
    answer.status = answer_for(kind).http_status;
    return answer;
  };
  const auto handle = [state = this->shared](const http::request& ask,
                                             http::exchange& reply) -> asio::awaitable<void> {
    http::response answer;
    {
      const std::lock_guard lock(state->mutex);
      if (ask.method == "POST") {
        const std::string id = ask.find_header("x-request-id").value_or("");
        const int count = ++state->by_id[id];
        answer.body = json::serialize(
            json::object{{"accepted", true}, {"request_id", id}, {"arrivals", count}});
      } else {
        json::object counts;
        for (const auto& [id, count] : state->by_id) {
          counts[id] = count;
        }
        answer.body = json::serialize(counts);
      }
    }
    co_await reply.respond(std::move(answer));
  };
  this->server = std::make_unique<http::server>(context, listen_at, http::server_limits{}, handle,
                                                make_error_response);
}

std::map<std::string, int> plain_service::arrivals() const {
  const std::lock_guard lock(this->shared->mutex);
  return this->shared->by_id;
}

}  // namespace hawthornlane::stand_ins
