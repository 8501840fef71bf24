// An HTTP server with a synchronous handler.
#include "hawthornlane/http/synchronous_server.h"

#include <utility>

namespace hawthornlane::http {

std::unique_ptr<server> make_synchronous_server(boost::asio::io_context& context,
                                                const endpoint& listen_at,
                                                std::function<response(const request&)> respond,
                                                server_clients clients) {
  server_limits limits;
  limits.body_bytes = std::size_t{16} * 1024;
  const auto handle = [respond = std::move(respond)](
                          const request& ask, exchange& reply) -> boost::asio::awaitable<void> {
    response answer = respond(ask);
    co_await reply.respond(std::move(answer));
  };
  const auto make_error_response = [](error_kind kind, std::string_view) {
    response answer;
    answer.status = answer_for(kind).http_status;
    return answer;
  };
  return std::make_unique<server>(context, listen_at, limits, handle, make_error_response,
                                  std::move(clients));
}

}  // namespace hawthornlane::http
