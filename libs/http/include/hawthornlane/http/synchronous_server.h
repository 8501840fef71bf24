// An HTTP server for questions that are answered at once, such as readiness and metrics.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "hawthornlane/http/server.h"

namespace hawthornlane::http {

/// Answers each request by `respond`; what is no request by the error table's status alone.
/// Throws `boost::system::system_error` when it cannot listen.
std::unique_ptr<server> make_synchronous_server(boost::asio::io_context& context,
                                                const endpoint& listen_at,
                                                std::function<response(const request&)> respond);

}  // namespace hawthornlane::http
