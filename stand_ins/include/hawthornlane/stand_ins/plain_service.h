// Stand-in for a plain service whose calls are not repeatable.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "hawthornlane/http/server.h"

namespace hawthornlane::stand_ins {

/// Answers every POST and counts the requests by request id. Any other method, such as
/// GET /counts, returns the counts.
class plain_service {
public:
  plain_service(boost::asio::io_context& context, const http::endpoint& listen_at);

  [[nodiscard]] http::endpoint where() const { return this->server->where(); }
  [[nodiscard]] std::map<std::string, int> arrivals() const;

private:
  struct counts {
    std::mutex mutex;
    std::map<std::string, int> by_id;
  };
  std::shared_ptr<counts> shared = std::make_shared<counts>();
  std::unique_ptr<http::server> server;
};

}  // namespace hawthornlane::stand_ins
