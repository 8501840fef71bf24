// An HTTP server with a synchronous handler, for readiness, metrics and the like.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "hawthornlane/http/server.h"

namespace hawthornlane::http {

/// Requests have small bodies, of 16 KB at most, if any. Answers each request with the result of
/// `respond`. An invalid request gets no body and the status that the error table lists for its
/// fault. Throws `boost::system::system_error` when it cannot listen.
std::unique_ptr<server> make_synchronous_server(boost::asio::io_context& context,
                                                const endpoint& listen_at,
                                                std::function<response(const request&)> respond,
                                                server_clients clients = {});

}  // namespace hawthornlane::http
